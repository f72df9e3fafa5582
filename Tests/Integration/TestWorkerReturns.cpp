#include "Tests/Integration/PoolDeployment.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetCallers = 32;
constexpr auto FleetSpan = 25s;
constexpr auto ReturnInterval = 120ms;

/// Four data centres with two VMs and twelve workers each.
PoolDeploymentSettings fleetSettings() {
  PoolDeploymentSettings Settings;
  Settings.DataCentres = {"ikeja", "yaba", "apapa", "lekki"};
  Settings.WorkersPerDataCentre = 12;
  return Settings;
}

/// Posts jobs of mixed run times while workers return under their ids, each of them every few
/// seconds. Fails for each task that has had two runs at the same time.
void checkReturningFleet(PoolDeployment &Deployment, const std::string &Name,
                         const std::vector<int> &RunTimes) {
  std::atomic<bool> IsOver{false};
  std::atomic<std::size_t> Completed{0};
  std::vector<std::thread> Threads;
  for (std::size_t Each = 0; Each < FleetCallers; ++Each)
    Threads.emplace_back([&, Each] {
      const auto &Vms = Deployment.vms();
      for (std::size_t Posted = Each / Vms.size(); !IsOver; ++Posted) {
        auto RunTime = RunTimes[Posted % RunTimes.size()];
        auto Reply = postJob(Vms[Each % Vms.size()].CallerPort, newJobKey(), 2, RunTime, "", 12000);
        Completed += Reply.State == "completed" ? 1 : 0;
        if (Reply.State != "completed")
          std::this_thread::sleep_for(20ms);
      }
    });
  std::mt19937 Random(40);
  std::size_t Returned = 0;
  auto NextAt = std::chrono::steady_clock::now();
  for (auto EndAt = NextAt + FleetSpan; NextAt < EndAt; NextAt += ReturnInterval) {
    std::this_thread::sleep_until(NextAt);
    auto Id = "w-" + std::to_string(Returned * 7 % Deployment.workerCount());
    auto DarkTime = std::to_string(300 + Random() % 500);
    const char *Polls = Random() % 2 == 0 ? "&silent_polls_ms=1500" : "";
    auto Reply =
        Deployment.control("POST", "/worker/restart?id=" + Id + "&dark_ms=" + DarkTime + Polls);
    Returned += Reply.empty() ? 0 : 1;
  }
  IsOver = true;
  for (auto &Thread : Threads)
    Thread.join();
  std::ofstream("integration-logs/" + Name + "/runs.txt") << Deployment.control("GET", "/runs");
  BOOST_TEST_MESSAGE(Name << ": " << Returned << " returns, " << Completed << " jobs completed, "
                          << Deployment.runs().size() << " runs");
  BOOST_TEST(Returned > 2 * Deployment.workerCount());
  BOOST_TEST(Completed > FleetCallers);
  for (const auto &Overlap : Deployment.overlaps())
    BOOST_ERROR("two runs at the same time: " << Overlap);
}

} // namespace

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

// Guards against a task that runs twice at the same time because a command without a reply was
// executed seconds later: by then the worker had returned, and its new incarnation took the start
// while the task ran elsewhere.
BOOST_AUTO_TEST_CASE(LateCommandsToAReturningFleetRunNothingTwice) {
  PoolDeployment Deployment("ReturningFleetLate", fleetSettings());
  BOOST_REQUIRE(Deployment.waitUntilReady(30));
  for (std::size_t Each = 0; Each < Deployment.workerCount(); ++Each)
    Deployment.control("POST", "/worker?id=w-" + std::to_string(Each) + "&late=0.3");
  checkReturningFleet(Deployment, "ReturningFleetLate", {60, 5000, 900, 5000, 200, 5000});
}
