#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Part of the client's response time that this process cannot measure: the network round trip and
/// the hops between client and entry process.
constexpr double ClientOverheadMilliseconds = 8;
/// A late answer is still of use up to this many times the objective's duration.
constexpr double UsefulFactor = 3;
/// Expected excess of the longest task of a step over the typical one, as a share of its run time
/// per doubling of the number of tasks. All tasks of a step have the same declared run time.
constexpr double LongestPerDoubling = 0.06;
/// How long the runs of a job continue after the last heartbeat of its entry process. The client
/// resubmits the job 1.3 s after its connection broke, and stopping the runs takes some time.
constexpr core::Duration OrphanedJobLifetime = std::chrono::milliseconds(1000);
/// How long the leases of these runs last after that heartbeat, if this process is paused or killed
/// before it has stopped the runs.
constexpr core::Duration OrphanedLeaseLifetime = std::chrono::milliseconds(1200);
/// Time after which tasks delegated to a lost manager no longer run. Either it has noticed the loss
/// too and has stopped them, or their leases have expired. A start may have reached an incarnation
/// of the worker that the lost manager did not know, just before that manager ended.
constexpr core::Duration LostManagerDelay = LongestLease + std::chrono::milliseconds(30);

/// Retry-After while other jobs use up the memory for jobs.
constexpr double MemoryRetryMilliseconds = 1000;

/// Number of cancellings that a process is told when its link comes up: some 50 KB.
constexpr std::size_t MaximumBelatedCancellings = 4000;

} // namespace

void PoolManager::submit(PeerIndex From, const std::shared_ptr<const JobSubmission> &Submission,
                         core::TimePoint Now) {
  ++Counters_.JobsReceived;
  if (repeatAnswer(From, Submission->Key, Now) || attachToExisting(From, Submission, Now))
    return;
  auto &Job = createJob(From, Submission, false, Now);
  OwnJobs_[Submission->Key] = Job.Handle;
  double Work = totalWork(Job);
  Job.IsWide = Shares_.offered(Job.Kind, Submission->Policy.Priority, Work);
  Job.ArrivalStanding = Shares_.standingOf(Job.Kind, Job.IsWide);
  Inflow_.add(Work, Now);
  seekWorkers(Job, Now);
  if (JobBytes_ > Settings_.JobBytes)
    return endJob(Job, {JobVerdict::Rejected, "no memory for the job", MemoryRetryMilliseconds},
                  Now);
  if (auto Refused = rejectionFor(Job, Now))
    return endJob(Job, std::move(*Refused), Now);
  enqueue(Job, Now);
  NeedsDispatch_ = true;
}

bool PoolManager::repeatAnswer(PeerIndex From, JobKey Key, core::TimePoint Now) {
  const auto *Earlier = Answered_.find(Key, Now);
  if (!Earlier)
    Earlier = Cancelled_.find(Key, Now);
  if (!Earlier)
    return false;
  Log_.line(DecisionPriority::Notable, "job resubmitted after its end", Key, {});
  Output_.send(From, PoolAnswer{Key, *Earlier});
  return true;
}

bool PoolManager::attachToExisting(PeerIndex From,
                                   const std::shared_ptr<const JobSubmission> &Submission,
                                   core::TimePoint Now) {
  auto Known = OwnJobs_.find(Submission->Key);
  if (Known == OwnJobs_.end())
    return false;
  auto &Job = Jobs_.at(Known->second);
  Log_.line(DecisionPriority::Notable, "job resubmitted", Submission->Key,
            {{"ending", std::int64_t{Job.IsEnding}},
             {"active_tasks", static_cast<std::int64_t>(Job.active())}});
  if (Job.IsEnding) {
    Job.Successor = Submission;
    Job.SuccessorOrigin = From;
    return true;
  }
  if (std::find(Job.Origins.begin(), Job.Origins.end(), From) == Job.Origins.end())
    Job.Origins.push_back(From);
  Job.OrphanedUntil.reset();
  enqueue(Job, Now);
  NeedsDispatch_ = true;
  Job.UsefulUntil = std::max(Job.UsefulUntil, Submission->AnswerBy);
  return true;
}

PoolJob &PoolManager::createJob(PeerIndex From,
                                const std::shared_ptr<const JobSubmission> &Submission,
                                bool IsDelegation, core::TimePoint Now) {
  auto Handle = static_cast<JobHandle>(NextHandle_++);
  auto &Job = Jobs_[Handle];
  Job.Handle = Handle;
  Job.Submission = Submission;
  setJobBytes(JobBytes_ + Submission->memory());
  Job.IsDelegation = IsDelegation;
  Job.Origins.push_back(From);
  Job.Kind = kindOf(*Submission, Kinds_);
  Kinds_.jobCame(Job.Kind);
  addSteps(Job, Kinds_);
  wantRacks(Job, RackDemand_, Now);
  setDeadlines(Job);
  if (!IsDelegation)
    unblockSteps(Job);
  return Job;
}

