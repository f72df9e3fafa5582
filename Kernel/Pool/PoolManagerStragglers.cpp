#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Cost of moving a run: the stop, the poll that shows its end, and the new start.
constexpr double MoveMilliseconds = 70;
/// Minimum elapsed time for extrapolating a run's progress; earlier percentages mean little.
constexpr double MinimumObservedMilliseconds = 80;
constexpr std::uint32_t MaximumMoves = 2;
/// A run that takes this many times the expected time indicates a faulty worker rather than a large
/// task, unless other tasks of the step on other workers take as long.
constexpr double SlowWorkerFactor = 3;
/// Assumed error of reported progress in percentage points. Progress is reported in whole percents,
/// which makes an end extrapolated from a few of them uncertain.
constexpr double PercentError = 1.5;
/// Progress in percent that is assumed for a run that has reported less.
constexpr double MinimumPercent = 0.5;

/// Run time of the task on a typical worker, extrapolated from its progress.
double extrapolatedMilliseconds(const Run &Running, double Speed) {
  double Elapsed = core::toMilliseconds(Running.PercentAt - Running.StartSentAt);
  return Elapsed / (std::max(Running.PercentDone, MinimumPercent) / 100) * Speed;
}

bool hasMeaningfulProgress(const Run &Running) {
  return Running.State == RunState::Running &&
         core::toMilliseconds(Running.PercentAt - Running.StartSentAt) >=
             MinimumObservedMilliseconds;
}

} // namespace

void PoolManager::observeProgress(PoolJob &Job, core::TimePoint /*Now*/) {
  std::vector<double> Extrapolated;
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    auto &Progress = Job.Steps[Step];
    Extrapolated.clear();
    for (std::uint32_t Index = 0; Index < Job.Submission->Steps[Step].Count; ++Index) {
      const auto &Task = Job.Tasks[Progress.FirstTask + Index];
      if (Task.State != TaskState::Placed)
        continue;
      const auto *Running =
          Fleet_.findRun(Task.Worker, Job.refOf(Progress.FirstTask + Index), Task.LastRun);
      if (Running && hasMeaningfulProgress(*Running))
        Extrapolated.push_back(extrapolatedMilliseconds(*Running, Ratings_.speed(Task.Worker)));
    }
    if (Extrapolated.empty())
      continue;
    auto Middle = Extrapolated.begin() + static_cast<std::ptrdiff_t>(Extrapolated.size() / 2);
    std::nth_element(Extrapolated.begin(), Middle, Extrapolated.end());
    bool IsSlowWorker =
        Extrapolated.size() < 3 && *Middle > SlowWorkerFactor * Progress.TypicalMilliseconds;
    Progress.ObservedMilliseconds = IsSlowWorker ? 0 : *Middle;
  }
}

std::optional<double> PoolManager::fastestRestart(const PoolJob &Job, std::uint32_t Step,
                                                  EndpointIndex Except, double TypicalMilliseconds,
                                                  core::TimePoint Now) const {
  auto Request = placementRequestFor(Job, Step, Now);
  Request.TypicalRunTime = TypicalMilliseconds;
  std::optional<double> Best;
  visitCandidates(Job, Step, Request, Now,
                  [&](const PlacementCandidate &Candidate, std::optional<EndpointIndex> Own) {
                    if (Own == Except)
                      return;
                    double Time = expectedMilliseconds(Request, Candidate);
                    Best = std::min(Best.value_or(Time), Time);
                  });
  return Best;
}

void PoolManager::checkForStraggler(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  auto &Placed = Job.Tasks[Task];
  const auto *Running = Fleet_.findRun(Placed.Worker, Job.refOf(Task), Placed.LastRun);
  if (!Running || !hasMeaningfulProgress(*Running) || Placed.Moves >= MaximumMoves)
    return;
  auto Step = Job.stepOf(Task);
  const auto &Progress = Job.Steps[Step];
  double Speed = Ratings_.speed(Placed.Worker);
  double Extrapolated = extrapolatedMilliseconds(*Running, Speed);
  double Elapsed = core::toMilliseconds(Now - Running->StartSentAt);
  double Remaining = Extrapolated / Speed - Elapsed;
  auto Request = placementRequestFor(Job, Step, Now);
  if (Remaining <= Request.ObjectiveMilliseconds)
    return;
  double Typical = Progress.ObservedMilliseconds > 0 ? Progress.ObservedMilliseconds
                                                     : Progress.TypicalMilliseconds;
  auto Restart = fastestRestart(Job, Step, Placed.Worker, Typical, Now);
  double BestCase = std::min(Typical, Extrapolated) / FastestSpeed_ + MoveMilliseconds;
  double Tolerance = 1 + PercentError / std::max(Running->PercentDone, MinimumPercent);
  if (Remaining > Request.UsefulMilliseconds * Tolerance &&
      BestCase > Request.UsefulMilliseconds * Tolerance)
    return giveUpTask(Job, Task, Now);
  if (!Restart)
    return;
  double RestartEnd = *Restart + MoveMilliseconds;
  bool MeetsObjective = RestartEnd <= Request.ObjectiveMilliseconds;
  bool BecomesUseful =
      Remaining > Request.UsefulMilliseconds && RestartEnd <= Request.UsefulMilliseconds;
  if (!MeetsObjective && !BecomesUseful)
    return;
  if (Running->mayStartLater(Now))
    return; // Another incarnation of the worker may start it beside the new run.
  ++Counters_.StragglersMoved;
  ++Placed.Moves;
  Log_.line(DecisionPriority::Notable, "moving a slow run", Job.key(),
            {{"worker", std::string_view(Fleet_.at(Placed.Worker).Entry.Id)},
             {"index", static_cast<std::int64_t>(Running->Task.Index)},
             {"percent", Running->PercentDone},
             {"elapsed_ms", Elapsed},
             {"rest_ms", Remaining},
             {"fresh_ms", RestartEnd},
             {"objective_in_ms", Request.ObjectiveMilliseconds}});
  if (Extrapolated > SlowWorkerFactor * Typical)
    Ratings_.recordFailure(Placed.Worker, Job.Kind, Job.key(), Now);
  Fleet_.stopRun(Placed.Worker, Job.refOf(Task), Placed.LastRun, Now);
}

void PoolManager::giveUpTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  if (!Job.IsDelegation)
    return endJob(Job, {JobVerdict::GivenUp, "a task cannot end before the caller's deadline", 0},
                  Now);
  reportDelegatedEnd(Job, Task, Job.Tasks[Task].LastRun, DelegatedEnd::TooLong, {});
  stopTask(Job, Task, Now);
}

void PoolManager::moveStragglers(core::TimePoint Now) {
  std::vector<JobHandle> Handles;
  for (const auto &[Handle, Job] : Jobs_)
    if (!Job.IsEnding)
      Handles.push_back(Handle);
  for (auto Handle : Handles) {
    auto *Job = find(Handle);
    observeProgress(*Job, Now);
    for (std::uint32_t Task = 0; Job && Task < Job->Tasks.size(); ++Task) {
      if (Job->Tasks[Task].State == TaskState::Placed && !Job->IsEnding)
        checkForStraggler(*Job, Task, Now);
      Job = find(Handle);
    }
  }
}

} // namespace cornellift::kernel
