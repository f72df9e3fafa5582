#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// What moving a run costs: its stop, the look that shows its end, and the new start.
constexpr double MoveMilliseconds = 70;
/// A run is judged by its progress only after this time; a percentage of less says little.
constexpr double MinimumObservedMilliseconds = 80;
constexpr std::uint32_t MaximumMoves = 2;
/// A run that needs this many times the expected time shows a worker in trouble rather than a large
/// task, unless the step's other tasks on other workers show the same.
constexpr double SlowWorkerFactor = 3;
/// Progress is told in whole percents, so that an end foreseen from few of them is uncertain by
/// this many.
constexpr double PercentError = 1.5;
/// Share of a percent that is assumed of a run without any progress.
constexpr double LeastPercent = 0.5;

/// Run time of the whole task on a typical worker, as far as its progress tells.
double impliedMilliseconds(const Run &Running, double Speed) {
  double Elapsed = core::toMilliseconds(Running.PercentAt - Running.StartSentAt);
  return Elapsed / (std::max(Running.PercentDone, LeastPercent) / 100) * Speed;
}

bool hasMeaningfulProgress(const Run &Running) {
  return Running.State == RunState::Running &&
         core::toMilliseconds(Running.PercentAt - Running.StartSentAt) >=
             MinimumObservedMilliseconds;
}

} // namespace

void PoolManager::observeProgress(PoolJob &Job, core::TimePoint /*Now*/) {
  std::vector<double> Implied;
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    auto &Progress = Job.Steps[Step];
    Implied.clear();
    for (std::uint32_t Index = 0; Index < Job.Order->Steps[Step].Count; ++Index) {
      const auto &Task = Job.Tasks[Progress.FirstTask + Index];
      if (Task.State != TaskState::Placed)
        continue;
      const auto *Running =
          Fleet_.findRun(Task.Worker, Job.refOf(Progress.FirstTask + Index), Task.LastRun);
      if (Running && hasMeaningfulProgress(*Running))
        Implied.push_back(impliedMilliseconds(*Running, Ratings_.speed(Task.Worker)));
    }
    if (Implied.empty())
      continue;
    auto Middle = Implied.begin() + static_cast<std::ptrdiff_t>(Implied.size() / 2);
    std::nth_element(Implied.begin(), Middle, Implied.end());
    bool IsSlowWorker =
        Implied.size() < 3 && *Middle > SlowWorkerFactor * Progress.TypicalMilliseconds;
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
  double Implied = impliedMilliseconds(*Running, Speed);
  double Elapsed = core::toMilliseconds(Now - Running->StartSentAt);
  double Rest = Implied / Speed - Elapsed;
  auto Request = placementRequestFor(Job, Step, Now);
  if (Rest <= Request.ObjectiveMilliseconds)
    return;
  double Typical = Progress.ObservedMilliseconds > 0 ? Progress.ObservedMilliseconds
                                                     : Progress.TypicalMilliseconds;
  auto Restart = fastestRestart(Job, Step, Placed.Worker, Typical, Now);
  double BestCase = std::min(Typical, Implied) / FastestSpeed_ + MoveMilliseconds;
  double Uncertain = 1 + PercentError / std::max(Running->PercentDone, LeastPercent);
  if (Rest > Request.UsefulMilliseconds * Uncertain &&
      BestCase > Request.UsefulMilliseconds * Uncertain)
    return giveUpTask(Job, Task, Now);
  if (!Restart)
    return;
  double RestartEnd = *Restart + MoveMilliseconds;
  bool MeetsObjective = RestartEnd <= Request.ObjectiveMilliseconds;
  bool BecomesUseful =
      Rest > Request.UsefulMilliseconds && RestartEnd <= Request.UsefulMilliseconds;
  if (!MeetsObjective && !BecomesUseful)
    return;
  ++Counters_.StragglersMoved;
  ++Placed.Moves;
  Log_.line(DecisionPriority::Notable, "moving a slow run", Job.key(),
            {{"worker", std::string_view(Fleet_.at(Placed.Worker).Entry.Id)},
             {"index", static_cast<std::int64_t>(Running->Task.Index)},
             {"percent", Running->PercentDone},
             {"elapsed_ms", Elapsed},
             {"rest_ms", Rest},
             {"fresh_ms", RestartEnd},
             {"objective_in_ms", Request.ObjectiveMilliseconds}});
  if (Implied > SlowWorkerFactor * Typical)
    Ratings_.recordFailure(Placed.Worker, Job.Kind, Job.key(), Now);
  Fleet_.stopRun(Placed.Worker, Job.refOf(Task), Placed.LastRun, Now);
}

void PoolManager::giveUpTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  if (!Job.IsDelegation)
    return endJob(Job, {JobVerdict::GivenUp, "a task cannot end while the caller waits", 0}, Now);
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