KindIndex PoolManager::kindOf(const JobSubmission &Submission, JobKindRunTimes &Kinds) {
  return Kinds.kindOf(Submission.Policy.Route,
                      Submission.Steps.empty() ? 0 : Submission.Steps.front().DeclaredMilliseconds);
}

void PoolManager::addSteps(PoolJob &Job, const JobKindRunTimes &Kinds) {
  std::uint32_t FirstTask = 0;
  for (const auto &Step : Job.Submission->Steps) {
    auto Estimate = Kinds.estimate(Job.Kind, Step);
    auto &Progress = Job.Steps.emplace_back();
    Progress.FirstTask = FirstTask;
    Progress.Unfinished = Step.Count;
    Progress.TypicalMilliseconds = Estimate.medianMilliseconds();
    Progress.Deviation = Estimate.LogDeviation;
    FirstTask += Step.Count;
  }
  Job.Tasks.resize(FirstTask);
}

void PoolManager::wantRacks(const PoolJob &Job, RackDemand &Demand, core::TimePoint Now) const {
  if (Settings_.RemoteFactor <= 1)
    return;
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step) {
    const auto &Wanted = Job.Submission->Steps[Step];
    // A delegation counts as one task: how many of the step arrive is not known here.
    auto Tasks = Job.IsDelegation ? 1 : Wanted.Count;
    if (!Wanted.DataRack.empty())
      Demand.want(Wanted.DataRack, Tasks * Job.Steps[Step].TypicalMilliseconds, Now);
  }
}

void PoolManager::setDeadlines(PoolJob &Job) const {
  const auto &Submission = *Job.Submission;
  std::vector<double> EndOfStep(Submission.Steps.size());
  double Longest = 0;
  for (std::size_t Step = 0; Step < Submission.Steps.size(); ++Step) {
    double Begin = 0;
    for (auto Earlier : Submission.Steps[Step].After)
      if (Earlier < Step)
        Begin = std::max(Begin, EndOfStep[Earlier]);
    double LongestFactor =
        1 + LongestPerDoubling * std::log2(std::max(1U, Submission.Steps[Step].Count));
    double Typical =
        std::max(Job.Steps[Step].TypicalMilliseconds, Job.Steps[Step].ShownMilliseconds);
    EndOfStep[Step] = Begin + Typical * MeanSlowness_ * LongestFactor;
    Longest = std::max(Longest, EndOfStep[Step]);
  }
  double Objective =
      Submission.Policy.Stretch * Longest + Submission.Policy.TargetLatencyMilliseconds;
  // The caller's deadline applies even if the objective of a large job is later.
  auto ObjectiveAt = std::min(Submission.AnswerBy,
                              Submission.ReceivedAt +
                                  core::fromMilliseconds(Objective - ClientOverheadMilliseconds));
  auto UsefulUntil =
      std::min(Submission.AnswerBy,
               Submission.ReceivedAt + core::fromMilliseconds(Objective * UsefulFactor));
  // A job that has shown its length gets more time; none is ever taken from it.
  Job.ObjectiveAt = std::max(Job.ObjectiveAt, ObjectiveAt);
  Job.UsefulUntil = std::max(Job.UsefulUntil, UsefulUntil);
  Job.LatestStart = std::max(Job.LatestStart, ObjectiveAt - core::fromMilliseconds(Longest));
}

void PoolManager::unblockSteps(PoolJob &Job) {
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step) {
    const auto &After = Job.Submission->Steps[Step].After;
    bool IsReady = std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
      return Earlier >= Job.Steps.size() || Job.Steps[Earlier].Unfinished == 0;
    });
    auto &Progress = Job.Steps[Step];
    if (!IsReady)
      continue;
    for (std::uint32_t Index = 0; Index < Job.Submission->Steps[Step].Count; ++Index) {
      auto &Task = Job.Tasks[Progress.FirstTask + Index];
      if (Task.State != TaskState::Blocked)
        continue;
      Task.State = TaskState::Waiting;
      ++Progress.Waiting;
    }
  }
}

void PoolManager::finishTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  auto &Done = Job.Tasks[Task];
  if (Done.State == TaskState::Done)
    return;
  Done.State = TaskState::Done;
  auto &Step = Job.Steps[Job.stepOf(Task)];
  if (Step.Unfinished > 0)
    --Step.Unfinished;
  if (Job.IsEnding)
    return removeIfInactive(Job.Handle, Now);
  if (Job.isFinished())
    return endJob(Job, {JobVerdict::Completed, {}, 0}, Now);
  if (Step.Unfinished == 0) {
    unblockSteps(Job);
    enqueue(Job, Now);
  }
}

