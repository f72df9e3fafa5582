#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Job.h"
#include "Kernel/Outcome.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

/// Planned transfer of the state of one entry process, the sender, to one successor, the receiver.
///
/// Sender: StopRequested; BeginTransfer -> SendTransferPart actions; when the receiver has accepted
/// all parts, TransferSealSent -> SealTransfer action; TransferConfirmed when the seal call was
/// accepted, TransferUnanswered when it was not; both -> SendTransferPart actions with the outcomes
/// of the jobs that the sender finishes itself, because the receiver may have sealed although its
/// reply was lost. AbortTransfer is possible until TransferSealSent; afterwards the sender starts
/// nothing that it transferred, whatever the reply.
///
/// Receiver: TransferReceived stages a part; TransferSealed commits the parts. Both are answered
/// with a TransferReply.
///
/// All indexes (team, service, kind) are those of the process that holds the structure: the wire
/// encoding translates them to names and back. TimePoints are sent as wall-clock times.
namespace cornellift::kernel {

/// An incarnation whose identifiers are transferred: the sender itself, or one whose state it took
/// over.
struct TransferredIssuer {
  Incarnation Issuer;
  std::uint64_t FirstSequence = 0; ///< Lower ones were issued and are no longer kept.
  std::uint64_t NextSequence = 0;  ///< This and higher ones were never issued and never will be.
};

/// One identifier block. Blocks of an issuer are consecutive from FirstSequence to NextSequence.
struct TransferredBlock {
  Incarnation Issuer;
  std::uint64_t First = 0;
  core::TimePoint Deadline;   ///< Unused identifiers are not accepted from then on.
  std::uint64_t Accepted = 0; ///< One bit per identifier, lowest first: a submission was accepted.
  std::uint64_t NeverRun = 0; ///< Likewise: reported as not run, so it must never be accepted.
  std::optional<TeamIndex> Team; ///< Only this team may use the block.
};

/// An accepted job none of whose tasks was ever started. The receiver runs it.
struct TransferredJob {
  JobId Job;
  /// Fingerprint of the specification, to recognise a repeated submission.
  std::uint64_t Fingerprint = 0;
  JobSpec Spec;
};

/// A job with started tasks. The sender finishes it and sends the outcome.
struct TransferredRunning {
  JobId Job;
  std::uint64_t Fingerprint = 0;
  TeamIndex Team{};
};

/// An outcome that is kept for its caller.
struct TransferredOutcome {
  JobId Job;
  std::uint64_t Fingerprint = 0;
  TeamIndex Team{};
  std::shared_ptr<const Outcome> Result;
  core::TimePoint KeepUntil;
  enum class FetchState { Unfetched, Fetched } Fetching{};
};

/// A part of a sender's state. At most 1,000 entries and about 2 MB, or one larger job.
struct TransferPart {
  Incarnation Sender;
  Incarnation Receiver;       ///< A receiver with another incarnation rejects the part.
  std::uint32_t Transfer = 0; ///< The sender's attempt number; a later one replaces earlier ones.
  /// Outcomes are sent after the seal call; a receiver that has not sealed rejects them.
  enum class Content { State, Outcomes } Kind{};
  std::uint32_t Number = 0; ///< Counts from zero. Parts may arrive in any order and repeatedly.
  std::vector<TransferredIssuer> Issuers;
  std::vector<TransferredBlock> Blocks;
  std::vector<TransferredJob> Jobs;
  std::vector<TransferredRunning> Running;
  std::vector<TransferredOutcome> Outcomes;
};

/// Sender: transfer the state to this successor. Emits the parts. Until the transfer is aborted or
/// answered, no job starts that had not started before.
struct BeginTransfer {
  Incarnation Receiver;
};

/// Sender: the receiver rejected a part or cannot be reached, and no seal call was sent. The jobs
/// are queued here again.
struct AbortTransfer {};

/// Sender: every part was accepted; emits SealTransfer. The transfer cannot be aborted any more.
struct TransferSealSent {};

/// Sender: the receiver accepted the seal call. Requests for transferred jobs now get WrongIssuer.
struct TransferConfirmed {};

/// Sender: no reply to the seal call will arrive, or it was rejected. Requests for transferred jobs
/// end as MayHaveRun. A reply that arrives later still leads to TransferConfirmed.
struct TransferUnanswered {};

/// Receiver: a part has arrived. Before the seal it is only staged; after the seal it may add
/// outcomes.
struct TransferReceived {
  RequestId Request{};
  std::shared_ptr<const TransferPart> Part;
};

/// Receiver: the sender's seal call has arrived. May be repeated.
struct TransferSealed {
  RequestId Request{};
  Incarnation Sender;
  Incarnation Receiver;
  std::uint32_t Transfer = 0; ///< As in the parts.
  std::uint32_t PartCount = 0;
};

/// Receiver: the sender has exited or died; its running jobs without an outcome end as MayHaveRun.
struct PredecessorEnded {
  Incarnation Sender;
};

} // namespace cornellift::kernel
