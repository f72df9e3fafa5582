#include "Kernel/DispatcherState.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Bounds of the interval between status queries about one task. It doubles with each query.
constexpr core::Duration InitialStatusQueryInterval = std::chrono::milliseconds(250);
constexpr core::Duration MaximumStatusQueryInterval = std::chrono::seconds(10);

/// A task whose fence is not answered within this time counts as lost, so that its job can end.
constexpr core::Duration FenceTimeout = std::chrono::seconds(5);

/// Number of times that a task may be refused as invalid before its job ends. More than one,
/// because a single endpoint may be faulty.
constexpr std::uint8_t MaximumInvalidRefusals = 3;

/// Likewise for refusals as fenced. An endpoint that has fenced a task refuses it permanently, so a
/// task that is fenced on every endpoint would be retried without end.
constexpr std::uint8_t MaximumFencedRefusals = 16;

/// Length in bytes to which failure messages of endpoints are truncated in the outcome's reason.
constexpr std::size_t MaximumFailureLength = 512;

} // namespace

auto Dispatcher::State::on(StartRefused &Next) -> Rescheduling {
  if (!runningTask(Next.Task, Next.Endpoint, Next.Attempt))
    return Rescheduling::NotNeeded;
  notStarted(Next.Task, Next.Endpoint, Next.Cause);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(TaskEnded &Next) -> Rescheduling {
  const auto *Found = runningTask(Next.Task, Next.Endpoint, Next.Attempt);
  if (!Found)
    return Rescheduling::NotNeeded;
  auto Owner = Found->StartedFor;
  Running_.remove(Next.Task);
  Scheduler_->taskEnded(Next, Now_);
  if (Owner == RunningTask::Owner::Delegated) {
    auto Task = Next.Task;
    endDelegated(Task, DelegatedTask::State::Ended,
                 std::make_shared<const TaskEnded>(std::move(Next)), {});
    return Rescheduling::Needed;
  }
  auto &Job = *Jobs_.find(Next.Task.Job);
  auto &Task = Job.Tasks[Next.Task.Index];
  --Job.Running;
  if (Next.Verdict == TaskVerdict::Finished) {
    ++Job.Finished;
    Task.State = TaskState::Finished;
    Task.Result = std::move(Next.Result);
    finishIfDone(Job);
    return Rescheduling::Needed;
  }
  ++Job.Failed;
  Task.State = TaskState::Failed;
  if (Job.Phase == JobPhase::Ending) {
    finishIfDone(Job);
    return Rescheduling::Needed;
  }
  auto Message = Next.Result ? Next.Result->substr(0, MaximumFailureLength) : std::string();
  endEarly(Job, core::ErrorKind::Unavailable,
           "task " + std::to_string(Next.Task.Index) + " failed: " + Message);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(TaskUncertain &Next) -> Rescheduling {
  auto *Found = runningTask(Next.Task, Next.Endpoint, Next.Attempt);
  if (Found && Found->State == RunningTask::Phase::Running)
    fence(Next.Task, *Found);
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(TaskReported &Next) -> Rescheduling {
  auto *Found = runningTask(Next.Task, Next.Endpoint, Next.Attempt);
  if (!Found)
    return Rescheduling::NotNeeded;
  if (Next.Report == TaskReport::NotStartedAndFenced) {
    notStarted(Next.Task, Next.Endpoint, StartRefusal::Fenced);
    return Rescheduling::Needed;
  }
  bool WasAsked = Found->Query == RunningTask::QueryState::Pending;
  Found->Query = RunningTask::QueryState::NoQuery;
  if (Next.Report == TaskReport::Running) {
    Found->State = RunningTask::Phase::Running;
    Running_.setDue(Next.Task, *Found, Now_ + Found->StatusQueryInterval);
    return Rescheduling::NotNeeded;
  }
  if (Found->State == RunningTask::Phase::Running) {
    fence(Next.Task, *Found);
    return Rescheduling::NotNeeded;
  }
  // Unknown may be the reply to a status query that was pending; the reply to the fence follows.
  if (WasAsked)
    return Rescheduling::NotNeeded;
  markLost(Next.Task, Next.Endpoint);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(EndpointObserved &Next) -> Rescheduling {
  Scheduler_->endpointObserved(Next, Now_);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(SlotsChanged &Next) -> Rescheduling {
  Scheduler_->slotsChanged(Next.Endpoint, Next.Slots, Now_);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(TeamTargetsChanged &Next) -> Rescheduling {
  Scheduler_->setTeamTargets(std::move(Next.Targets));
  return Rescheduling::NotNeeded;
}

void Dispatcher::State::startTasks() {
  while (auto Choice = Scheduler_->next(Now_)) {
    if (start(*Choice))
      continue;
    ++Counters_.RefusedPlacements;
    Scheduler_->dropJob(Choice->Task.Job, Now_);
    Scheduler_->startRefused(Choice->Task, Choice->Endpoint, StartRefusal::NotSent, Now_);
    return;
  }
}

bool Dispatcher::State::start(const Placement &Choice) {
  auto *Job = Jobs_.find(Choice.Task.Job);
  auto Index = Choice.Task.Index;
  if (!Job || Job->Phase != JobPhase::Open || Index >= Job->Tasks.size() ||
      Job->Tasks[Index].State != TaskState::Waiting || Running_.contains(Choice.Task))
    return false;
  Job->Tasks[Index].State = TaskState::Running;
  ++Job->Running;
  ++Counters_.StartedTasks;
  RunningTask Started;
  Started.Endpoint = Choice.Endpoint;
  Started.Attempt = ++LastAttempt_;
  Started.StartedFor = RunningTask::Owner::OwnJob;
  Started.StatusQueryInterval = InitialStatusQueryInterval;
  Started.DueAt = Scheduler_->statusQueryAt(Choice.Task, Choice.Endpoint, Now_);
  Running_.add(Choice.Task, Started);
  const auto &Spec = Job->Spec;
  emit(StartTask{Choice.Task, Choice.Endpoint, Spec.Service, Spec.Kind, Spec.Team,
                 Spec.Tasks[Index], Spec.Payload, Index,
                 static_cast<std::uint32_t>(Spec.Tasks.size()), Started.Attempt, Job->Fingerprint});
  return true;
}

RunningTask *Dispatcher::State::runningTask(TaskId Task, EndpointIndex Endpoint,
                                            std::uint32_t Attempt) {
  auto *Found = Running_.find(Task, Endpoint, Attempt);
  if (!Found)
    ++Counters_.IgnoredEvents;
  return Found;
}

void Dispatcher::State::notStarted(TaskId Task, EndpointIndex Endpoint, StartRefusal Cause) {
  auto Owner = Running_.find(Task, Endpoint, 0)->StartedFor;
  Running_.remove(Task);
  if (Owner == RunningTask::Owner::Delegated) {
    Scheduler_->startRefused(Task, Endpoint, Cause, Now_);
    endDelegated(Task, DelegatedTask::State::Refused, nullptr, Cause);
    return;
  }
  auto &Job = *Jobs_.find(Task.Job);
  Job.Tasks[Task.Index].State = TaskState::Waiting;
  --Job.Running;
  Scheduler_->startRefused(Task, Endpoint, Cause, Now_);
  if (Job.Phase == JobPhase::Ending) {
    finishIfDone(Job);
    return;
  }
  countRefusal(Job, Task.Index, Cause);
}

void Dispatcher::State::countRefusal(JobRecord &Job, std::uint32_t Index, StartRefusal Cause) {
  auto &Task = Job.Tasks[Index];
  if (Cause == StartRefusal::Invalid && ++Task.InvalidRefusals >= MaximumInvalidRefusals) {
    endEarly(Job, core::ErrorKind::Malformed,
             "endpoints refused task " + std::to_string(Index) +
                 " as invalid; check its payload and declaration");
    return;
  }
  if (Cause == StartRefusal::Fenced && ++Task.FencedRefusals >= MaximumFencedRefusals) {
    endEarly(Job, core::ErrorKind::Unavailable,
             "too many starts of task " + std::to_string(Index) +
                 " were lost on the way to the endpoints; submit the job with a new identifier");
    return;
  }
  endIfDeadlinePassed(Job);
}

void Dispatcher::State::fence(TaskId Task, RunningTask &Started) {
  ++Counters_.FencedTasks;
  Started.State = RunningTask::Phase::Fencing;
  Running_.setDue(Task, Started, Now_ + FenceTimeout);
  emit(FenceTask{Task, Started.Endpoint, Started.Attempt});
}

void Dispatcher::State::markLost(TaskId Task, EndpointIndex Endpoint) {
  ++Counters_.LostTasks;
  auto Owner = Running_.find(Task, Endpoint, 0)->StartedFor;
  Running_.remove(Task);
  Scheduler_->taskLost(Task, Endpoint, Now_);
  if (Owner == RunningTask::Owner::Delegated) {
    endDelegated(Task, DelegatedTask::State::Lost, nullptr, {});
    return;
  }
  auto &Job = *Jobs_.find(Task.Job);
  Job.Tasks[Task.Index].State = TaskState::Lost;
  --Job.Running;
  ++Job.Lost;
  if (Job.Phase == JobPhase::Ending)
    finishIfDone(Job);
  else
    endEarly(Job, core::ErrorKind::Unavailable,
             "the endpoint of task " + std::to_string(Task.Index) +
                 " was lost while the task may have been running");
}

void Dispatcher::State::queryStatus(TaskId Task, RunningTask &Started) {
  Started.Query = RunningTask::QueryState::Pending;
  Running_.setDue(Task, Started, Now_ + Started.StatusQueryInterval);
  Started.StatusQueryInterval =
      std::min(2 * Started.StatusQueryInterval, MaximumStatusQueryInterval);
  emit(AskTask{Task, Started.Endpoint, Started.Attempt});
}

void Dispatcher::State::checkDueTasks() {
  while (auto Due = Running_.nextDue(Now_)) {
    auto [Task, Started] = *Due;
    if (Started->State == RunningTask::Phase::Fencing)
      markLost(Task, Started->Endpoint);
    else
      queryStatus(Task, *Started);
  }
}

} // namespace cornellift::kernel