void PoolManager::failTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  auto &Failed = Job.Tasks[Task];
  ++Failed.Failures;
  if (!Job.IsEnding && Failed.Failures >= Job.Submission->Policy.MaximumAttempts) {
    Failed.State = TaskState::Done;
    return endJob(Job, {JobVerdict::Failed, "a task failed in every attempt", 0}, Now);
  }
  requeueTask(Job, Task, Now);
}

void PoolManager::requeueTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  if (Job.IsEnding) {
    Job.Tasks[Task].State = TaskState::Done;
    return removeIfInactive(Job.Handle, Now);
  }
  Job.Tasks[Task].State = TaskState::Waiting;
  auto &Step = Job.Steps[Job.stepOf(Task)];
  ++Step.Waiting;
  enqueue(Job, Now);
  NeedsDispatch_ = true;
}

void PoolManager::endJob(PoolJob &Job, JobAnswer Answer, core::TimePoint Now) {
  Job.IsEnding = true;
  Queue_.remove(Job.Handle);
  if (Answer.Verdict == JobVerdict::Rejected)
    settle(Job, false, Now);
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    releaseFromWait(Job, Step, Job.Steps[Step].Wait.Tasks, &PoolCounters::DataWaitsJobEnded,
                    "the job ended", Now);
    Job.Steps[Step].Waiting = 0;
  }
  countEnded(Answer.Verdict);
  Answer.IsLate = Answer.Verdict == JobVerdict::Completed && Now > Job.ObjectiveAt;
  if (Answer.IsLate)
    Answer.Why = "completed late";
  if (!Answer.Why.empty())
    Log_.line(DecisionPriority::Notable, "job ended without success in time", Job.key(),
              {{"why", std::string_view(Answer.Why)},
               {"age_ms", core::toMilliseconds(Now - Job.Submission->ReceivedAt)},
               {"objective_in_ms", core::toMilliseconds(Job.ObjectiveAt - Now)},
               {"active_tasks", static_cast<std::int64_t>(Job.active())},
               {"tasks", static_cast<std::int64_t>(Job.Tasks.size())},
               {"workers_held", static_cast<std::int64_t>(Fleet_.heldCount())},
               {"wait_estimate_ms", backlogMilliseconds(forecastRoom(Now))},
               {"queued_jobs", static_cast<std::int64_t>(Queue_.size())}});
  for (auto Origin : Job.Origins)
    Output_.send(Origin, PoolAnswer{Job.key(), Answer});
  if (Answer.Verdict == JobVerdict::Completed || Answer.Verdict == JobVerdict::Failed)
    Answered_.add(Job.key(), std::move(Answer), Now);
  for (std::uint32_t Task = 0; Task < Job.Tasks.size(); ++Task)
    stopTask(Job, Task, Now);
  removeIfInactive(Job.Handle, Now);
}

void PoolManager::countEnded(JobVerdict Verdict) {
  switch (Verdict) {
  case JobVerdict::Completed:
    ++Counters_.JobsCompleted;
    return;
  case JobVerdict::Failed:
    ++Counters_.JobsFailed;
    return;
  case JobVerdict::Rejected:
    ++Counters_.JobsRejected;
    return;
  case JobVerdict::GivenUp:
    ++Counters_.JobsGivenUp;
    return;
  case JobVerdict::Cancelled:
    ++Counters_.JobsCancelled;
    return;
  }
}

void PoolManager::stopTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  auto &Stopped = Job.Tasks[Task];
  switch (Stopped.State) {
  case TaskState::Placed:
    return Fleet_.stopRun(Stopped.Worker, Job.refOf(Task), Stopped.LastRun, Now);
  case TaskState::Delegated:
    return Output_.send(Stopped.Manager, StopDelegated{Job.key(), Task});
  case TaskState::Blocked:
  case TaskState::Waiting:
    Stopped.State = TaskState::Done;
    return;
  case TaskState::PossiblyRunning:
  case TaskState::Done:
    return;
  }
}

void PoolManager::removeIfInactive(JobHandle Handle, core::TimePoint Now) {
  auto *Job = find(Handle);
  if (!Job || Job->active() > 0 || (!Job->IsDelegation && !Job->IsEnding))
    return;
  auto Successor = Job->Successor;
  auto Origin = Job->SuccessorOrigin;
  if (Job->IsDelegation)
    Delegations_.erase({Job->Origins.front(), Job->key()});
  else
    OwnJobs_.erase(Job->key());
  Queue_.remove(Handle);
  setJobBytes(JobBytes_ - Job->Submission->memory());
  Jobs_.erase(Handle);
  if (Successor)
    submit(Origin, Successor, Now);
}

