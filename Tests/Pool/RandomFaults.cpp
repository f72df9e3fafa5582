#include "Tests/Pool/RandomFaults.h"

#include "Tests/Pool/PoolSimulation.h"

#include <chrono>
#include <cstdlib>

namespace cornellift::test {
namespace {

using namespace std::chrono_literals;

/// Injects a random fault, or none.
void injectFault(PoolSimulation &Simulation) {
  auto &Random = Simulation.random();
  auto Vm = Random() % Simulation.vmCount();
  auto Other = Random() % Simulation.vmCount();
  auto Worker = Random() % Simulation.workerCount();
  auto Span = std::chrono::milliseconds(100 + Random() % 4000);
  switch (Random() % 14) {
  case 0:
    return Simulation.kill(Vm, std::chrono::milliseconds(200 + Random() % 2000));
  case 1:
    return Simulation.freeze(Vm, Span);
  case 2:
    return Simulation.stopGracefully(Vm, 500ms);
  case 3:
    return Vm == Other ? void() : Simulation.cutVms(Vm, Other, Span);
  case 4:
    return Simulation.cutWorker(Vm, Worker, Span);
  case 5:
    return Simulation.restartWorker(Worker);
  case 6:
    Simulation.worker(Worker).faults().Slowdown = Random() % 2 == 0 ? 1 : 8;
    return;
  case 7:
    Simulation.worker(Worker).faults().FailsAll = Random() % 2 == 0;
    return;
  case 8:
    Simulation.worker(Worker).faults().IsStalled = Random() % 3 == 0;
    return;
  case 9:
    // One VM is cut off from all other VMs, but not from the workers.
    for (std::size_t Each = 0; Each < Simulation.vmCount(); ++Each)
      if (Each != Vm)
        Simulation.cutVms(Vm, Each, Span);
    return;
  case 10:
    return Simulation.restartWorkerUnnoticed(Worker, std::chrono::milliseconds(Random() % 800),
                                             std::chrono::milliseconds(Random() % 1200));
  default:
    return;
  }
}

} // namespace

std::uint64_t numberFromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value ? std::strtoull(Value, nullptr, 10) : Default;
}

std::vector<std::string> playRandomFaults(std::uint64_t Seed) {
  SimulationSettings Settings;
  Settings.Seed = Seed;
  Settings.LateCommandShare = Seed % 3 == 0 ? 0.08 : 0;
  Settings.LatePollShare = Settings.LateCommandShare;
  Settings.LostAnswerShare = Seed % 4 == 0 ? 0.05 : 0;
  PoolSimulation Simulation(Settings);
  Simulation.run(1s);
  for (int Step = 0; Step < 120; ++Step) {
    for (std::uint64_t Jobs = Simulation.random()() % 4; Jobs > 0; --Jobs)
      Simulation.submit(1 + Simulation.random()() % 6,
                        30 + static_cast<double>(Simulation.random()() % 500));
    if (Simulation.random()() % 3 == 0)
      injectFault(Simulation);
    Simulation.run(std::chrono::milliseconds(20 + Simulation.random()() % 120));
  }
  for (std::size_t Worker = 0; Worker < Simulation.workerCount(); ++Worker)
    Simulation.worker(Worker).faults() = {};
  Simulation.run(25s);
  auto Found = Simulation.violations();
  if (Simulation.answered() != Simulation.submitted())
    Found.push_back(std::to_string(Simulation.submitted() - Simulation.answered()) +
                    " jobs were never answered");
  return Found;
}

std::vector<std::string> playRestartsBesideLateCommands(std::uint64_t Seed) {
  SimulationSettings Settings;
  Settings.Seed = Seed;
  Settings.LateCommandShare = 0.4;
  Settings.CallersComeAgain = false;
  Settings.CallerTimeout = 8s;
  PoolSimulation Simulation(Settings);
  Simulation.run(1s);
  for (int Step = 0; Step < 100; ++Step) {
    Simulation.submit(1 + Simulation.random()() % 3,
                      100 + static_cast<double>(Simulation.random()() % 3000));
    if (Simulation.random()() % 4 == 0)
      Simulation.restartWorkerUnnoticed(Simulation.random()() % Simulation.workerCount(),
                                        std::chrono::milliseconds(Simulation.random()() % 800),
                                        std::chrono::milliseconds(Simulation.random()() % 300));
    Simulation.run(std::chrono::milliseconds(100 + Simulation.random()() % 200));
  }
  Simulation.run(25s);
  return Simulation.violations();
}

} // namespace cornellift::test
