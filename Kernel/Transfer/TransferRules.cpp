#include "Kernel/DispatcherState.h"
#include "Kernel/Transfer/TransferPartWriter.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Submissions that may wait for the result of a transfer, which takes a few round trips.
constexpr std::size_t MaximumHeldSubmissions = 1024;

/// Size of a transfer that is accepted, relative to the receiver's own bounds on queued work and
/// outcomes.
constexpr std::uint64_t TransferShare = 1;

constexpr const char *UnansweredText =
    "the successor of the stopping entry process did not confirm the transfer, so it may run the "
    "job; ask again later at another entry process";

} // namespace

auto Dispatcher::State::on(BeginTransfer &Next) -> Rescheduling {
  if (TransferPhase_ != TransferPhase::None)
    return Rescheduling::NotNeeded;
  if (Lifecycle_ == Lifecycle::Serving)
    Lifecycle_ = Lifecycle::Stopping;
  TransferPhase_ = TransferPhase::Staging;
  Receiver_ = Next.Receiver;
  ++TransferAttempt_;
  sendParts();
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(AbortTransfer &) -> Rescheduling {
  if (TransferPhase_ != TransferPhase::Staging)
    return Rescheduling::NotNeeded;
  TransferPhase_ = TransferPhase::None;
  FinishedDuringTransfer_.clear();
  for (auto Id : Jobs_.sortedIds()) {
    auto &Job = *Jobs_.find(Id);
    if (Job.Phase == JobPhase::Held)
      resume(Job);
  }
  for (auto &Held : std::exchange(HeldSubmissions_, {}))
    on(Held);
  if (Lifecycle_ == Lifecycle::Overdue) {
    StopOverdue Again;
    return on(Again);
  }
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(TransferSealSent &) -> Rescheduling {
  if (TransferPhase_ != TransferPhase::Staging)
    return Rescheduling::NotNeeded;
  TransferPhase_ = TransferPhase::SealSent;
  emit(SealTransfer{Receiver_, TransferAttempt_, PartCount_});
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(TransferConfirmed &) -> Rescheduling {
  if (TransferPhase_ != TransferPhase::SealSent && TransferPhase_ != TransferPhase::Unanswered)
    return Rescheduling::NotNeeded;
  TransferPhase_ = TransferPhase::Confirmed;
  for (auto Id : Jobs_.sortedIds()) {
    auto &Job = *Jobs_.find(Id);
    if (Job.Phase != JobPhase::Held)
      continue;
    for (auto Request : Job.Waiters) {
      Requests_.remove(Request);
      respond(Request, WrongIssuer{Id.Issuer});
    }
    Jobs_.remove(Id);
  }
  Issuers_.clear();
  for (auto &Held : std::exchange(HeldSubmissions_, {}))
    respond(Held.Request, WrongIssuer{Held.Job.Issuer});
  sendFinished();
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(TransferUnanswered &) -> Rescheduling {
  if (TransferPhase_ != TransferPhase::SealSent)
    return Rescheduling::NotNeeded;
  TransferPhase_ = TransferPhase::Unanswered;
  // The receiver may have sealed the transfer and be waiting for these outcomes.
  sendFinished();
  for (auto Id : Jobs_.sortedIds()) {
    auto &Job = *Jobs_.find(Id);
    if (Job.Phase == JobPhase::Held)
      finish(Job, MayHaveRun{core::ErrorKind::Unavailable, UnansweredText, {}});
  }
  for (auto &Held : std::exchange(HeldSubmissions_, {}))
    respondMayHaveRun(Held.Request, core::ErrorKind::Unavailable, UnansweredText);
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(TransferReceived &Next) -> Rescheduling {
  const auto &Part = *Next.Part;
  if (Part.Receiver != Own_) {
    respond(Next.Request, TransferReply::Rejected);
    return Rescheduling::NotNeeded;
  }
  if (Staging_.sealed(Part.Sender)) {
    addOutcomesOf(Part);
    respond(Next.Request, TransferReply::Accepted);
    return Rescheduling::NotNeeded;
  }
  if (Part.Kind == TransferPart::Content::Outcomes) {
    respond(Next.Request, TransferReply::Rejected);
    return Rescheduling::NotNeeded;
  }
  auto Maximum = TransferShare * (limits().MaximumQueuedBytes + limits().MaximumOutcomeBytes);
  bool Staged =
      Configuration_ && Lifecycle_ == Lifecycle::Serving && !Issuers_.contains(Part.Sender) &&
      Outcomes_.bytes() <= limits().MaximumOutcomeBytes && Staging_.stage(Next.Part, Maximum, Now_);
  respond(Next.Request, Staged ? TransferReply::Accepted : TransferReply::Rejected);
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(TransferSealed &Next) -> Rescheduling {
  if (Next.Receiver == Own_ && Staging_.sealed(Next.Sender)) {
    respond(Next.Request, TransferReply::Accepted);
    return Rescheduling::NotNeeded;
  }
  std::optional<StagedTransfer> Staged;
  // If this process has begun a transfer itself, its parts would lack the received state.
  if (Next.Receiver == Own_ && !hasTransferBegun())
    Staged = Staging_.seal(Next);
  if (!Staged) {
    respond(Next.Request, TransferReply::Rejected);
    return Rescheduling::NotNeeded;
  }
  takeOver(*Staged);
  respond(Next.Request, TransferReply::Accepted);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(PredecessorEnded &Next) -> Rescheduling {
  for (auto Id : Jobs_.sortedIds()) {
    auto &Job = *Jobs_.find(Id);
    if (Job.Phase == JobPhase::Remote && Job.Predecessor == Next.Sender)
      finish(Job, MayHaveRun{core::ErrorKind::Unavailable,
                             "the entry process that ran the job ended before it sent the outcome",
                             {}});
  }
  return Rescheduling::NotNeeded;
}

void Dispatcher::State::holdForTransfer(SubmitJob &Next) {
  if (TransferPhase_ == TransferPhase::Unanswered ||
      HeldSubmissions_.size() >= MaximumHeldSubmissions) {
    respondMayHaveRun(Next.Request, core::ErrorKind::Unavailable, UnansweredText);
    return;
  }
  HeldSubmissions_.push_back(std::move(Next));
}

void Dispatcher::State::resume(JobRecord &Job) {
  Job.Phase = JobPhase::Open;
  if (auto Refusal = Scheduler_->admit(Job.Id, Job.Spec, Now_)) {
    finish(Job, std::move(*Refusal));
    return;
  }
  endIfDeadlinePassed(Job);
}

void Dispatcher::State::sendParts() {
  TransferPartWriter Writer(Own_, Receiver_, TransferAttempt_, TransferPart::Content::State);
  for (const auto &[Issuer, Identifiers] : Issuers_)
    Writer.add(Identifiers);
  for (auto Id : Jobs_.sortedIds()) {
    auto &Job = *Jobs_.find(Id);
    if (Job.Phase == JobPhase::Open && Job.neverStarted()) {
      Job.Phase = JobPhase::Held;
      Scheduler_->dropJob(Id, Now_);
      Writer.add(TransferredJob{Id, Job.Fingerprint, Job.Spec});
    } else {
      Writer.add(TransferredRunning{Id, Job.Fingerprint, Job.Spec.Team});
    }
  }
  for (const auto &Kept : Outcomes_.sorted())
    Writer.add(Kept);
  auto Parts = Writer.take();
  PartCount_ = static_cast<std::uint32_t>(Parts.size());
  for (auto &Part : Parts)
    emit(SendTransferPart{std::move(Part)});
}

void Dispatcher::State::sendOutcome(const TransferredOutcome &Ended) {
  if (TransferPhase_ == TransferPhase::None)
    return;
  if (TransferPhase_ == TransferPhase::Staging || TransferPhase_ == TransferPhase::SealSent) {
    FinishedDuringTransfer_.push_back(Ended);
    return;
  }
  TransferPartWriter Writer(Own_, Receiver_, TransferAttempt_, TransferPart::Content::Outcomes);
  Writer.add(Ended);
  for (auto &Part : Writer.take())
    emit(SendTransferPart{std::move(Part)});
}

void Dispatcher::State::sendFinished() {
  for (const auto &Ended : std::exchange(FinishedDuringTransfer_, {}))
    sendOutcome(Ended);
}

void Dispatcher::State::takeOver(const StagedTransfer &Staged) {
  std::map<Incarnation, TransferredIssuer> Issuers;
  std::map<Incarnation, std::vector<TransferredBlock>> Blocks;
  for (const auto &[Number, Part] : Staged.Parts) {
    for (const auto &Issuer : Part->Issuers)
      Issuers.insert_or_assign(Issuer.Issuer, Issuer);
    for (const auto &Block : Part->Blocks)
      Blocks[Block.Issuer].push_back(Block);
  }
  for (const auto &[Id, Issuer] : Issuers)
    Issuers_.emplace(Id, IdentifierIssuer(Issuer, Blocks[Id]));
  for (const auto &[Number, Part] : Staged.Parts) {
    for (const auto &Running : Part->Running)
      addRemote(Running, Part->Sender);
    for (const auto &Ended : Part->Outcomes)
      Outcomes_.keep(Ended);
    for (const auto &Moved : Part->Jobs) {
      accept(Moved.Job, Moved.Spec, Moved.Fingerprint);
      resume(*Jobs_.find(Moved.Job));
    }
  }
}

void Dispatcher::State::addRemote(const TransferredRunning &Running, Incarnation Sender) {
  JobRecord Job;
  Job.Id = Running.Job;
  Job.Phase = JobPhase::Remote;
  Job.Fingerprint = Running.Fingerprint;
  Job.Spec.Team = Running.Team;
  Job.Predecessor = Sender;
  Jobs_.add(std::move(Job));
}

void Dispatcher::State::addOutcomesOf(const TransferPart &Part) {
  for (const auto &Ended : Part.Outcomes) {
    auto *Job = Jobs_.find(Ended.Job);
    if (Job && Job->Phase == JobPhase::Remote && Job->Predecessor == Part.Sender)
      finishWith(*Job, Ended);
  }
}

void Dispatcher::State::checkDrained() {
  bool Undecided =
      TransferPhase_ == TransferPhase::Staging || TransferPhase_ == TransferPhase::SealSent;
  bool Empty = Lifecycle_ != Lifecycle::Serving && !Undecided && Jobs_.size() == 0 &&
               Requests_.size() == 0 && Running_.size() == 0;
  if (Empty && Drain_ == Drain::Pending)
    emit(Drained{});
  Drain_ = Empty ? Drain::Reported : Drain::Pending;
}

} // namespace cornellift::kernel
