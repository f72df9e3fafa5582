#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/DataWait.h"
#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/KindShares.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/RunPrognosis.h"
#include "Kernel/Pool/Worker.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cornellift::kernel {

enum class TaskState {
  Blocked,         ///< Its step waits for earlier steps.
  Waiting,         ///< Ready, and queued for placement.
  Placed,          ///< Started on a worker of this manager.
  Delegated,       ///< Sent to another manager.
  PossiblyRunning, ///< Its manager is lost; the task may still run until EndedBy.
  Done
};

struct PoolTask {
  TaskState State = TaskState::Blocked;
  std::uint32_t Failures = 0;
  std::uint32_t LastRun = 0; ///< Highest run number used so far.
  std::uint32_t Moves = 0;   ///< How often a straggling run was stopped to restart it elsewhere.
  bool StaysAsLong = false;  ///< A late run stayed on its worker, because the job is long.
  EndpointIndex Worker{};    ///< If Placed.
  PeerIndex Manager{};       ///< If Delegated or PossiblyRunning.
  core::TimePoint EndedBy;   ///< If PossiblyRunning: the task no longer runs for certain.
};

/// Progress of one step of a job. Run times are those on a typical worker near the data. All tasks
/// of a step are assumed to be of similar length.
struct StepProgress {
  std::uint32_t FirstTask = 0;  ///< Number of its first task within the job.
  std::uint32_t Unfinished = 0; ///< Tasks that are not done.
  std::uint32_t Waiting = 0;    ///< Tasks in TaskState::Waiting.
  DataWait Wait{};

  // Estimate when the job came.
  double TypicalMilliseconds = 0; ///< Expected run time.
  double Deviation = 0;           ///< Standard deviation of the run time's natural logarithm.

  // What the runs have shown since, without those on workers that were found to be slow.
  /// Median run time, extrapolated from progress and taken from runs that were done; zero while
  /// unknown.
  double ObservedMilliseconds = 0;
  /// The least that this progress allows; zero unless it is longer than expected.
  double ShownMilliseconds = 0;
  bool IsObservedOnSeveral = false; ///< ObservedMilliseconds follows from several workers.
  /// Runs on workers of this manager that no longer run: the first that were done, and those that
  /// were moved.
  std::vector<ObservedRun> Former;
  std::vector<EndpointIndex> MovedFrom; ///< Workers that get no further task of the step.

  /// The best estimate of a task's run time on a typical worker.
  double expectedMilliseconds() const {
    return ObservedMilliseconds > 0 ? ObservedMilliseconds : TypicalMilliseconds;
  }

  /// Number of waiting tasks for which there is no room anywhere.
  std::uint32_t withoutRoom() const { return Waiting > Wait.Tasks ? Waiting - Wait.Tasks : 0; }
};

/// A job at a pool manager, or a delegation: the part of another manager's job that was delegated
/// to this one.
struct PoolJob {
  JobHandle Handle{};
  std::shared_ptr<const JobSubmission> Submission;
  bool IsDelegation = false;
  std::vector<PeerIndex> Origins; ///< Processes that await the answer; empty for an orphaned job.
  KindIndex Kind{};
  std::vector<PoolTask> Tasks;
  std::vector<StepProgress> Steps;
  core::TimePoint ObjectiveAt; ///< Time by which the job should be answered.
  core::TimePoint UsefulUntil; ///< Later answers are of no use to the caller.
  core::TimePoint LatestStart; ///< Starting later is likely to miss the objective.
  bool IsOverlong = false;     ///< One of its runs has taken several times the expected time.
  /// The same on workers without a fault, so that the job's deadlines were moved.
  bool IsExtended = false;
  bool HasRun = false; ///< One of its runs has ended, or was lost after its start.
  bool IsWide = false; ///< Among the tenth of its kind's jobs with the most work.
  /// Order in which it gives way when room is short, as of its arrival.
  Standing ArrivalStanding{};
  bool IsSettled = false; ///< KindShares has counted whether it was placed in time.
  /// No worker could run one of its waiting steps, even if it were idle; as of WorkersSoughtAt.
  bool LacksWorkers = false;
  core::TimePoint WorkersSoughtAt;
  bool IsEnding = false; ///< Answered; the remaining runs are being stopped.
  std::optional<core::TimePoint> OrphanedUntil;
  std::shared_ptr<const JobSubmission>
      Successor; ///< The same job, resubmitted while this one ends.
  PeerIndex SuccessorOrigin{};

  JobKey key() const { return Submission->Key; }
  std::uint32_t stepOf(std::uint32_t Task) const;
  TaskRef refOf(std::uint32_t Task) const;
  std::uint32_t waiting() const;
  /// Returns whether all waiting tasks could start, but wait for room near their data.
  bool onlyWaitsForData() const;
  /// Number of tasks that run or may run.
  std::uint32_t active() const;
  /// Returns whether tasks may run at other managers, which know their progress.
  bool hasRunsElsewhere() const;
  /// Returns whether the length of a step that goes on is known from its runs.
  bool hasObservedStep() const;
  /// Returns whether any task has run or may run. Otherwise the job can be rejected truthfully,
  /// even if workers have refused starts of its tasks.
  bool mayHaveRun() const;
  bool isFinished() const;
};

} // namespace cornellift::kernel
