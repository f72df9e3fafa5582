#include "Kernel/DispatcherState.h"
#include "Kernel/Jobs/Fingerprint.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Shortest delay after which to retry at an overloaded process; jitter adds up to the same again.
constexpr core::Duration RetryAfter = std::chrono::milliseconds(500);

/// Adds jitter, so that callers do not retry at the same time. It is derived from the identifier,
/// because the kernel has no random source.
core::TimePoint retryAt(JobId Job, core::TimePoint Now) {
  auto Jitter = std::hash<JobId>()(Job) % static_cast<std::uint64_t>(RetryAfter.count());
  return Now + RetryAfter + core::Duration(static_cast<core::Duration::rep>(Jitter));
}

TaskOutcome taskOutcome(TaskState State) {
  switch (State) {
  case TaskState::Finished:
    return TaskOutcome::Finished;
  case TaskState::Failed:
    return TaskOutcome::Failed;
  case TaskState::Waiting:
    return TaskOutcome::NotRun;
  case TaskState::Running:
  case TaskState::Lost:
    break;
  }
  return TaskOutcome::MayHaveRun;
}

constexpr const char *ConflictText =
    "the identifier was used for another job, which may have run; take a new identifier";
constexpr const char *UnknownOutcomeText =
    "the identifier was used and its outcome is no longer kept; the job may have run";
constexpr const char *TransferText =
    "the job is being transferred to another entry process; ask again later";

} // namespace

