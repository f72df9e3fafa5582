#include "Tests/Pool/PoolSimulation.h"
#include "Tests/Pool/RandomFaults.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

// Guards against two runs of a task at the same time, a rejection of a job that has run, and jobs
// without an answer. Faults are crashes, freezes, partitions, graceful stops, restarted workers,
// which may return unnoticed, and commands that are executed late.
BOOST_AUTO_TEST_CASE(RandomFaultsKeepInvariants) {
  auto First = test::numberFromEnvironment("CORNELLIFT_FIRST_SEED", 1);
  auto Count = test::numberFromEnvironment("CORNELLIFT_SEEDS", 60);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    auto Found = test::playRandomFaults(Seed);
    BOOST_CHECK_MESSAGE(Found.empty(), "seed " << Seed << ": " << Found.size()
                                               << " violations, the first: "
                                               << (Found.empty() ? "" : Found.front()));
  }
}

namespace {

/// Kills one VM of the callers' data centre while a job runs and pauses the other one some time
/// later; returns the violations.
std::vector<std::string> killAndPause(std::uint64_t Seed, core::Duration PauseAfter) {
  test::SimulationSettings Settings;
  Settings.Seed = Seed;
  Settings.CallersAt = 0;
  test::PoolSimulation Simulation(Settings);
  Simulation.run(1500ms);
  std::size_t Killed = Seed % 2;
  for (int Job = 0; Job < 4; ++Job)
    Simulation.submit(1, 2500);
  Simulation.run(200ms);
  Simulation.kill(Killed, 300ms);
  Simulation.run(PauseAfter);
  Simulation.freeze(1 - Killed, 1500ms);
  Simulation.run(8s);
  return Simulation.violations();
}

} // namespace

// Guards against a task that runs twice at the same time, found by the soak with seed 20000: the
// entry process of a job was killed and its manager was paused before it had stopped the job's
// runs. The manager had extended their leases beyond the time after which the caller comes again.
BOOST_AUTO_TEST_CASE(AManagerPausedAfterTheLossOfAnEntryProcessLeavesNoRun) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
    for (auto PauseAfter = 100ms; PauseAfter <= 1200ms; PauseAfter += 100ms) {
      auto Found = killAndPause(Seed, PauseAfter);
      BOOST_CHECK_MESSAGE(Found.empty(),
                          "seed " << Seed << ", paused after " << core::toMilliseconds(PauseAfter)
                                  << " ms: " << (Found.empty() ? "" : Found.front()));
    }
}
