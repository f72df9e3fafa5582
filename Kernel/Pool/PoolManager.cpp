#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Interval between checks for waiting jobs that can no longer be served.
constexpr core::Duration ExpiryInterval = std::chrono::milliseconds(5);
constexpr core::Duration StragglerCheckInterval = std::chrono::milliseconds(20);
/// Interval between checks for waiting jobs that only evacuated workers could do.
constexpr core::Duration EvacuationCheckInterval = std::chrono::milliseconds(500);
/// How long an answer is kept for resubmissions of the job.
constexpr core::Duration AnswerRetention = std::chrono::seconds(15);
constexpr std::size_t MaximumAnswers = 1000000;
/// How long a cancelling is kept for late copies of the job; callers may ask for a job's state for
/// that long.
constexpr core::Duration CancellingRetention = std::chrono::seconds(120);
/// Some 100 bytes each, on VMs of 120 MB.
constexpr std::size_t MaximumCancellings = 50000;

std::string_view runOutcomeName(RunOutcome How) {
  switch (How) {
  case RunOutcome::Done:
    return "done";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Stopped:
    return "stopped";
  case RunOutcome::Lost:
    return "lost";
  case RunOutcome::NotStarted:
    return "not_started";
  case RunOutcome::Outdated:
    return "outdated";
  }
  return "unknown";
}

} // namespace

PoolManager::PoolManager(const PoolSettings &Settings, PoolOutput &Output, TokenSource &Tokens,
                         DecisionLog &Log)
    : Settings_(Settings), Output_(Output), Log_(Log), Fleet_(Output, *this, Tokens, Log),
      Answered_(AnswerRetention, MaximumAnswers),
      Cancelled_(CancellingRetention, MaximumCancellings) {}

void PoolManager::setWorkers(std::span<const WorkerEntry> Entries, core::TimePoint Now) {
  if (std::equal(Entries.begin(), Entries.end(), Listed_.begin(), Listed_.end()))
    return;
  if (Listed_.empty())
    WorkersFoundAt_ = Now;
  Listed_.assign(Entries.begin(), Entries.end());
  ++DirectoryVersion_;
  Fleet_.setListed(Entries, Now);
  std::unordered_map<std::string_view, EndpointIndex> IndexById;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    Ratings_.addOrUpdateWorker(Index, Fleet_.at(Index).Entry);
    IndexById.emplace(Fleet_.at(Index).Entry.Id, Index);
  }
  ListedIndexes_.clear();
  for (const auto &Entry : Listed_)
    ListedIndexes_.push_back(IndexById.at(Entry.Id));
  for (const auto &[Peer, Known] : Remotes_)
    if (Known.IsManager)
      sendDirectory(Peer);
  ReportIsDue_ = true;
  NeedsDispatch_ = true;
  afterEvent(Now);
}

void PoolManager::setEvacuated(const std::set<std::string> &DataCentres, core::TimePoint Now) {
  Fleet_.setEvacuated(DataCentres);
  EvacuatedDataCentres_ = DataCentres;
  rejectEvacuated(Now);
  ReportIsDue_ = true;
  NeedsDispatch_ = true;
  afterEvent(Now);
}

void PoolManager::rejectEvacuated(core::TimePoint Now) {
  NextEvacuationCheck_ = Now + EvacuationCheckInterval;
  std::vector<JobHandle> Unplaceable;
  for (const auto &Key : Queue_) {
    const auto &Job = Jobs_.at(Key.Handle);
    if (!Job.mayHaveRun() && needsEvacuatedWorkers(Job, Now))
      Unplaceable.push_back(Key.Handle);
  }
  for (auto Handle : Unplaceable)
    endJob(Jobs_.at(Handle), evacuatedAnswer(), Now);
}

void PoolManager::receive(PeerIndex From, const PoolMessage &Message, core::TimePoint Now) {
  if (const auto *Submitted = std::get_if<SubmitToPool>(&Message))
    submit(From, Submitted->Submission, Now);
  else if (const auto *Abandoned = std::get_if<AbandonJob>(&Message))
    abandon(From, Abandoned->Job, Now);
  else if (const auto *Delegated = std::get_if<DelegateTasks>(&Message))
    acceptDelegated(From, *Delegated, Now);
  else if (const auto *Ended = std::get_if<DelegatedTaskEnded>(&Message))
    delegatedEnded(From, *Ended, Now);
  else if (const auto *Stopped = std::get_if<StopDelegated>(&Message))
    stopDelegated(From, *Stopped, Now);
  else if (const auto *Directory = std::get_if<PoolDirectory>(&Message))
    Remotes_[From].Pool.setDirectory(*Directory);
  else if (const auto *Report = std::get_if<PoolReport>(&Message)) {
    Remotes_[From].Pool.setReport(*Report, Now);
    NeedsDispatch_ = !Queue_.empty();
  }
  afterEvent(Now);
}

