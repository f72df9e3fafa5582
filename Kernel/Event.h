#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Job.h"
#include "Kernel/KernelConfiguration.h"
#include "Kernel/Outcome.h"
#include "Kernel/Transfer/Transfer.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace cornellift::kernel {

/// A caller asks for a block of job identifiers.
struct OpenSession {
  RequestId Request{};
  /// When given, only this team may use the block's identifiers.
  std::optional<TeamIndex> Team{};
};

/// A caller, or a peer on its behalf, submits a job or repeats a submission.
struct SubmitJob {
  RequestId Request{};
  JobId Job;
  JobSpec Spec;
  /// Respond with the answer once the job has ended or this moment has come, whichever is first.
  std::optional<core::TimePoint> WaitUntil;
};

/// Asks for a job's status, or for its outcome when WaitUntil is given.
struct AskOutcome {
  RequestId Request{};
  JobId Job;
  std::optional<core::TimePoint> WaitUntil;
  std::optional<TeamIndex> Team{}; ///< When given, the job is shown to this team only.
};

/// Drops the job's waiting tasks. The response is the outcome when the job has ended with that, and
/// its status when started tasks are still awaited.
struct CancelJob {
  RequestId Request{};
  JobId Job;
  std::optional<TeamIndex> Team{}; ///< When given, only a job of this team is cancelled.
};

/// The caller's connection is gone; no response is wanted. The job goes on.
struct RequestAbandoned {
  RequestId Request{};
};

/// Why a start is known not to have happened.
enum class StartRefusal { NoSlot, Leaving, Fenced, Invalid, NotSent };

/// The endpoint refused a task before starting it, or nothing was written to the connection.
struct StartRefused {
  TaskId Task;
  EndpointIndex Endpoint{};
  StartRefusal Cause{};
  /// Of the StartTask that this answers. An event of an earlier attempt is ignored. Zero when not
  /// told: then any attempt on that endpoint matches.
  std::uint32_t Attempt = 0;
};

enum class TaskVerdict { Finished, Failed };

/// A started task has ended, as told by the endpoint on the connection or to a status question.
struct TaskEnded {
  TaskId Task;
  EndpointIndex Endpoint{};
  TaskVerdict Verdict{};
  TaskResult Result;         ///< The result, or the failure's message.
  core::Duration RunTime{0}; ///< As measured by the endpoint.
  Resources Used;            ///< Peak use as reported by the endpoint; zero when not reported.
  std::uint32_t Attempt = 0; ///< As in StartRefused.
};

/// The connection of a task was lost after its start was written.
struct TaskUncertain {
  TaskId Task;
  EndpointIndex Endpoint{};
  std::uint32_t Attempt = 0; ///< As in StartRefused.
};

/// What an endpoint says of a task on another connection. Unknown means that it has no record, or a
/// record of another boot, or cannot be asked.
enum class TaskReport { Running, NotStartedAndFenced, Unknown };

/// Answer to AskTask or FenceTask when the task has not ended; an ended task gives TaskEnded.
struct TaskReported {
  TaskId Task;
  EndpointIndex Endpoint{};
  TaskReport Report{};
  std::uint32_t Attempt = 0; ///< Of the AskTask or FenceTask that this answers.
};

/// What is known of an endpoint from its own status and the platform's list.
struct EndpointObserved {
  EndpointIndex Endpoint{};
  enum class Reach { Reachable, Unreachable, Unknown } Reachability{}; ///< Unknown from the list.
  enum class Standing { Live, Leaving } State{};
  Resources Used; ///< Lags behind.
};

/// The number of the endpoint's slots that this entry process may use has changed.
struct SlotsChanged {
  EndpointIndex Endpoint{};
  std::uint32_t Slots = 0;
};

/// Slots due to each team on this entry VM; see Scheduler::setTeamTargets.
struct TeamTargetsChanged {
  std::vector<double> Targets;
};

/// A peer in another data centre asks to start a task here at once. It is never passed on.
struct StartDelegated {
  RequestId Request{};
  TaskId Task;
  ServiceIndex Service{};
  KindIndex Kind{};
  TeamIndex Team{};
  TaskSpec Spec;
  std::shared_ptr<const JobPayload> Payload; ///< One entry, for this task.
  std::uint32_t TaskCount = 1;               ///< Of the whole job.
  std::uint64_t Fingerprint = 0;             ///< Of the job's specification; endpoints record it.
  std::uint32_t Attempt = 0; ///< Of the peer's StartTask; rises with each attempt. Zero: not told.
};

/// A peer asks about a task that it delegated, or fences it.
struct AskDelegated {
  RequestId Request{};
  TaskId Task;
  enum class Operation { Ask, Fence } Purpose{};
  std::uint32_t Attempt = 0; ///< That the peer asks about; zero when not told.
};

struct ConfigurationApplied {
  std::shared_ptr<const KernelConfiguration> Configuration;
};

/// A planned stop begins: issue no identifiers and hand over what has not started.
struct StopRequested {};

/// The time for a planned stop is nearly over: start nothing more, and end each job here that has
/// not been handed over as soon as its running tasks have ended.
struct StopOverdue {};

/// Time has passed. Sent at least every 10 ms.
struct Tick {};

using Event = std::variant<OpenSession, SubmitJob, AskOutcome, CancelJob, RequestAbandoned,
                           StartRefused, TaskEnded, TaskUncertain, TaskReported, EndpointObserved,
                           SlotsChanged, TeamTargetsChanged, StartDelegated, AskDelegated,
                           ConfigurationApplied, StopRequested, StopOverdue, BeginTransfer,
                           AbortTransfer, TransferSealSent, TransferConfirmed, TransferUnanswered,
                           TransferReceived, TransferSealed, PredecessorEnded, Tick>;

} // namespace cornellift::kernel
