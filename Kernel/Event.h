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

/// A caller requests a block of job identifiers.
struct OpenSession {
  RequestId Request{};
  /// When set, only this team may use the block's identifiers.
  std::optional<TeamIndex> Team{};
};

/// A caller, or a peer on its behalf, submits a job or repeats a submission.
struct SubmitJob {
  RequestId Request{};
  JobId Job;
  JobSpec Spec;
  /// Respond when the job has ended or at this time, whichever is first.
  std::optional<core::TimePoint> WaitUntil;
};

/// Requests a job's status, or its outcome when WaitUntil is set.
struct AskOutcome {
  RequestId Request{};
  JobId Job;
  std::optional<core::TimePoint> WaitUntil;
  std::optional<TeamIndex> Team{}; ///< When set, only a job of this team is reported.
};

/// Drops the job's waiting tasks. The response is the outcome when this ends the job, or the status
/// while started tasks have not ended.
struct CancelJob {
  RequestId Request{};
  JobId Job;
  std::optional<TeamIndex> Team{}; ///< When set, only a job of this team is cancelled.
};

/// The caller's connection was closed, so no response is needed. The job continues.
struct RequestAbandoned {
  RequestId Request{};
};

/// Why a task is known not to have started.
enum class StartRefusal { NoSlot, Leaving, Fenced, Invalid, NotSent };

/// The endpoint refused a task before starting it, or nothing was written to the connection.
struct StartRefused {
  TaskId Task;
  EndpointIndex Endpoint{};
  StartRefusal Cause{};
  /// Attempt of the StartTask that this answers. An event of an earlier attempt is ignored. Zero
  /// when unknown: then any attempt on that endpoint matches.
  std::uint32_t Attempt = 0;
};

enum class TaskVerdict { Finished, Failed };

/// A started task has ended, as reported by the endpoint on the task's connection or in reply to a
/// status query.
struct TaskEnded {
  TaskId Task;
  EndpointIndex Endpoint{};
  TaskVerdict Verdict{};
  TaskResult Result;         ///< The result, or the failure message.
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

/// What an endpoint reports about a task over another connection. Unknown means that it has no
/// record, that its record is of another boot, or that it cannot be reached.
enum class TaskReport { Running, NotStartedAndFenced, Unknown };

/// Reply to AskTask or FenceTask when the task has not ended; for an ended task it is TaskEnded.
struct TaskReported {
  TaskId Task;
  EndpointIndex Endpoint{};
  TaskReport Report{};
  std::uint32_t Attempt = 0; ///< Attempt of the AskTask or FenceTask that this answers.
};

/// State of an endpoint according to its own status and the platform's list.
struct EndpointObserved {
  EndpointIndex Endpoint{};
  /// Unknown when the observation comes from the platform's list.
  enum class Reach { Reachable, Unreachable, Unknown } Reachability{};
  enum class Standing { Live, Leaving } State{};
  Resources Used; ///< Reported with a delay.
};

/// The number of the endpoint's slots that this entry process may use has changed.
struct SlotsChanged {
  EndpointIndex Endpoint{};
  std::uint32_t Slots = 0;
};

/// Slots that each team is entitled to on this entry VM; see Scheduler::setTeamTargets.
struct TeamTargetsChanged {
  std::vector<double> Targets;
};

/// A peer in another data centre requests an immediate start of a task here. The task is not
/// delegated further.
struct StartDelegated {
  RequestId Request{};
  TaskId Task;
  ServiceIndex Service{};
  KindIndex Kind{};
  TeamIndex Team{};
  TaskSpec Spec;
  std::shared_ptr<const JobPayload> Payload; ///< One entry, for this task.
  std::uint32_t TaskCount = 1;               ///< Number of tasks of the whole job.
  std::uint64_t Fingerprint = 0; ///< Fingerprint of the job's specification; endpoints record it.
  std::uint32_t Attempt = 0; ///< Attempt of the peer's StartTask; increasing. Zero when unknown.
};

/// A peer queries the status of a task that it delegated, or fences it.
struct AskDelegated {
  RequestId Request{};
  TaskId Task;
  enum class Operation { Ask, Fence } Purpose{};
  /// Attempt of the peer's StartTask that this refers to. Zero when unknown.
  std::uint32_t Attempt = 0;
};

struct ConfigurationApplied {
  std::shared_ptr<const KernelConfiguration> Configuration;
};

/// A planned stop begins: issue no more identifiers, and transfer the jobs that have not started.
struct StopRequested {};

/// The time for a planned stop is nearly over: start nothing more, and end each job that has not
/// been transferred as soon as its running tasks have ended.
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
