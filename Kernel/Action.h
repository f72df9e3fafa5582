#pragma once

#include "Kernel/Event.h"
#include "Kernel/Identifiers.h"
#include "Kernel/Job.h"
#include "Kernel/Outcome.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>

namespace cornellift::kernel {

/// Consecutive job identifiers. They are accepted until the deadline.
struct IdentifierBlock {
  Incarnation Issuer;
  std::uint64_t First = 0;
  std::uint32_t Count = 0;
  core::TimePoint Deadline;
};

/// Progress of a job that has not ended.
struct JobStatus {
  std::uint32_t Waiting = 0;
  std::uint32_t Running = 0;
  std::uint32_t Ended = 0;
  std::optional<core::TimePoint> ExpectedEnd;
  enum class Punctuality { InTime, ExpectedLate } Expectation{};
};

/// The identifier was issued by an incarnation whose state this process does not hold.
struct WrongIssuer {
  Incarnation Issuer;
};

/// Answer to StartDelegated and AskDelegated.
struct DelegatedReply {
  std::variant<StartRefused, TaskEnded, TaskReported> Content;
};

/// Answer to TransferReceived and TransferSealed.
enum class TransferReply { Accepted, Rejected };

using Response = std::variant<IdentifierBlock, JobStatus, std::shared_ptr<const Outcome>,
                              WrongIssuer, DelegatedReply, TransferReply>;

/// Answers a request. Each request gets one response.
struct Respond {
  RequestId Request{};
  Response Content;
};

/// Sends the task to the endpoint, which has a free slot as far as this process knows.
struct StartTask {
  TaskId Task;
  EndpointIndex Endpoint{};
  ServiceIndex Service{};
  KindIndex Kind{};
  TeamIndex Team{};
  TaskSpec Spec;
  std::shared_ptr<const JobPayload> Payload;
  std::uint32_t PayloadIndex = 0;
  /// Tasks of the whole job. Endpoints record it, so that recovery can tell when results are
  /// missing.
  std::uint32_t TaskCount = 1;
  /// Number of this start, unique within the process. The events that answer the start carry it.
  std::uint32_t Attempt = 0;
  std::uint64_t Fingerprint = 0; ///< Fingerprint of the job's specification; endpoints record it.
};

/// Queries the status of a running task over a connection other than the task's own.
struct AskTask {
  TaskId Task;
  EndpointIndex Endpoint{};
  std::uint32_t Attempt = 0; ///< Attempt that the query refers to; the reply carries it.
};

/// Makes the endpoint refuse the task from now on, unless it has started already.
struct FenceTask {
  TaskId Task;
  EndpointIndex Endpoint{};
  std::uint32_t Attempt = 0; ///< Attempt that the fence refers to; the reply carries it.
};

/// Queries the endpoint's status without starting a task.
struct ProbeEndpoint {
  EndpointIndex Endpoint{};
};

/// The job is expected to miss its deadline. Emitted once per job.
struct FlagLate {
  JobId Job;
  core::TimePoint Deadline;
  core::TimePoint ExpectedEnd;
};

/// Sends one part to its receiver. A part of kind State is staged there; when the receiver rejects
/// it or cannot be reached, the daemon sends AbortTransfer. A part of kind Outcomes is resent until
/// the receiver answers.
struct SendTransferPart {
  std::shared_ptr<const TransferPart> Part;
};

/// Sends the seal call, which commits the staged parts at the receiver. The call may be repeated
/// with the same receiver until a reply arrives.
struct SealTransfer {
  Incarnation Receiver;
  std::uint32_t Transfer = 0;
  std::uint32_t PartCount = 0;
};

/// After StopRequested: this process has no job, request or delegated task left. Emitted again
/// whenever it reaches that state anew.
struct Drained {};

using Action = std::variant<Respond, StartTask, AskTask, FenceTask, ProbeEndpoint, FlagLate,
                            SendTransferPart, SealTransfer, Drained>;

/// Receives the kernel's actions in order.
class ActionSink {
public:
  virtual ~ActionSink() = default;
  virtual void perform(Action Next) = 0;
};

} // namespace cornellift::kernel
