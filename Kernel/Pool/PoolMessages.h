#pragma once

#include "Kernel/Job.h"
#include "Kernel/Pool/JobKey.h"
#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cornellift::kernel {

/// Identifies a session with another entry process; a new session gets a new index. Zero is this
/// process.
enum class PeerIndex : std::uint32_t {};
constexpr PeerIndex SelfPeer{0};

/// Submits a job from an entry process to a pool manager.
struct SubmitToPool {
  std::shared_ptr<const JobSubmission> Submission;
};

/// The manager's final answer to a submitted job.
struct PoolAnswer {
  JobKey Job{};
  JobAnswer Answer;
};

/// Ends a job if no other entry process awaits it, because its caller no longer waits.
struct AbandonJob {
  JobKey Job{};
};

/// Cancels a job at a caller's request, wherever it is open; each receiver replies.
struct CancelJob {
  JobKey Job{};
};

struct CancelReply {
  JobKey Job{};
  bool WasOpen = false; ///< The job was open at the replying process.
};

/// A job that a caller has cancelled.
struct CancelledJob {
  JobKey Job{};
  core::TimePoint At; ///< When its cancelling was received first.
};

/// Cancellings that the receiver may not know, because it was not linked, or had not started, when
/// they were received.
struct CancelledJobs {
  std::vector<CancelledJob> Jobs;
};

/// A task that another manager is to start immediately or refuse.
struct DelegatedTask {
  std::uint32_t Task = 0; ///< Position among all tasks of the job, in the order of the steps.
  std::uint32_t Run = 1;
};

/// Delegates tasks of a job to another manager.
struct DelegateTasks {
  std::shared_ptr<const JobSubmission> Submission;
  std::vector<DelegatedTask> Tasks;
};

enum class DelegatedEnd {
  Done,
  Failed,
  Refused, ///< Not started.
  TooLong, ///< Being stopped, because it cannot end before the caller's deadline on any worker.
  Lost     ///< It was stopped, or its lease or worker was lost; it no longer runs.
};

/// Reports the end of a delegated task.
struct DelegatedTaskEnded {
  JobKey Job{};
  std::uint32_t Task = 0;
  std::uint32_t Run = 1;
  DelegatedEnd How = DelegatedEnd::Refused;
  std::string Worker; ///< Worker that ran the task; may be empty if Refused or TooLong.
};

/// Stops a delegated task, whose end is then reported as usual.
struct StopDelegated {
  JobKey Job{};
  std::uint32_t Task = 0;
};

/// Free capacity and speed of one worker, as managers report it to each other.
struct WorkerAvailability {
  Resources Free;
  std::uint32_t FreeSlots = 0;
  double Speed = 1; ///< Relative to a typical worker; zero if the worker accepts no tasks.

  bool operator==(const WorkerAvailability &) const = default;
};

/// The workers of a manager. Sent whenever the list changes.
struct PoolDirectory {
  std::uint64_t Version = 0;
  std::vector<WorkerEntry> Workers;
};

/// Backlog of one route at a manager.
struct RouteBacklog {
  std::string Route;
  std::uint32_t Jobs = 0; ///< Waiting jobs of which no task has started.
};

/// New availability of one worker in a manager's directory.
struct AvailabilityChange {
  std::uint32_t Position = 0; ///< Position in the directory.
  WorkerAvailability Availability;
};

/// The changes in a manager's workers since its last report to the same peer, or since its
/// directory was sent.
struct PoolReport {
  std::uint64_t DirectoryVersion = 0;
  std::vector<AvailabilityChange> Changes;
  std::uint32_t WaitingTasks = 0;
};

/// Notifies the successor that a manager has released workers; nothing runs on them any more.
struct ReleaseWorkers {
  std::vector<std::string> Ids;
};

using PoolMessage = std::variant<SubmitToPool, PoolAnswer, AbandonJob, CancelJob, CancelReply,
                                 CancelledJobs, DelegateTasks, DelegatedTaskEnded, StopDelegated,
                                 PoolDirectory, PoolReport, ReleaseWorkers>;

} // namespace cornellift::kernel