void PoolManager::startReplied(EndpointIndex Worker, const StartCommand &Command,
                               const CommandReply &Reply, core::TimePoint Now) {
  Fleet_.startReplied(Worker, Command, Reply, Now);
  afterEvent(Now);
}

void PoolManager::stopReplied(EndpointIndex Worker, const StopCommand &Command,
                              const CommandReply &Reply, core::TimePoint Now) {
  Fleet_.stopReplied(Worker, Command, Reply, Now);
  afterEvent(Now);
}

void PoolManager::pollReplied(EndpointIndex Worker, const PollCommand &Command,
                              const PollReply &Reply, core::TimePoint Now) {
  Fleet_.pollReplied(Worker, Command, Reply, Now);
  afterEvent(Now);
}

void PoolManager::tick(core::TimePoint Now) {
  Fleet_.tick(Now);
  Ratings_.tick(Now);
  requeueLostDelegations(Now);
  if (Now >= NextExpiry_) {
    NextExpiry_ = Now + ExpiryInterval;
    PlacementRate_.observe(hasWorkWithoutRoom(), heldCapacity(Now), Now);
    RackDemand_.forgetExpired(Now);
    reviewWaitingJobs(Now);
    expireJobs(Now);
    Answered_.forgetExpired(Now);
    Cancelled_.forgetExpired(Now);
  }
  if (Now >= NextStragglerCheck_) {
    NextStragglerCheck_ = Now + StragglerCheckInterval;
    moveStragglers(Now);
    moveNoticedRuns(Now);
  }
  // The workers that remain may leave, or may not have been known when a job came.
  if (!EvacuatedDataCentres_.empty() && Now >= NextEvacuationCheck_)
    rejectEvacuated(Now);
  NeedsDispatch_ = NeedsDispatch_ || !Queue_.empty();
  afterEvent(Now);
}

void PoolManager::afterEvent(core::TimePoint Now) {
  if (NeedsDispatch_) {
    NeedsDispatch_ = false;
    dispatch(Now);
  }
  sendReports(Now);
}

void PoolManager::availabilityIncreased(core::TimePoint /*Now*/) {
  NeedsDispatch_ = true;
  ReportIsDue_ = true;
}

std::optional<std::string> PoolManager::specificationOf(const Run &Started) {
  const auto *Job = find(Started.Job);
  if (!Job)
    return std::nullopt;
  return Job->Submission->Specification;
}

bool PoolManager::mayRunOn(const WorkerEntry &Entry, const Run &Each) const {
  auto Found = Jobs_.find(Each.Job);
  if (Found == Jobs_.end() || Found->second.IsEnding || Found->second.OrphanedUntil)
    return false;
  const auto &Job = Found->second;
  const auto &Label = Job.Submission->Steps[Job.stepOf(Each.TaskNumber)].RequiredLabel;
  return Entry.Service == Job.Submission->Policy.Service &&
         (Label.empty() || Entry.hasLabel(Label));
}