auto Dispatcher::State::on(OpenSession &Next) -> Rescheduling {
  if (Lifecycle_ != Lifecycle::Serving) {
    respondNotRun(Next.Request, core::ErrorKind::Unavailable,
                  "this entry process is stopping; open the session at another one");
    return Rescheduling::NotNeeded;
  }
  if (!Configuration_) {
    respondNotRun(Next.Request, core::ErrorKind::Unavailable,
                  "no configuration is in force yet; try again later");
    return Rescheduling::NotNeeded;
  }
  auto Block = Issuers_.at(Own_).issue(Now_ + limits().IdentifierLifetime, Next.Team);
  if (Block)
    respond(Next.Request, *Block);
  else
    respondNotRun(Next.Request, core::lastReason().Kind, core::lastReason().Message);
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(SubmitJob &Next) -> Rescheduling {
  std::uint64_t Fingerprint = Configuration_ ? fingerprint(Next.Spec, *Configuration_) : 0;
  if (auto *Active = Jobs_.find(Next.Job)) {
    if (Active->Fingerprint == Fingerprint)
      attach(Next.Request, *Active, Next.WaitUntil);
    else
      respondMayHaveRun(Next.Request, core::ErrorKind::Conflict, ConflictText);
    return Rescheduling::NotNeeded;
  }
  if (const auto *Kept = Outcomes_.find(Next.Job); Kept && Kept->Fingerprint != Fingerprint) {
    respondMayHaveRun(Next.Request, core::ErrorKind::Conflict, ConflictText);
    return Rescheduling::NotNeeded;
  }
  if (respondKeptOutcome(Next.Request, Next.Job))
    return Rescheduling::NotNeeded;
  auto *Issuer = issuerOf(Next.Job);
  if (!Issuer || Issuer->state(Next.Job.Sequence, Now_) != IdentifierState::Unused) {
    respondUnknownJob(Next.Request, Next.Job);
    return Rescheduling::NotNeeded;
  }
  if (!Issuer->usableBy(Next.Job.Sequence, Next.Spec.Team)) {
    respondMayHaveRun(Next.Request, core::ErrorKind::Conflict,
                      "the identifier belongs to another team; take one from POST /v1/sessions");
    return Rescheduling::NotNeeded;
  }
  submitNew(Next, *Issuer, Fingerprint);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(AskOutcome &Next) -> Rescheduling {
  if (auto *Active = Jobs_.find(Next.Job)) {
    if (Next.Team && *Next.Team != Active->Spec.Team)
      respondMayHaveRun(Next.Request, core::ErrorKind::NotFound, UnknownOutcomeText);
    else
      attach(Next.Request, *Active, Next.WaitUntil);
    return Rescheduling::NotNeeded;
  }
  const auto *Kept = Outcomes_.find(Next.Job);
  if (Kept && Next.Team && *Next.Team != Kept->Team) {
    respondMayHaveRun(Next.Request, core::ErrorKind::NotFound, UnknownOutcomeText);
    return Rescheduling::NotNeeded;
  }
  if (!respondKeptOutcome(Next.Request, Next.Job))
    respondUnknownJob(Next.Request, Next.Job);
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(CancelJob &Next) -> Rescheduling {
  auto *Active = Jobs_.find(Next.Job);
  if (!Active) {
    auto *Issuer = issuerOf(Next.Job);
    bool Unused = Issuer && Issuer->state(Next.Job.Sequence, Now_) == IdentifierState::Unused &&
                  !hasTransferBegun();
    // A cancellation that arrives before its submission prevents the job from running.
    if (Unused && (!Next.Team || Issuer->usableBy(Next.Job.Sequence, *Next.Team)))
      markNeverRun(Next.Job);
    AskOutcome Query{Next.Request, Next.Job, std::nullopt, Next.Team};
    return on(Query);
  }
  if (Next.Team && *Next.Team != Active->Spec.Team) {
    respondMayHaveRun(Next.Request, core::ErrorKind::NotFound, UnknownOutcomeText);
    return Rescheduling::NotNeeded;
  }
  if (Active->Phase != JobPhase::Open) {
    respondStatus(Next.Request, *Active);
    return Rescheduling::NotNeeded;
  }
  endEarly(*Active, core::ErrorKind::Conflict, "the job was cancelled");
  if (const auto *Awaited = Jobs_.find(Next.Job))
    respondStatus(Next.Request, *Awaited);
  else if (!respondKeptOutcome(Next.Request, Next.Job))
    respondUnknownJob(Next.Request, Next.Job);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(RequestAbandoned &Next) -> Rescheduling {
  std::erase_if(HeldSubmissions_,
                [&](const SubmitJob &Held) { return Held.Request == Next.Request; });
  auto Job = Requests_.remove(Next.Request);
  auto *Active = Job ? Jobs_.find(*Job) : nullptr;
  if (Active)
    std::erase(Active->Waiters, Next.Request);
  Delegated_.abandon(Next.Request);
  return Rescheduling::NotNeeded;
}

void Dispatcher::State::respondOutcome(RequestId Request, Outcome Content) {
  respond(Request, std::make_shared<const Outcome>(std::move(Content)));
}

void Dispatcher::State::respondNotRun(RequestId Request, core::ErrorKind Kind, std::string Reason) {
  respondOutcome(Request, NotRun{Kind, std::move(Reason), std::nullopt});
}

void Dispatcher::State::respondMayHaveRun(RequestId Request, core::ErrorKind Kind,
                                          std::string Reason) {
  respondOutcome(Request, MayHaveRun{Kind, std::move(Reason), {}});
}

void Dispatcher::State::respondStatus(RequestId Request, const JobRecord &Job) {
  JobStatus Status;
  Status.Waiting = Job.waiting();
  Status.Running = Job.Running;
  Status.Ended = Job.Finished + Job.Failed + Job.Lost;
  if (Job.Phase == JobPhase::Open)
    Status.ExpectedEnd = Scheduler_->expectedEnd(Job.Id, Now_);
  if (Job.Lateness == JobRecord::Flag::FlaggedLate)
    Status.Expectation = JobStatus::Punctuality::ExpectedLate;
  respond(Request, Status);
}

IdentifierIssuer *Dispatcher::State::issuerOf(JobId Job) {
  auto Found = Issuers_.find(Job.Issuer);
  return Found == Issuers_.end() ? nullptr : &Found->second;
}

void Dispatcher::State::markNeverRun(JobId Job) {
  if (auto *Issuer = issuerOf(Job))
    Issuer->markNeverRun(Job.Sequence);
}

void Dispatcher::State::submitNew(SubmitJob &Next, IdentifierIssuer &Issuer,
                                  std::uint64_t Fingerprint) {
  if (hasTransferBegun()) {
    holdForTransfer(Next);
    return;
  }
  auto Refusal = refusal(Next);
  if (!Refusal)
    Refusal = Scheduler_->admit(Next.Job, Next.Spec, Now_);
  if (Refusal) {
    // Marks the identifier, because a repeated submission must not start a job that was reported as
    // not run.
    Issuer.markNeverRun(Next.Job.Sequence);
    if (!Refusal->RetryAt && Refusal->Kind == core::ErrorKind::Overloaded)
      Refusal->RetryAt = retryAt(Next.Job, Now_);
    respondOutcome(Next.Request, std::move(*Refusal));
    return;
  }
  Issuer.markAccepted(Next.Job.Sequence);
  accept(Next.Job, std::move(Next.Spec), Fingerprint);
  auto &Job = *Jobs_.find(Next.Job);
  flagIfExpectedLate(Job);
  attach(Next.Request, Job, Next.WaitUntil);
}

std::optional<NotRun> Dispatcher::State::refusal(const SubmitJob &Next) const {
  if (!Configuration_)
    return NotRun{core::ErrorKind::Unavailable,
                  "no configuration is in force yet; submit again later with a new identifier",
                  std::nullopt};
  if (Lifecycle_ == Lifecycle::Overdue)
    return NotRun{core::ErrorKind::Unavailable,
                  "the entry process is about to stop; submit to another one with a new identifier",
                  std::nullopt};
  const auto &Spec = Next.Spec;
  if (Spec.Tasks.empty() || (Spec.Payload && Spec.Payload->Tasks.size() != Spec.Tasks.size()))
    return NotRun{core::ErrorKind::Malformed,
                  "a job needs at least one task and one payload per task", std::nullopt};
  if (Spec.Tasks.size() > limits().MaximumTasksPerJob)
    return NotRun{core::ErrorKind::TooLarge,
                  "the job has more than " + std::to_string(limits().MaximumTasksPerJob) +
                      " tasks; split it",
                  std::nullopt};
  if (Spec.Deadline && *Spec.Deadline <= Now_)
    return NotRun{core::ErrorKind::Timeout, "the job's deadline has passed", std::nullopt};
  return overload();
}

std::optional<NotRun> Dispatcher::State::overload() const {
  if (Jobs_.taskCount() >= limits().MaximumQueuedTasks ||
      Jobs_.payloadBytes() >= limits().MaximumQueuedBytes)
    return NotRun{core::ErrorKind::Overloaded,
                  "too much work is queued; submit again later with a new identifier",
                  std::nullopt};
  if (Outcomes_.bytes() >= limits().MaximumOutcomeBytes)
    return NotRun{core::ErrorKind::Overloaded,
                  "too many outcomes wait to be fetched; fetch them, then submit again with a new "
                  "identifier",
                  std::nullopt};
  return std::nullopt;
}

void Dispatcher::State::respondUnknownJob(RequestId Request, JobId Job) {
  auto *Issuer = issuerOf(Job);
  auto Known = Issuer ? Issuer->state(Job.Sequence, Now_) : IdentifierState::NotIssued;
  if (Known == IdentifierState::NotIssued) {
    respond(Request, WrongIssuer{Job.Issuer});
    return;
  }
  if (Known == IdentifierState::NeverRun) {
    respondNotRun(Request, core::ErrorKind::Expired,
                  "the job was refused or cancelled before; submit it with a new identifier");
    return;
  }
  if (Known == IdentifierState::Accepted || Known == IdentifierState::Evicted) {
    respondMayHaveRun(Request, core::ErrorKind::Expired, UnknownOutcomeText);
    return;
  }
  // The successor may accept an identifier that is unused here, so the job may still run.
  if (hasTransferBegun()) {
    respondMayHaveRun(Request, core::ErrorKind::Unavailable, TransferText);
    return;
  }
  if (Known == IdentifierState::Unused) {
    respondMayHaveRun(Request, core::ErrorKind::NotFound,
                      "no submission with this identifier has arrived here yet");
    return;
  }
  // Recorded, because the block's deadline may be later by a successor's clock.
  Issuer->markNeverRun(Job.Sequence);
  respondNotRun(Request, core::ErrorKind::Expired,
                "the identifier's deadline has passed; submit the job with a new identifier");
}

bool Dispatcher::State::respondKeptOutcome(RequestId Request, JobId Job) {
  const auto *Kept = Outcomes_.find(Job);
  if (!Kept)
    return false;
  respond(Request, Kept->Result);
  Outcomes_.markFetched(Job);
  return true;
}

void Dispatcher::State::attach(RequestId Request, JobRecord &Job,
                               std::optional<core::TimePoint> WaitUntil) {
  if (!WaitUntil || *WaitUntil <= Now_ || !Requests_.add(Request, Job.Id, *WaitUntil)) {
    respondStatus(Request, Job);
    return;
  }
  Job.Waiters.push_back(Request);
}

void Dispatcher::State::accept(JobId Id, JobSpec Spec, std::uint64_t Fingerprint) {
  JobRecord Job;
  Job.Id = Id;
  Job.Fingerprint = Fingerprint;
  Job.Tasks.resize(Spec.Tasks.size());
  Job.Spec = std::move(Spec);
  Jobs_.add(std::move(Job));
}

void Dispatcher::State::endEarly(JobRecord &Job, core::ErrorKind Kind, std::string Reason) {
  if (Job.Phase != JobPhase::Open)
    return;
  Job.Phase = JobPhase::Ending;
  Job.EndKind = Kind;
  Job.EndReason = std::move(Reason);
  Scheduler_->dropJob(Job.Id, Now_);
  finishIfDone(Job);
}

void Dispatcher::State::finishIfDone(JobRecord &Job) {
  bool AllFinished = Job.Finished == Job.Tasks.size() && Job.Phase != JobPhase::Remote;
  if (AllFinished || (Job.Phase == JobPhase::Ending && Job.Running == 0))
    finish(Job, outcomeOf(Job));
}

Outcome Dispatcher::State::outcomeOf(JobRecord &Job) const {
  if (Job.Finished == Job.Tasks.size()) {
    Complete Whole;
    Whole.Results.reserve(Job.Tasks.size());
    for (auto &Task : Job.Tasks)
      Whole.Results.push_back(std::move(Task.Result));
    return Whole;
  }
  if (Job.neverStarted())
    return NotRun{Job.EndKind, std::move(Job.EndReason), std::nullopt};
  MayHaveRun Partial{Job.EndKind, std::move(Job.EndReason), {}};
  Partial.Tasks.reserve(Job.Tasks.size());
  for (const auto &Task : Job.Tasks)
    Partial.Tasks.push_back(taskOutcome(Task.State));
  return Partial;
}

void Dispatcher::State::finish(JobRecord &Job, Outcome Content) {
  if (std::holds_alternative<NotRun>(Content))
    markNeverRun(Job.Id);
  finishWith(Job, {Job.Id,
                   Job.Fingerprint,
                   Job.Spec.Team,
                   std::make_shared<const Outcome>(std::move(Content)),
                   Now_ + limits().OutcomeLifetime,
                   {}});
}

void Dispatcher::State::finishWith(JobRecord &Job, TransferredOutcome Ended) {
  for (auto Request : Job.Waiters) {
    Requests_.remove(Request);
    respond(Request, Ended.Result);
    Ended.Fetching = TransferredOutcome::FetchState::Fetched;
  }
  sendOutcome(Ended);
  Jobs_.remove(Ended.Job);
  Outcomes_.keep(std::move(Ended));
  Outcomes_.evict(Now_, limits().MaximumOutcomeBytes);
}

void Dispatcher::State::flagIfExpectedLate(JobRecord &Job) {
  if (!Job.Spec.Deadline || Job.Phase != JobPhase::Open ||
      Job.Lateness == JobRecord::Flag::FlaggedLate)
    return;
  auto End = Scheduler_->expectedEnd(Job.Id, Now_);
  if (!End || *End <= *Job.Spec.Deadline)
    return;
  Job.Lateness = JobRecord::Flag::FlaggedLate;
  emit(FlagLate{Job.Id, *Job.Spec.Deadline, *End});
}

void Dispatcher::State::endIfDeadlinePassed(JobRecord &Job) {
  if (Job.Phase == JobPhase::Open && Job.neverStarted() && Job.Spec.Deadline &&
      *Job.Spec.Deadline <= Now_)
    endEarly(Job, core::ErrorKind::Timeout, "the job's deadline passed before it could start");
}

void Dispatcher::State::checkDueRequests() {
  std::erase_if(HeldSubmissions_, [this](const SubmitJob &Held) {
    if (!Held.WaitUntil || *Held.WaitUntil > Now_)
      return false;
    respondMayHaveRun(Held.Request, core::ErrorKind::Unavailable, TransferText);
    return true;
  });
  while (auto Request = Requests_.nextDue(Now_)) {
    auto Job = Requests_.remove(*Request);
    auto *Active = Jobs_.find(*Job);
    if (!Active)
      continue;
    std::erase(Active->Waiters, *Request);
    respondStatus(*Request, *Active);
  }
}

void Dispatcher::State::checkDeadlines() {
  for (auto Job : Jobs_.takePassedDeadlines(Now_))
    if (auto *Active = Jobs_.find(Job))
      endIfDeadlinePassed(*Active);
}

} // namespace cornellift::kernel
