#include "Kernel/DispatcherState.h"

#include <algorithm>
#include <limits>

namespace cornellift::kernel {
namespace {

/// First interval between status queries about a delegated task, for which the scheduler may have
/// no estimate yet.
constexpr core::Duration StatusQueryInterval = std::chrono::milliseconds(250);

/// Returns the last attempt that a query fences; the maximum when the query has no attempt.
std::uint32_t fencedAttempt(const AskDelegated &Query) {
  return Query.Attempt != 0 ? Query.Attempt : std::numeric_limits<std::uint32_t>::max();
}

} // namespace

auto Dispatcher::State::on(StartDelegated &Next) -> Rescheduling {
  if (const auto *Known = Delegated_.find(Next.Task); Known && mayStartNow(*Known, Next)) {
    Delegated_.dropRefused(Next.Task);
  } else if (Known) {
    if (Known->CurrentState == DelegatedTask::State::Running)
      Delegated_.attach(Next.Request, Next.Task);
    else
      respondDelegated(Next.Request, Next.Task, *Known, DelegatedCall::Start);
    return Rescheduling::NotNeeded;
  }
  if (Delegated_.mayHaveEvicted(Next.Task)) {
    respond(Next.Request, DelegatedReply{StartRefused{Next.Task, {}, StartRefusal::Fenced}});
    return Rescheduling::NotNeeded;
  }
  if (Delegated_.full()) {
    // Without a record a later copy could start, so the sequence is treated as evicted.
    Delegated_.markEvicted(Next.Task);
    respond(Next.Request, DelegatedReply{StartRefused{Next.Task, {}, StartRefusal::NoSlot}});
    return Rescheduling::NotNeeded;
  }
  // This process owns the job, so its tasks start through the job or not at all.
  if (issuerOf(Next.Task.Job))
    return refuseDelegated(Next, StartRefusal::NoSlot);
  if (Lifecycle_ != Lifecycle::Serving)
    return refuseDelegated(Next, StartRefusal::Leaving);
  auto Endpoint =
      Scheduler_->placeDelegated(Next.Task, Next.Service, Next.Kind, Next.Team, Next.Spec, Now_);
  if (!Endpoint)
    return refuseDelegated(Next, StartRefusal::NoSlot);
  Delegated_.add(Next.Task, {}).Attempt = Next.Attempt;
  Delegated_.attach(Next.Request, Next.Task);
  ++Counters_.StartedTasks;
  RunningTask Started;
  Started.Endpoint = *Endpoint;
  Started.Attempt = ++LastAttempt_;
  Started.StartedFor = RunningTask::Owner::Delegated;
  Started.StatusQueryInterval = StatusQueryInterval;
  Started.DueAt = Scheduler_->statusQueryAt(Next.Task, *Endpoint, Now_);
  Running_.add(Next.Task, Started);
  emit(StartTask{Next.Task, *Endpoint, Next.Service, Next.Kind, Next.Team, Next.Spec,
                 std::move(Next.Payload), 0, Next.TaskCount, Started.Attempt, Next.Fingerprint});
  return Rescheduling::NotNeeded;
}

/// A refusal or fence applies to the attempt that it answered and to earlier ones that arrive late.
/// If it applied to later attempts too, tasks would wait for minutes although slots are idle.
bool Dispatcher::State::mayStartNow(const DelegatedTask &Known, const StartDelegated &Next) {
  return Known.CurrentState == DelegatedTask::State::Refused && Next.Attempt > Known.Attempt;
}

auto Dispatcher::State::refuseDelegated(const StartDelegated &Next, StartRefusal Cause)
    -> Rescheduling {
  DelegatedTask Record;
  Record.CurrentState = DelegatedTask::State::Refused;
  Record.Cause = Cause;
  Record.Attempt = Next.Attempt;
  Delegated_.add(Next.Task, std::move(Record));
  Delegated_.recordEnd(Next.Task, Now_);
  respond(Next.Request, DelegatedReply{StartRefused{Next.Task, {}, Cause}});
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(AskDelegated &Next) -> Rescheduling {
  if (auto *Known = Delegated_.find(Next.Task)) {
    // The reply is "fenced", which applies to the queried attempt: its start may still be in
    // flight.
    if (Known->CurrentState == DelegatedTask::State::Refused)
      Known->Attempt = std::max(Known->Attempt, fencedAttempt(Next));
    respondDelegated(Next.Request, Next.Task, *Known, DelegatedCall::Ask);
    return Rescheduling::NotNeeded;
  }
  // Without a record, a fence is valid only if no record of the task can have been evicted.
  bool Fenceable = Next.Purpose == AskDelegated::Operation::Fence && !Delegated_.full() &&
                   !Delegated_.mayHaveEvicted(Next.Task) && !Running_.contains(Next.Task);
  if (!Fenceable) {
    respond(Next.Request, DelegatedReply{TaskReported{Next.Task, {}, TaskReport::Unknown}});
    return Rescheduling::NotNeeded;
  }
  DelegatedTask Record;
  Record.CurrentState = DelegatedTask::State::Refused;
  Record.Cause = StartRefusal::Fenced;
  Record.Attempt = fencedAttempt(Next);
  respondDelegated(Next.Request, Next.Task, Delegated_.add(Next.Task, std::move(Record)),
                   DelegatedCall::Ask);
  Delegated_.recordEnd(Next.Task, Now_);
  return Rescheduling::NotNeeded;
}

void Dispatcher::State::respondDelegated(RequestId Request, TaskId Task,
                                         const DelegatedTask &Record, DelegatedCall Call) {
  switch (Record.CurrentState) {
  case DelegatedTask::State::Running:
    respond(Request, DelegatedReply{TaskReported{Task, {}, TaskReport::Running}});
    return;
  case DelegatedTask::State::Ended:
    respond(Request, DelegatedReply{*Record.Ended});
    return;
  case DelegatedTask::State::Lost:
    respond(Request, DelegatedReply{TaskReported{Task, {}, TaskReport::Unknown}});
    return;
  case DelegatedTask::State::Refused:
    if (Call == DelegatedCall::Start)
      respond(Request, DelegatedReply{StartRefused{Task, {}, Record.Cause}});
    else
      respond(Request, DelegatedReply{TaskReported{Task, {}, TaskReport::NotStartedAndFenced}});
  }
}

void Dispatcher::State::endDelegated(TaskId Task, DelegatedTask::State End,
                                     std::shared_ptr<const TaskEnded> Ended, StartRefusal Cause) {
  auto &Record = *Delegated_.find(Task);
  Record.CurrentState = End;
  Record.Ended = std::move(Ended);
  Record.Cause = Cause;
  Delegated_.recordEnd(Task, Now_);
  for (auto Request : Delegated_.takeWaiters(Task))
    respondDelegated(Request, Task, Record, DelegatedCall::Start);
}

} // namespace cornellift::kernel
