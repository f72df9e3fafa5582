#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Cost of moving a run: the stop, the poll that shows its end, and the new start.
constexpr double MoveMilliseconds = 70;
/// Minimum elapsed time for extrapolating a run's progress; earlier percentages mean little.
constexpr double MinimumObservedMilliseconds = 80;
/// Upper bound on how often a task is moved.
constexpr std::uint32_t MaximumMoves = 2;
/// A fresh run has to be expected to end this much sooner than needed, as estimates are rough.
constexpr double FreshRunMargin = 1.15;
/// A worker below this speed has a fault, if a run is of no use there; typical workers have 1.
constexpr double SlowSpeed = 0.5;
/// A job's deadlines follow its length in steps of this factor.
constexpr double NotableExtension = 1.1;
/// Number of ended runs of a step that are kept as evidence of its length.
constexpr std::size_t MaximumFormerRuns = 8;
/// Ended runs of other jobs that tell of a worker, and for how long.
constexpr std::size_t MaximumRecentRuns = 3;
constexpr core::Duration RecentTime = std::chrono::seconds(3);
/// Assumed error of reported progress in percentage points. Progress is reported in whole percents,
/// which makes an end extrapolated from a few of them uncertain.
constexpr double PercentError = 1.5;
/// Progress in percent that is assumed for a run that has reported less.
constexpr double MinimumPercent = 0.5;

/// Progress is reported in whole percents, rounded down.
constexpr double MiddleOfPercent = 0.5;
constexpr double EndOfPercent = 1;

double shareDone(const Run &Running, double PartOfPercent) {
  return std::min(100.0, Running.PercentDone + PartOfPercent) / 100;
}

/// For how long of the run its worker is cold.
double coldMilliseconds(const Run &Running) {
  return ColdStart::coldMilliseconds(Running.ColdUntil, Running.StartSentAt);
}

bool hasMeaningfulProgress(const Run &Running) {
  return Running.State == RunState::Running &&
         core::toMilliseconds(Running.PercentAt - Running.StartSentAt) >=
             MinimumObservedMilliseconds;
}

} // namespace

double PoolManager::awayFactor(const PoolJob &Job, std::uint32_t Step, EndpointIndex Worker) const {
  const auto &Rack = Job.Submission->Steps[Step].DataRack;
  bool IsNear = Rack.empty() || Fleet_.at(Worker).Entry.hasLabel(Rack);
  return IsNear ? 1 : Settings_.RemoteFactor;
}

ObservedRun PoolManager::observe(const PoolJob &Job, const Run &Running,
                                 EndpointIndex Worker) const {
  double Warm = Cold_.warmMilliseconds(
      core::toMilliseconds(Running.PercentAt - Running.StartSentAt), coldMilliseconds(Running));
  double Typical = Warm * Ratings_.speed(Worker) / awayFactor(Job, Running.Task.Step, Worker);
  return {Worker, Typical / shareDone(Running, MiddleOfPercent),
          Typical / shareDone(Running, EndOfPercent)};
}

double PoolManager::millisecondsOn(EndpointIndex Worker, const PoolJob &Job, const Run &Running,
                                   double TypicalMilliseconds) const {
  double Warm =
      TypicalMilliseconds * awayFactor(Job, Running.Task.Step, Worker) / Ratings_.speed(Worker);
  return Cold_.expectedMilliseconds(Warm, coldMilliseconds(Running));
}

PoolManager::ExpectedLength PoolManager::expectedLength(const PoolJob &Job, const Run &Running,
                                                        EndpointIndex Worker) const {
  const auto &Progress = Job.Steps[Running.Task.Step];
  if (hasMeaningfulProgress(Running)) {
    double Length =
        millisecondsOn(Worker, Job, Running, observe(Job, Running, Worker).Milliseconds);
    double PercentShare = PercentError / std::max(Running.PercentDone, MinimumPercent);
    return {Length, Length * std::min(Progress.Deviation, PercentShare)};
  }
  double Length = Progress.ObservedMilliseconds > 0
                      ? millisecondsOn(Worker, Job, Running, Progress.ObservedMilliseconds)
                      : core::toMilliseconds(Running.ExpectedEnd - Running.StartSentAt);
  return {Length, Length * Progress.Deviation};
}

