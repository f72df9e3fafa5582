#pragma once

#include "Kernel/Job.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/WorkerClock.h"
#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// Local number of a job at its manager.
enum class JobHandle : std::uint64_t {};

enum class RunState {
  Starting, ///< Ordered; no reply yet, or none at all.
  Running,
  Stopping ///< A stop was ordered; the end is not listed yet.
};

/// One run that this manager has ordered.
struct Run {
  TaskRef Task;
  JobHandle Job{};
  std::uint32_t TaskNumber = 0; ///< Among all tasks of the job.
  std::uint32_t Number = 1;     ///< Of this start of the task.
  RunState State = RunState::Starting;
  Resources Need;
  std::int64_t StartBy = 0; ///< On the worker's clock.
  core::TimePoint StartSentAt;
  std::uint32_t SendCount = 1; ///< Of the order; a refusal of one of several proves nothing.
  core::TimePoint ConfirmedAt; ///< When it was first known to run.
  core::TimePoint ExpectedEnd;
  double PercentDone = 0;
  core::TimePoint PercentAt; ///< When PercentDone was reported.
  core::TimePoint StopAgainAt;
};

enum class LeaseState {
  Absent,   ///< Not to be called: managed by another process, or gone.
  Claiming, ///< Asked what it runs; nothing is started or extended yet.
  Held,     ///< This manager extends its lease and starts tasks.
  Fenced    ///< Another manager has claimed it since.
};

/// A worker as its manager knows it.
struct Worker {
  WorkerEntry Entry;
  bool IsListed = false; ///< The platform's store has its entry.
  LeaseState Lease = LeaseState::Absent;
  std::uint64_t Token = 0;
  std::int64_t StartedMilliseconds = 0; ///< Of the incarnation that answered last.
  WorkerClock Clock;
  std::uint64_t LastSeen = 0; ///< Number of the last end that was handled.
  /// When the lease has ended for certain, whatever became of the extensions sent so far.
  core::TimePoint LeaseEnd;
  bool IsPolling = false;       ///< A look is under way.
  std::uint64_t PollNumber = 0; ///< Of the last look sent; replies to earlier ones are ignored.
  core::TimePoint PollSentAt;
  core::TimePoint NextPollAt;
  core::TimePoint ClaimAt;       ///< Of a fenced worker: not claimed again before.
  std::uint32_t FailedPolls = 0; ///< In a row.
  core::TimePoint AvoidUntil;    ///< Gets no tasks before, after it refused some.
  bool HasForeignRuns = false;   ///< Runs that this manager has not ordered.
  std::vector<Run> Runs;
  Resources Committed; ///< Needs of Runs.

  /// Whether tasks may be started there, room aside.
  bool isOpen(core::TimePoint Now) const;
  bool fits(const Resources &Need) const;
  Resources free() const;
  std::uint32_t freeSlots() const;
  bool hasLabel(const std::string &Label) const;

  Run *find(const TaskRef &Task, std::uint32_t Number);
  const Run *find(const TaskRef &Task, std::uint32_t Number) const;
  void add(const Run &Started);
  void remove(const TaskRef &Task, std::uint32_t Number);
};

} // namespace cornellift::kernel
