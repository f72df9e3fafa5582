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

/// Freezes a VM for up to four seconds or kills it, and cancels a long job at another VM meanwhile;
/// copies of the job are posted later. Returns whether a task of it ran too long after the
/// cancelling and after the VM was back.
bool runsAfterCancellingOutOfReach(std::uint64_t Seed) {
  test::SimulationSettings Settings;
  Settings.Seed = Seed;
  Settings.DataCentres = 3;
  Settings.VmsPerDataCentre = 1; // A VM that is back manages its data centre again.
  Settings.CallerTimeout = 15s;
  test::PoolSimulation Simulation(Settings);
  auto &Random = Simulation.random();
  Simulation.run(2500ms);
  auto Key = Simulation.submit(150, 900);
  Simulation.run(std::chrono::milliseconds(100 + Random() % 500));
  auto Away = Random() % Simulation.vmCount();
  auto Span = std::chrono::milliseconds(500 + Random() % 3500);
  if (Random() % 2 == 0)
    Simulation.freeze(Away, Span);
  else
    Simulation.kill(Away, Span);
  auto BackAt = Simulation.now() + Span;
  Simulation.run(std::chrono::milliseconds(Random() % 3000));
  Simulation.cancel(Key, (Away + 1 + Random() % (Simulation.vmCount() - 1)) % Simulation.vmCount());
  auto Last = std::max(Simulation.now(), BackAt) + CancellingTarget;
  while (Simulation.now() < Last + 6s) {
    Simulation.run(std::chrono::milliseconds(200 + Random() % 1500));
    Simulation.resubmit(Key);
  }
  Simulation.run(4s);
  auto End = Simulation.lastEndOf(Key);
  return End && *End > Last;
}

} // namespace

// Guards against a job that is run on, or started again, by a VM that was out of reach or not
// running when the job was cancelled.
BOOST_AUTO_TEST_CASE(VmsThatWereOutOfReachLearnOfCancellings) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    BOOST_TEST(!runsAfterCancellingOutOfReach(Seed), "seed " << Seed);
}

// Guards against a job that runs on because it was cancelled at another VM than its own, and
// against a late copy of a cancelled job that starts again.
BOOST_AUTO_TEST_CASE(CancelledJobsDoNotRunOn) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    BOOST_TEST(runsAfterCancelling(Seed) == 0, "seed " << Seed);
}