std::vector<ObservedRun> PoolManager::observedRuns(const PoolJob &Job, std::uint32_t Step) const {
  const auto &Progress = Job.Steps[Step];
  auto Observed = Progress.Former;
  for (std::uint32_t Index = 0; Index < Job.Submission->Steps[Step].Count; ++Index) {
    const auto &Task = Job.Tasks[Progress.FirstTask + Index];
    if (Task.State != TaskState::Placed)
      continue;
    const auto *Running =
        Fleet_.findRun(Task.Worker, Job.refOf(Progress.FirstTask + Index), Task.LastRun);
    if (Running && hasMeaningfulProgress(*Running))
      Observed.push_back(observe(Job, *Running, Task.Worker));
  }
  return Observed;
}

std::vector<NeighbourRun> PoolManager::neighboursOn(EndpointIndex Worker, const PoolJob &Except,
                                                    core::TimePoint Now) const {
  std::vector<NeighbourRun> Neighbours;
  std::vector<JobHandle> Seen{Except.Handle}; // The runs of one job tend to be equally long.
  for (const auto &Each : Fleet_.at(Worker).Runs) {
    auto Found = Jobs_.find(Each.Job);
    if (Found == Jobs_.end() || !hasMeaningfulProgress(Each) ||
        std::find(Seen.begin(), Seen.end(), Each.Job) != Seen.end())
      continue;
    Seen.push_back(Each.Job);
    Neighbours.push_back(neighbourOf(Found->second, Each.Task.Step,
                                     observe(Found->second, Each, Worker).Milliseconds));
  }
  auto Recent = RecentRuns_.find(Worker);
  if (Recent == RecentRuns_.end())
    return Neighbours;
  for (const auto &Each : Recent->second)
    if (Each.EndedAt + RecentTime >= Now &&
        std::find(Seen.begin(), Seen.end(), Each.Job) == Seen.end())
      Neighbours.push_back(Each.Length);
  return Neighbours;
}

NeighbourRun PoolManager::neighbourOf(const PoolJob &Job, std::uint32_t Step,
                                      double Milliseconds) const {
  const auto &Progress = Job.Steps[Step];
  if (Progress.IsObservedOnSeveral)
    return {Milliseconds, Progress.ObservedMilliseconds, 0, 0};
  return {Milliseconds, Progress.TypicalMilliseconds, Progress.Deviation,
          Kinds_.overlongShare(Job.Kind)};
}

void PoolManager::rememberRun(EndpointIndex Worker, PoolJob &Job, std::uint32_t Step,
                              double TypicalMilliseconds, core::TimePoint Now) {
  auto &Progress = Job.Steps[Step];
  if (Progress.Former.size() < MaximumFormerRuns)
    Progress.Former.push_back({Worker, TypicalMilliseconds, TypicalMilliseconds});
  auto &Recent = RecentRuns_[Worker];
  std::erase_if(Recent, [&](const RecentRun &Each) { return Each.Job == Job.Handle; });
  if (Recent.size() >= MaximumRecentRuns)
    Recent.erase(Recent.begin());
  Recent.push_back({Job.Handle, Now, neighbourOf(Job, Step, TypicalMilliseconds)});
}

RunPrognosis PoolManager::prognosisOf(const PoolJob &Job, std::uint32_t Step,
                                      const ObservedRun &Own, std::span<const ObservedRun> Siblings,
                                      core::TimePoint Now) const {
  auto Neighbours = neighboursOn(Own.Worker, Job, Now);
  const auto &Progress = Job.Steps[Step];
  return prognoseRun({Own, Progress.TypicalMilliseconds, Progress.Deviation,
                      Kinds_.overlongShare(Job.Kind), Siblings, Neighbours});
}

