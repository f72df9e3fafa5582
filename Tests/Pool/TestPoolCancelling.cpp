#include "Tests/Pool/PoolSimulation.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace cornellift;
using namespace std::chrono_literals;

namespace {

/// No task of a job may start or run longer than this after its cancelling was acknowledged.
constexpr auto CancellingTarget = 3s;
constexpr std::uint64_t Seeds = 60;

/// A fault that ends no process, so that every process keeps what it knows of cancelled jobs.
void injectFault(test::PoolSimulation &Simulation) {
  auto &Random = Simulation.random();
  auto Vm = Random() % Simulation.vmCount();
  auto Worker = Random() % Simulation.workerCount();
  switch (Random() % 4) {
  case 0:
    return Simulation.freeze(Vm, std::chrono::milliseconds(100 + Random() % 400));
  case 1:
    return Simulation.cutWorker(Vm, Worker, 1s);
  case 2:
    return Simulation.restartWorker(Worker);
  default:
    return;
  }
}

/// Cancels jobs of one to eight tasks at random VMs, some of them before they are posted or from a
/// VM other than the job's, and posts copies of them later. Returns how many ran on.
int runsAfterCancelling(std::uint64_t Seed) {
  test::SimulationSettings Settings;
  Settings.Seed = Seed;
  test::PoolSimulation Simulation(Settings);
  auto &Random = Simulation.random();
  Simulation.run(1500ms);
  int Found = 0;
  for (int Each = 0; Each < 8; ++Each) {
    auto Key = Simulation.submit(1 + static_cast<std::uint32_t>(Random() % 8), 3500);
    Simulation.run(std::chrono::milliseconds(Random() % 400));
    injectFault(Simulation);
    Simulation.cancel(Key, Random() % Simulation.vmCount());
    auto CancelledAt = Simulation.now();
    for (int Copy = 0; Copy < 3; ++Copy) {
      Simulation.run(std::chrono::milliseconds(10 + Random() % 4000));
      Simulation.resubmit(Key);
    }
    Simulation.run(4s);
    auto End = Simulation.lastEndOf(Key);
    Found += End && *End > CancelledAt + CancellingTarget ? 1 : 0;
  }
  return Found;
}

} // namespace

// Guards against a job that runs on because it was cancelled at another VM than its own, and
// against a late copy of a cancelled job that starts again.
BOOST_AUTO_TEST_CASE(CancelledJobsDoNotRunOn) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    BOOST_TEST(runsAfterCancelling(Seed) == 0, "seed " << Seed);
}