void PoolManager::abandon(PeerIndex From, JobKey Key, core::TimePoint Now) {
  auto Found = OwnJobs_.find(Key);
  if (Found == OwnJobs_.end())
    return;
  auto &Job = Jobs_.at(Found->second);
  if (Job.Successor && Job.SuccessorOrigin == From)
    Job.Successor.reset();
  std::erase(Job.Origins, From);
  if (Job.IsEnding || !Job.Origins.empty())
    return;
  ++Counters_.JobsAbandoned;
  endJob(Job, {JobVerdict::GivenUp, "the caller has disconnected", 0}, Now);
}

bool PoolManager::cancel(JobKey Key, core::TimePoint Now) {
  Cancelled_.add(Key, {JobVerdict::Cancelled, {}, 0}, Now);
  return endCancelled(Key, Now);
}

void PoolManager::cancelBelatedly(const CancelledJob &Cancelled, core::TimePoint Now) {
  if (Cancelled_.find(Cancelled.Job, Now))
    return;
  Cancelled_.add(Cancelled.Job, {JobVerdict::Cancelled, {}, 0}, Cancelled.At);
  endCancelled(Cancelled.Job, Now);
}

CancelledJobs PoolManager::recentlyCancelled(core::TimePoint Now) const {
  CancelledJobs Message;
  for (auto [Job, At] : Cancelled_.newest(MaximumBelatedCancellings, Now))
    Message.Jobs.push_back({Job, At});
  return Message;
}

bool PoolManager::endCancelled(JobKey Key, core::TimePoint Now) {
  JobAnswer Answer{JobVerdict::Cancelled, {}, 0};
  auto Found = OwnJobs_.find(Key);
  if (Found == OwnJobs_.end())
    return false;
  auto &Job = Jobs_.at(Found->second);
  if (auto Successor = std::exchange(Job.Successor, nullptr)) {
    ++Counters_.JobsCancelled;
    Output_.send(Job.SuccessorOrigin, PoolAnswer{Key, Answer});
    return true;
  }
  if (Job.IsEnding)
    return false;
  endJob(Job, std::move(Answer), Now);
  afterEvent(Now);
  return true;
}

std::optional<core::TimePoint> PoolManager::leaseLimitOf(const Run &Each) const {
  auto Found = Jobs_.find(Each.Job);
  if (Found == Jobs_.end() || Found->second.IsDelegation)
    return std::nullopt;
  const auto &Job = Found->second;
  if (Job.OrphanedUntil)
    return *Job.OrphanedUntil - OrphanedJobLifetime + OrphanedLeaseLifetime;
  std::optional<core::TimePoint> HeardAt;
  for (auto Origin : Job.Origins) {
    auto Heard = HeardAt_.find(Origin);
    if (Heard == HeardAt_.end())
      return std::nullopt; // This process, or a peer whose first heartbeat has not arrived.
    HeardAt = std::max(HeardAt.value_or(Heard->second), Heard->second);
  }
  if (!HeardAt)
    return std::nullopt;
  return *HeardAt + OrphanedLeaseLifetime;
}

void PoolManager::peerLost(PeerIndex Peer, core::TimePoint LastHeard, core::TimePoint Now) {
  HeardAt_.erase(Peer);
  std::vector<JobHandle> Delegations;
  for (auto &[Handle, Job] : Jobs_) {
    if (Job.IsDelegation) {
      if (Job.Origins.front() == Peer)
        Delegations.push_back(Handle);
      continue;
    }
    if (Job.SuccessorOrigin == Peer)
      Job.Successor.reset(); // The client submits it again to another process.
    bool WasAwaited = std::erase(Job.Origins, Peer) > 0;
    bool IsOrphaned = WasAwaited && Job.Origins.empty() && !Job.IsEnding;
    if (IsOrphaned) {
      Job.OrphanedUntil = LastHeard + OrphanedJobLifetime;
      Queue_.remove(Handle); // Its runs may end, but no more are started for a disconnected caller.
    }
    for (auto &Task : Job.Tasks)
      if (Task.State == TaskState::Delegated && Task.Manager == Peer) {
        Job.HasRun = true;
        Task.State = TaskState::PossiblyRunning;
        Task.EndedBy = Now + LostManagerDelay;
      }
    // Only this process can end its delegated tasks in time: should it be paused, too, the other
    // manager notices that after the client has resubmitted the job.
    for (std::uint32_t Task = 0; IsOrphaned && Task < Job.Tasks.size(); ++Task)
      if (Job.Tasks[Task].State == TaskState::Delegated)
        stopTask(Job, Task, Now);
  }
  for (auto Handle : Delegations) {
    auto &Job = Jobs_.at(Handle);
    for (std::uint32_t Task = 0; Task < Job.Tasks.size(); ++Task)
      stopTask(Job, Task, Now);
  }
  Remotes_.erase(Peer);
  afterEvent(Now);
}

} // namespace cornellift::kernel
