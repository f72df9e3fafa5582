#include "Tests/Integration/ReturningFleet.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <random>
#include <thread>

#include <boost/test/unit_test.hpp>

namespace cornellift::integration {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t FleetCallers = 32;
constexpr auto FleetSpan = 25s;
constexpr auto ReturnInterval = 120ms;

} // namespace

PoolDeploymentSettings fleetSettings() {
  PoolDeploymentSettings Settings;
  Settings.DataCentres = {"ikeja", "yaba", "apapa", "lekki"};
  Settings.WorkersPerDataCentre = 12;
  return Settings;
}

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

} // namespace cornellift::integration
