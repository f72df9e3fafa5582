#pragma once

#include "Kernel/Job.h"
#include "Kernel/Pool/JobKey.h"
#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/WorkerMessages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cornellift::kernel {

/// A session with another entry process; a new number after each loss. Zero is this process.
enum class PeerIndex : std::uint32_t {};
constexpr PeerIndex SelfPeer{0};

/// An entry process hands a job over to the manager of a pool.
struct SubmitToPool {
  std::shared_ptr<const JobSubmission> Order;
};

/// The manager's final answer.
struct PoolAnswer {
  JobKey Job{};
  JobAnswer Answer;
};

/// Nobody waits for the job any longer.
struct AbandonJob {
  JobKey Job{};
};

/// A task that a manager asks another one to start at once, or to refuse.
struct DelegatedTask {
  std::uint32_t Task = 0; ///< Position among all tasks of the job, step by step.
  std::uint32_t Run = 1;
};

struct DelegateTasks {
  std::shared_ptr<const JobSubmission> Order;
  std::vector<DelegatedTask> Tasks;
};

enum class DelegatedEnd {
  Done,
  Failed,
  Refused, ///< Not started.
  TooLong, ///< Stopped, because it could not end while the caller waits, here or elsewhere.
  Lost     ///< Stopped, lapsed or lost with its worker; it does not run any more.
};

/// How a delegated task ended.
struct DelegatedTaskEnded {
  JobKey Job{};
  std::uint32_t Task = 0;
  std::uint32_t Run = 1;
  DelegatedEnd How = DelegatedEnd::Refused;
  std::string Worker; ///< That ran the task; empty when Refused.
};

/// Stops a delegated task; its end is reported as usual.
struct StopDelegated {
  JobKey Job{};
  std::uint32_t Task = 0;
};

/// What managers tell each other of one worker.
struct WorkerAvailability {
  Resources Free;
  std::uint32_t FreeSlots = 0;
  double Speed = 1; ///< Relative to a typical worker; zero when the worker takes no tasks.

  bool operator==(const WorkerAvailability &) const = default;
};

/// The workers that a manager holds. Sent when it changes.
struct PoolDirectory {
  std::uint64_t Version = 0;
  std::vector<WorkerEntry> Workers;
};

/// Tasks that wait at a manager, by route.
struct RouteBacklog {
  std::string Route;
  std::uint32_t Jobs = 0; ///< Of which no task has started.
};

/// The room of one of a manager's workers.
struct AvailabilityChange {
  std::uint32_t Position = 0; ///< In the manager's directory.
  WorkerAvailability Availability;
};

/// What has changed in a manager's view since the last report to the same peer, or since its
/// directory was sent.
struct PoolReport {
  std::uint64_t DirectoryVersion = 0;
  std::vector<AvailabilityChange> Changes;
  std::uint32_t WaitingTasks = 0;
};

/// A manager has let go of workers, which run nothing any more.
struct ReleaseWorkers {
  std::vector<std::string> Ids;
};

using PoolMessage =
    std::variant<SubmitToPool, PoolAnswer, AbandonJob, DelegateTasks, DelegatedTaskEnded,
                 StopDelegated, PoolDirectory, PoolReport, ReleaseWorkers>;

} // namespace cornellift::kernel