void PoolManager::runEnded(EndpointIndex Worker, const Run &Ended, RunOutcome How,
                           core::TimePoint Now) {
  NeedsDispatch_ = true;
  ReportIsDue_ = true;
  EndedOn_.push_back(Worker);
  auto *Job = find(Ended.Job);
  if (!Job)
    return;
  recordOutcome(Worker, *Job, Ended, How, Now);
  const auto &WorkerId = Fleet_.at(Worker).Entry.Id;
  Log_.line(DecisionPriority::Routine, "run ended", Job->key(),
            {{"step", static_cast<std::int64_t>(Ended.Task.Step)},
             {"index", static_cast<std::int64_t>(Ended.Task.Index)},
             {"run", static_cast<std::int64_t>(Ended.Number)},
             {"worker", std::string_view(WorkerId)},
             {"outcome", runOutcomeName(How)},
             {"sends", static_cast<std::int64_t>(Ended.SendCount)},
             {"unanswered", std::int64_t{Ended.mayStartLater(Now)}},
             {"reported", std::int64_t{Ended.IsReported}},
             {"after_ms", core::toMilliseconds(Now - Ended.StartSentAt)}});
  auto &Task = Job->Tasks[Ended.TaskNumber];
  if (How == RunOutcome::Outdated)
    Task.LastRun = std::max(Task.LastRun, Ended.Number) + 16; // Above the worker's last number.
  if (Job->IsDelegation) {
    // The task may have been delegated here again, while a former run was held.
    if (Task.Worker == Worker && Task.LastRun == Ended.Number)
      Task.State = TaskState::Done;
    auto End = How == RunOutcome::Done     ? DelegatedEnd::Done
               : How == RunOutcome::Failed ? DelegatedEnd::Failed
               : How == RunOutcome::NotStarted || How == RunOutcome::Outdated
                   ? DelegatedEnd::Refused
                   : DelegatedEnd::Lost;
    reportDelegatedEnd(*Job, Ended.TaskNumber, Ended.Number, End, WorkerId);
    return removeIfInactive(Job->Handle, Now);
  }
  Job->HasRun = Job->HasRun || (How != RunOutcome::NotStarted && How != RunOutcome::Outdated);
  if (How == RunOutcome::Done)
    return finishTask(*Job, Ended.TaskNumber, Now);
  if (How == RunOutcome::Failed)
    return failTask(*Job, Ended.TaskNumber, Now);
  requeueTask(*Job, Ended.TaskNumber, Now);
}

void PoolManager::recordOutcome(EndpointIndex Worker, PoolJob &Job, const Run &Ended,
                                RunOutcome How, core::TimePoint Now) {
  switch (How) {
  case RunOutcome::Done:
    ++Counters_.RunsDone;
    break;
  case RunOutcome::Failed:
    ++Counters_.RunsFailed;
    return Ratings_.recordFailure(Worker, Job.Kind, Job.key(), Now);
  case RunOutcome::Stopped:
    ++Counters_.RunsStopped;
    return;
  case RunOutcome::Lost:
    ++Counters_.RunsLost;
    return;
  case RunOutcome::NotStarted:
  case RunOutcome::Outdated:
    ++Counters_.StartsRefused;
    return;
  }
  learnFromRun(Worker, Job, Ended, Now);
}

void PoolManager::learnFromRun(EndpointIndex Worker, PoolJob &Job, const Run &Ended,
                               core::TimePoint Now) {
  auto StepIndex = Job.stepOf(Ended.TaskNumber);
  const auto &Step = Job.Submission->Steps[StepIndex];
  double Taken = std::max(1.0, core::toMilliseconds(Ended.EndedAt - Ended.StartSentAt)) /
                 awayFactor(Job, StepIndex, Worker);
  auto Estimate = Kinds_.estimate(Job.Kind, Step);
  // What a cold worker needed says little about its speed later, and about the kind of job.
  if (double ColdTime = ColdStart::coldMilliseconds(Ended.ColdUntil, Ended.StartSentAt);
      ColdTime > 0) {
    ++Counters_.ColdRunsDone;
    Cold_.learn(Estimate.medianMilliseconds() / Ratings_.speed(Worker), Taken, ColdTime);
    return Ratings_.recordSuccess(Worker, Job.Kind);
  }
  Ratings_.recordSuccess(Worker, Job.Kind, Estimate.medianMilliseconds() / Taken,
                         Estimate.LogDeviation, Now);
  double Speed = Ratings_.speed(Worker);
  Kinds_.learn(Job.Kind, Step, Taken, Speed, Now);
  rememberRun(Worker, Job, StepIndex, Taken * Speed, Now);
}

std::uint32_t PoolManager::waitingTasks() const {
  std::uint32_t Sum = 0;
  for (const auto &Key : Queue_)
    Sum += Jobs_.at(Key.Handle).waiting();
  return Sum;
}

std::vector<RouteBacklog> PoolManager::backlog() const {
  std::map<std::string, std::uint32_t> JobsByRoute;
  for (const auto &Key : Queue_) {
    const auto &Job = Jobs_.at(Key.Handle);
    if (!Job.mayHaveRun())
      ++JobsByRoute[Job.Submission->Policy.Route];
  }
  std::vector<RouteBacklog> Result;
  Result.reserve(JobsByRoute.size());
  for (auto &[Route, Count] : JobsByRoute)
    Result.push_back({Route, Count});
  return Result;
}

PoolJob *PoolManager::find(JobHandle Handle) {
  auto Found = Jobs_.find(Handle);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

} // namespace cornellift::kernel
