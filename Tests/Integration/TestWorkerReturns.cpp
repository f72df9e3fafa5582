#include "Tests/Integration/PoolDeployment.h"
#include "Tests/Integration/ReturningFleet.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;
using namespace std::chrono_literals;

// Guards against a task that runs twice at the same time: a worker that returned while the polls on
// its former connections hung took a start that was meant for its former incarnation, and kept the
// run for longer than its manager expected.
BOOST_AUTO_TEST_CASE(AWorkerThatReturnsUnnoticedRunsNothingTwice) {
  constexpr std::size_t Callers = 12;
  constexpr std::size_t Returns = 24;
  PoolDeployment Deployment("WorkerReturns", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Threads;
  for (std::size_t Each = 0; Each < Callers; ++Each)
    Threads.emplace_back([&, Each] {
      const auto &Vms = Deployment.vms();
      while (!IsOver)
        postJob(Vms[Each % Vms.size()].CallerPort, newJobKey(), 2, Each % 2 == 0 ? 900 : 150);
    });
  for (std::size_t Each = 0; Each < Returns; ++Each) {
    auto Id = "w-" + std::to_string(Each % Deployment.workerCount());
    Deployment.control("POST", "/worker?id=" + Id + "&silent=1");
    std::this_thread::sleep_for(50ms + 150ms * (Each % 9));
    Deployment.control("POST", "/worker/restart?id=" + Id + "&silent_polls_ms=1500");
    std::this_thread::sleep_for(800ms);
  }
  IsOver = true;
  for (auto &Thread : Threads)
    Thread.join();
  for (const auto &Overlap : Deployment.overlaps())
    BOOST_ERROR("two runs at the same time: " << Overlap);
}

// Guards against issue 40: a task ran twice at the same time in a fleet whose workers return under
// their ids, some while the polls on their former connections hang. A manager that had not noticed
// the return counted with the deadlines of the former incarnation.
BOOST_AUTO_TEST_CASE(AFleetOfReturningWorkersRunsNothingTwice) {
  PoolDeployment Deployment("ReturningFleet", fleetSettings());
  BOOST_REQUIRE(Deployment.waitUntilReady(30));
  checkReturningFleet(Deployment, "ReturningFleet", {60, 200, 900, 60, 200, 900, 5000});
}
