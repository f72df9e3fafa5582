#include "Tests/Pool/PoolWorld.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace cornellift;
using namespace std::chrono_literals;

namespace {

std::uint64_t numberFromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value ? std::strtoull(Value, nullptr, 10) : Default;
}

/// Injects a random fault, or none.
void disturb(test::PoolWorld &World) {
  auto &Random = World.random();
  auto Vm = Random() % World.vmCount();
  auto Other = Random() % World.vmCount();
  auto Worker = Random() % World.workerCount();
  auto Span = std::chrono::milliseconds(100 + Random() % 4000);
  switch (Random() % 14) {
  case 0:
    return World.kill(Vm, std::chrono::milliseconds(200 + Random() % 2000));
  case 1:
    return World.freeze(Vm, Span);
  case 2:
    return World.stopGracefully(Vm, 500ms);
  case 3:
    return Vm == Other ? void() : World.cutVms(Vm, Other, Span);
  case 4:
    return World.cutWorker(Vm, Worker, Span);
  case 5:
    return World.restartWorker(Worker);
  case 6:
    World.worker(Worker).faults().Slowdown = Random() % 2 == 0 ? 1 : 8;
    return;
  case 7:
    World.worker(Worker).faults().FailsAll = Random() % 2 == 0;
    return;
  case 8:
    World.worker(Worker).faults().StandsStill = Random() % 3 == 0;
    return;
  case 9:
    // One VM is cut off from all other VMs, but not from the workers.
    for (std::size_t Each = 0; Each < World.vmCount(); ++Each)
      if (Each != Vm)
        World.cutVms(Vm, Each, Span);
    return;
  default:
    return;
  }
}

std::vector<std::string> playSeed(std::uint64_t Seed) {
  test::WorldSettings Settings;
  Settings.Seed = Seed;
  Settings.LateOrderShare = Seed % 3 == 0 ? 0.08 : 0;
  Settings.LostAnswerShare = Seed % 4 == 0 ? 0.05 : 0;
  test::PoolWorld World(Settings);
  World.run(1s);
  for (int Step = 0; Step < 120; ++Step) {
    for (std::uint64_t Jobs = World.random()() % 4; Jobs > 0; --Jobs)
      World.submit(1 + World.random()() % 6, 30 + static_cast<double>(World.random()() % 500));
    if (World.random()() % 3 == 0)
      disturb(World);
    World.run(std::chrono::milliseconds(20 + World.random()() % 120));
  }
  for (std::size_t Worker = 0; Worker < World.workerCount(); ++Worker)
    World.worker(Worker).faults() = {};
  World.run(25s);
  auto Found = World.violations();
  if (World.answered() != World.submitted())
    Found.push_back(std::to_string(World.submitted() - World.answered()) +
                    " jobs were never answered");
  return Found;
}

} // namespace

// Guards against two runs of a task at the same time, a rejection of a job that has run, and jobs
// without an answer. Faults are crashes, freezes, partitions, graceful stops, restarted workers and
// commands that are executed late.
BOOST_AUTO_TEST_CASE(RandomFaultsBreakNoPromise) {
  auto First = numberFromEnvironment("CORNELLIFT_FIRST_SEED", 1);
  auto Count = numberFromEnvironment("CORNELLIFT_SEEDS", 60);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    auto Found = playSeed(Seed);
    BOOST_CHECK_MESSAGE(Found.empty(), "seed " << Seed << ": " << Found.size()
                                               << " violations, the first: "
                                               << (Found.empty() ? "" : Found.front()));
  }
}