void PoolManager::observeProgress(PoolJob &Job, core::TimePoint Now) {
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    auto &Progress = Job.Steps[Step];
    if (Progress.Unfinished == 0)
      continue;
    auto Observed = observedRuns(Job, Step);
    if (Observed.empty())
      continue;
    bool IsOverlong = std::any_of(Observed.begin(), Observed.end(), [&](const ObservedRun &Each) {
      return Each.AtLeast >= OverlongFactor * Progress.TypicalMilliseconds;
    });
    if (IsOverlong && !std::exchange(Job.IsOverlong, true))
      Kinds_.jobIsOverlong(Job.Kind);
    std::vector<ObservedRun> Sound;
    std::copy_if(Observed.begin(), Observed.end(), std::back_inserter(Sound),
                 [&](const ObservedRun &Each) {
                   return prognosisOf(Job, Step, Each, Observed, Now).Delay != RunDelay::SlowWorker;
                 });
    Progress.ObservedMilliseconds = Sound.empty() ? 0 : medianMilliseconds(Sound);
    Progress.IsObservedOnSeveral =
        std::any_of(Sound.begin(), Sound.end(),
                    [&](const ObservedRun &Each) { return Each.Worker != Sound.front().Worker; });
    double Shown = Sound.empty() ? 0 : medianAtLeast(Sound);
    if (Shown <=
        std::max(Progress.TypicalMilliseconds, Progress.ShownMilliseconds) * NotableExtension)
      continue;
    Progress.ShownMilliseconds = Shown;
    extendJob(Job, Step, Sound.size(), Now);
  }
}

void PoolManager::extendJob(PoolJob &Job, std::uint32_t Step, std::size_t Runs,
                            core::TimePoint Now) {
  auto Former = Job.ObjectiveAt;
  setDeadlines(Job);
  if (Queue_.contains(Job.Handle))
    Queue_.set(placeInQueue(Job, Now));
  const auto &Progress = Job.Steps[Step];
  if (Job.IsExtended || Progress.ShownMilliseconds < OverlongFactor * Progress.TypicalMilliseconds)
    return;
  Job.IsExtended = true;
  ++Counters_.JobsExtended;
  Log_.line(DecisionPriority::Notable, "a job is longer than declared", Job.key(),
            {{"step", static_cast<std::int64_t>(Step)},
             {"declared_ms", Job.Submission->Steps[Step].DeclaredMilliseconds},
             {"expected_ms", Progress.TypicalMilliseconds},
             {"deviation", Progress.Deviation},
             {"at_least_ms", Progress.ShownMilliseconds},
             {"runs", static_cast<std::int64_t>(Runs)},
             {"former_objective_in_ms", core::toMilliseconds(Former - Now)},
             {"objective_in_ms", core::toMilliseconds(Job.ObjectiveAt - Now)}});
}

core::TimePoint PoolManager::usefulLimit(const PoolJob &Job) {
  // How long tasks take that run at other managers shows only there. Such a manager tells when one
  // cannot be done in time.
  bool IsLengthUnknown = Job.hasRunsElsewhere() && !Job.hasObservedStep();
  return IsLengthUnknown ? std::max(Job.UsefulUntil, Job.Submission->AnswerBy) : Job.UsefulUntil;
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
  if (!Running || !hasMeaningfulProgress(*Running))
    return;
  auto Own = observe(Job, *Running, Placed.Worker);
  double Remaining = millisecondsOn(Placed.Worker, Job, *Running, Own.Milliseconds) -
                     core::toMilliseconds(Now - Running->StartSentAt);
  if (Remaining <= core::toMilliseconds(Job.ObjectiveAt - Now))
    return;
  auto Step = Job.stepOf(Task);
  auto Prognosis = prognosisOf(Job, Step, Own, observedRuns(Job, Step), Now);
  const auto &Progress = Job.Steps[Step];
  double UsefulMilliseconds = core::toMilliseconds(Job.UsefulUntil - Now);
  double Tolerance = 1 + PercentError / std::max(Running->PercentDone, MinimumPercent);
  bool IsOfUseHere = Remaining <= UsefulMilliseconds * Tolerance;
  if (!IsOfUseHere && !Progress.IsObservedOnSeveral)
    // A move costs nothing, and the worker may be at fault.
    Prognosis.TypicalMilliseconds =
        std::min(Prognosis.TypicalMilliseconds, Progress.TypicalMilliseconds);
  double BestCase = Prognosis.TypicalMilliseconds / FastestSpeed_ + MoveMilliseconds;
  if (!IsOfUseHere && BestCase > UsefulMilliseconds * Tolerance)
    return giveUpTask(Job, Task, Now);
  if (IsOfUseHere && Prognosis.Delay != RunDelay::SlowWorker)
    return stayOnWorker(Job, Task, *Running, Prognosis, Remaining);
  if (Placed.Moves < MaximumMoves)
    moveRun(Job, Task, *Running, Prognosis, Remaining, Now);
}

