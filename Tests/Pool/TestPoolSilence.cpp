#include "Tests/Pool/PoolSimulation.h"

#include <functional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

namespace {

constexpr int Jobs = 4;
constexpr double RunTime =
    900; ///< Of each task, in milliseconds; long enough for any silence below.
/// Callers are in the first data centre, whose VMs and workers have these indexes.
constexpr std::size_t FirstVms = 2;
constexpr std::size_t FirstWorkers = 4;

/// A fault that begins while the jobs run and lasts for the given time.
using Fault = std::function<void(test::PoolSimulation &, core::Duration)>;

struct Outcome {
  int Served = 0;   ///< Jobs that were completed.
  int Repeated = 0; ///< Tasks that were started more than once.
};

std::size_t runsOf(test::PoolSimulation &Simulation, kernel::JobKey Key) {
  std::size_t Count = 0;
  for (std::size_t Worker = 0; Worker < Simulation.workerCount(); ++Worker)
    for (const auto &Run : Simulation.worker(Worker).history())
      Count += Run.Task.Job == Key ? 1 : 0;
  return Count;
}

/// Plays the fault at an offset from the submission of the jobs. No task may run twice at the same
/// time, and no caller may be told wrongly that its job has not run.
Outcome play(const Fault &Inject, core::Duration Offset, core::Duration Span,
             const test::SimulationSettings &Settings) {
  test::PoolSimulation Simulation(Settings);
  Simulation.run(1500ms);
  std::vector<kernel::JobKey> Keys;
  Keys.reserve(Jobs);
  for (int Job = 0; Job < Jobs; ++Job)
    Keys.push_back(Simulation.submit(1, RunTime));
  Simulation.run(Offset);
  Inject(Simulation, Span);
  Simulation.run(12s);
  for (const auto &Violation : Simulation.violations())
    BOOST_ERROR("after " << core::toMilliseconds(Offset) << " ms, for "
                         << core::toMilliseconds(Span) << " ms: " << Violation);
  Outcome Result;
  for (auto Key : Keys) {
    auto Answer = Simulation.answerOf(Key);
    Result.Served += Answer && Answer->Verdict == kernel::JobVerdict::Completed ? 1 : 0;
    Result.Repeated += runsOf(Simulation, Key) > 1 ? 1 : 0;
  }
  return Result;
}

test::SimulationSettings settings() {
  test::SimulationSettings Settings;
  Settings.CallersAt = 0;
  return Settings;
}

/// Plays the fault at many offsets and sums up what became of the jobs.
Outcome playAtManyOffsets(const Fault &Inject, core::Duration Span,
                          const test::SimulationSettings &Settings) {
  Outcome Sum;
  for (auto Offset = 0ms; Offset < 800ms; Offset += 20ms) {
    auto Each = play(Inject, Offset, Span, Settings);
    Sum.Served += Each.Served;
    Sum.Repeated += Each.Repeated;
  }
  BOOST_TEST_MESSAGE(core::toMilliseconds(Span)
                     << " ms: " << Sum.Served << " served, " << Sum.Repeated << " repeated");
  return Sum;
}

constexpr int JobsAtManyOffsets = Jobs * 40;

void silenceWorkers(test::PoolSimulation &Simulation, core::Duration Span) {
  for (std::size_t Vm = 0; Vm < Simulation.vmCount(); ++Vm)
    for (std::size_t Worker = 0; Worker < FirstWorkers; ++Worker)
      Simulation.cutWorker(Vm, Worker, Span);
}

void freezeVms(test::PoolSimulation &Simulation, core::Duration Span) {
  for (std::size_t Vm = 0; Vm < FirstVms; ++Vm)
    Simulation.freeze(Vm, Span);
}

void stopVm(test::PoolSimulation &Simulation, core::Duration Span, std::size_t Vm) {
  Simulation.stopGracefully(Vm, Span);
}

} // namespace

// Guards against work that is started again, or given up, because its worker was only silent for a
// while. Below half of a lease every job is served by its first run.
BOOST_AUTO_TEST_CASE(AWorkerThatIsSilentForAWhileKeepsItsWork) {
  for (auto Span : {100ms, 300ms}) {
    auto Sum = playAtManyOffsets(silenceWorkers, Span, settings());
    BOOST_TEST(Sum.Served == JobsAtManyOffsets);
    BOOST_TEST(Sum.Repeated == 0);
  }
  // The leases of a worker that is silent for longer may end; each task then runs again, alone.
  for (auto Span : {600ms, 1000ms, 2000ms, 4000ms})
    BOOST_TEST(playAtManyOffsets(silenceWorkers, Span, settings()).Served == JobsAtManyOffsets);
}

// The same for VMs that were paused: those that manage the workers and those that have the callers.
// Replies that waited for them in the meantime made their runs look slow, so that these were moved,
// and set the estimates of the workers' clocks back, so that leases ended.
BOOST_AUTO_TEST_CASE(VmsThatPauseForAWhileKeepTheirWork) {
  for (auto Span : {100ms, 300ms, 600ms}) {
    auto Sum = playAtManyOffsets(freezeVms, Span, settings());
    BOOST_TEST(Sum.Served == JobsAtManyOffsets);
    BOOST_TEST(Sum.Repeated == 0);
  }
  for (auto Span : {1000ms, 2000ms, 4000ms})
    BOOST_TEST(playAtManyOffsets(freezeVms, Span, settings()).Served == JobsAtManyOffsets);
}

// Guards against two managers that act at the same time, and against work that is lost, when a
// manager hands its workers over while it stops, at any moment of a run.
BOOST_AUTO_TEST_CASE(AHandoverRepeatsNoTask) {
  for (std::size_t Vm = 0; Vm < FirstVms; ++Vm) {
    auto Stop = [Vm](test::PoolSimulation &Simulation, core::Duration Span) {
      stopVm(Simulation, Span, Vm);
    };
    auto Sum = playAtManyOffsets(Stop, 500ms, settings());
    BOOST_TEST(Sum.Served == JobsAtManyOffsets);
    BOOST_TEST(Sum.Repeated == 0);
  }
}

// Guards against a former manager that acts on leases which ended while it was paused, when its
// successor has claimed the workers meanwhile; the successor then stops in turn.
BOOST_AUTO_TEST_CASE(AManagerThatWakesAfterItsSuccessorActedDoesNothing) {
  for (std::size_t Paused = 0; Paused < FirstVms; ++Paused) {
    auto PauseAndStop = [Paused](test::PoolSimulation &Simulation, core::Duration Span) {
      Simulation.freeze(Paused, Span);
      Simulation.run(Span - 200ms);
      stopVm(Simulation, 500ms, 1 - Paused);
    };
    for (auto Span : {1500ms, 2500ms, 5000ms})
      BOOST_TEST(playAtManyOffsets(PauseAndStop, Span, settings()).Served == JobsAtManyOffsets);
  }
}

// Guards against work that is run again, or reported as not run, because the answer to its start
// was lost.
BOOST_AUTO_TEST_CASE(LostAnswersRepeatNoRunningTask) {
  auto Settings = settings();
  Settings.LostAnswerShare = 0.3;
  Settings.LateCommandShare = 0.1;
  Settings.LatePollShare = 0.1;
  auto Nothing = [](test::PoolSimulation &, core::Duration) {};
  for (Settings.Seed = 1; Settings.Seed <= 40; ++Settings.Seed)
    BOOST_TEST(play(Nothing, 0ms, 0ms, Settings).Served == Jobs);
}
