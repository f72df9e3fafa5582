#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/Worker.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cornellift::kernel {

enum class TaskState {
  Blocked,         ///< Its step waits for earlier ones.
  Waiting,         ///< For a place.
  Placed,          ///< On a worker of this manager.
  Delegated,       ///< At another manager.
  PossiblyRunning, ///< The other manager is lost; the task may run until EndedBy.
  Done
};

struct PoolTask {
  TaskState State = TaskState::Blocked;
  std::uint32_t Failures = 0;
  std::uint32_t LastRun = 0; ///< Highest run number used.
  std::uint32_t Moves = 0;   ///< Times that a slow run was stopped to start it elsewhere.
  EndpointIndex Worker{};    ///< Of a Placed task.
  PeerIndex Manager{};       ///< Of a Delegated task.
  core::TimePoint EndedBy;
};

struct StepProgress {
  std::uint32_t FirstTask = 0; ///< Number of its first task within the job.
  std::uint32_t Unfinished = 0;
  std::uint32_t Waiting = 0;
  double TypicalMilliseconds = 0; ///< Expected run time on a typical worker.
  double Deviation = 0;           ///< Of its natural logarithm.
  /// Run time on a typical worker as shown by the progress of the step's runs; zero before any
  /// shows it. Tasks of one step are nearly equal.
  double ObservedMilliseconds = 0;
};

/// A job at the manager of a pool. A guest is a part of a job of another manager.
struct PoolJob {
  JobHandle Handle{};
  std::shared_ptr<const JobSubmission> Order;
  bool IsDelegation = false;
  std::vector<PeerIndex> Origins; ///< Who awaits the answer; empty for an orphan.
  KindIndex Kind{};
  std::vector<PoolTask> Tasks;
  std::vector<StepProgress> Steps;
  core::TimePoint ObjectiveAt; ///< The caller is served in time until then.
  core::TimePoint UsefulUntil; ///< An answer after that is of no use to the caller.
  core::TimePoint LatestStart; ///< A start after that is likely to miss the objective.
  bool HasStarted = false;     ///< A task was ordered somewhere, so that it may have run.
  bool IsEnding = false;       ///< Answered; what still runs is being stopped.
  std::optional<core::TimePoint> OrphanedUntil;
  std::shared_ptr<const JobSubmission> Successor; ///< The same job, submitted again while it ends.
  PeerIndex SuccessorOrigin{};

  JobKey key() const { return Order->Key; }
  std::uint32_t stepOf(std::uint32_t Task) const;
  TaskRef refOf(std::uint32_t Task) const;
  std::uint32_t waiting() const;
  /// Tasks that run or may run.
  std::uint32_t active() const;
  bool isFinished() const;
};

} // namespace cornellift::kernel