void PoolManager::stayOnWorker(PoolJob &Job, std::uint32_t Task, const Run &Running,
                               const RunPrognosis &Prognosis, double RemainingMilliseconds) {
  auto &Placed = Job.Tasks[Task];
  if (Placed.StaysAsLong)
    return;
  Placed.StaysAsLong = true;
  ++Counters_.MovesAvoided;
  Log_.line(DecisionPriority::Notable, "a late run stays on its worker", Job.key(),
            {{"worker", std::string_view(Fleet_.at(Placed.Worker).Entry.Id)},
             {"index", static_cast<std::int64_t>(Running.Task.Index)},
             {"percent", Running.PercentDone},
             {"rest_ms", RemainingMilliseconds},
             {"length_ms", Prognosis.TypicalMilliseconds},
             {"expected_ms", Job.Steps[Running.Task.Step].TypicalMilliseconds},
             {"siblings", static_cast<std::int64_t>(Prognosis.Siblings)},
             {"fault_log_odds", Prognosis.LogOdds}});
}

void PoolManager::moveRun(PoolJob &Job, std::uint32_t Task, const Run &Running,
                          const RunPrognosis &Prognosis, double RemainingMilliseconds,
                          core::TimePoint Now) {
  if (Running.mayStartLater(Now))
    return; // Another incarnation of the worker may start it beside the new run.
  auto &Placed = Job.Tasks[Task];
  auto Restart =
      fastestRestart(Job, Running.Task.Step, Placed.Worker, Prognosis.TypicalMilliseconds, Now);
  if (!Restart)
    return;
  double ObjectiveMilliseconds = core::toMilliseconds(Job.ObjectiveAt - Now);
  double UsefulMilliseconds = core::toMilliseconds(Job.UsefulUntil - Now);
  double RestartEnd = *Restart * FreshRunMargin + MoveMilliseconds;
  bool MeetsObjective = RestartEnd <= ObjectiveMilliseconds;
  bool BecomesUseful =
      RemainingMilliseconds > UsefulMilliseconds && RestartEnd <= UsefulMilliseconds;
  if (!MeetsObjective && !BecomesUseful)
    return;
  ++Counters_.StragglersMoved;
  ++Placed.Moves;
  Log_.line(DecisionPriority::Notable, "moving a slow run", Job.key(),
            {{"worker", std::string_view(Fleet_.at(Placed.Worker).Entry.Id)},
             {"index", static_cast<std::int64_t>(Running.Task.Index)},
             {"percent", Running.PercentDone},
             {"elapsed_ms", core::toMilliseconds(Now - Running.StartSentAt)},
             {"rest_ms", RemainingMilliseconds},
             {"length_ms", Prognosis.TypicalMilliseconds},
             {"siblings", static_cast<std::int64_t>(Prognosis.Siblings)},
             {"fault_log_odds", Prognosis.LogOdds},
             {"fresh_ms", RestartEnd},
             {"objective_in_ms", ObjectiveMilliseconds}});
  if (Prognosis.Delay == RunDelay::SlowWorker || Ratings_.speed(Placed.Worker) < SlowSpeed)
    Ratings_.recordFailure(Placed.Worker, Job.Kind, Job.key(), Now);
  // Should the next run be as long on another worker, then it is the job.
  auto &Progress = Job.Steps[Running.Task.Step];
  Progress.Former.push_back(observe(Job, Running, Placed.Worker));
  Progress.MovedFrom.push_back(Placed.Worker);
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
