#pragma once

#include "Kernel/Job.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/WorkerClock.h"
#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibCore/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// Identifies a job within its manager.
enum class JobHandle : std::uint64_t {};

/// Longest lease that a worker grants, whatever the deadline: one second on its own clock, which
/// may be 2% slow.
constexpr std::chrono::milliseconds LongestLease{1020};

/// Earlier than any time on a worker's clock: no start command of the run is valid.
constexpr std::int64_t NoStartTime = -1;

/// How often a start command is sent before its time limit.
constexpr std::uint32_t MaximumRecentSends = 3;

/// How long after it was sent a command without a reply may still be executed, by whichever
/// incarnation of the worker is up by then. The platform speaks of seconds.
constexpr std::chrono::seconds CommandLifetime{15};

/// How soon a former manager that has just begun releases a worker, in the mean.
constexpr std::chrono::milliseconds TypicalReleaseTime{500};
/// Claims that are further off await the former manager's release.
constexpr std::chrono::seconds LongestKnownClaim{60};

enum class RunState {
  Starting, ///< The start command was sent and has not been confirmed.
  Running,
  Stopping ///< A stop command was sent; the worker has not reported the end yet.
};

/// A run that this manager has started.
struct Run {
  TaskRef Task;
  JobHandle Job{};
  std::uint32_t TaskNumber = 0; ///< Position among all tasks of the job.
  std::uint32_t Number = 1;     ///< Counts the runs of the task.
  RunState State = RunState::Starting;
  Resources Need;
  std::int64_t StartBy = 0; ///< Latest start on the worker's clock, in milliseconds.
  core::TimePoint StartSentAt;
  /// When its worker becomes warm, as of the start. The worker's entry no longer states it then.
  std::optional<core::TimePoint> ColdUntil;
  /// How often the start command was sent. From the second time on, a refusal is inconclusive.
  std::uint32_t SendCount = 1;
  /// Sends of the command since StartSentAt.
  std::uint32_t RecentSends = 1;
  std::uint32_t SendsInFlight = 1; ///< Sends without a result so far.
  /// Until when the worker, or a later incarnation of it, may execute a send that got no reply.
  core::TimePoint MayArriveUntil;
  bool HasBegun = false;       ///< It has run, on this or a former incarnation of the worker.
  core::TimePoint ConfirmedAt; ///< When the start was first confirmed.
  /// A report of the worker has listed it. Until then it may run on an incarnation of the worker
  /// that has not reported yet.
  bool IsReported = false;
  core::TimePoint ExpectedEnd;
  double PercentDone = 0;
  core::TimePoint PercentAt; ///< When the worker reported PercentDone.
  core::TimePoint EndedAt;   ///< When the worker reported the end; empty without such a report.
  core::TimePoint RepeatStopAt;

  /// Returns whether the worker has accepted a command for it.
  bool isConfirmed() const { return ConfirmedAt != core::TimePoint(); }
  /// Returns whether a command without a reply may still start the run. Until then the task must
  /// not start on another worker.
  bool mayStartLater(core::TimePoint Now) const;
  /// Records the result of one send of the start command.
  void sendEnded(CommandVerdict Verdict, core::TimePoint Now);
  /// Records that a report has listed the run, running or ended.
  void reported();
  /// Records that the run has to be started again on a new incarnation of its worker.
  void awaitNewStart();
};

enum class LeaseState {
  Absent,   ///< Not polled: it is managed by another process, or is no longer listed.
  Claiming, ///< Being polled with a new token; no task is started and no lease extended yet.
  Held,     ///< This manager extends its lease and starts tasks.
  Fenced    ///< Another manager has claimed it.
};

/// A manager's state of one worker.
struct Worker {
  WorkerEntry Entry;
  bool IsListed = false;    ///< Its entry is in the platform's store.
  bool IsEvacuated = false; ///< An operator has evacuated its data centre.
  LeaseState Lease = LeaseState::Absent;
  std::uint64_t Token = 0;
  std::int64_t StartedMilliseconds = 0; ///< Start time of the incarnation that answered last.
  WorkerClock Clock;
  std::uint64_t LastSeen = 0; ///< Number of the last end that was processed.
  /// When the lease has expired for certain, even if all extensions sent so far arrived.
  core::TimePoint LeaseEnd;
  /// The same for an incarnation that has not reported yet. The deadlines in the commands that it
  /// gets are on its predecessor's clock; it may grant the longest lease for each.
  core::TimePoint UnreportedLeaseEnd;
  bool IsPolling = false;       ///< A poll is in flight.
  std::uint64_t PollNumber = 0; ///< Number of the last poll; replies to earlier polls are ignored.
  core::TimePoint PollSentAt;
  std::uint32_t PollWaitMilliseconds = 0; ///< How long the last poll waits on the worker.
  core::TimePoint NextPollAt;
  core::TimePoint ClaimAt;         ///< Earliest next claim.
  core::TimePoint ClaimDeferredAt; ///< Since when the claim is deferred, if it is.
  std::uint32_t FailedPolls = 0;   ///< Consecutive failed polls.
  core::TimePoint AnsweredAt;      ///< When the last poll was answered.
  /// The worker counts as silent from then on, unless it answers a poll before. Failed polls do not
  /// show that: polls that are replaced by further ones before their timeout are not counted.
  core::TimePoint SilentAt;
  core::TimePoint BackoffUntil; ///< End of the backoff after a refused start.
  bool HasForeignRuns = false;  ///< It has runs that this manager did not start.
  std::vector<Run> Runs;
  Resources Committed; ///< Sum of the needs of Runs.

  /// Returns whether the entry is that of the incarnation that answered last. Until then the
  /// worker's labels, capacity and service are unknown: it may have returned as another kind.
  bool isEntryCurrent() const;
  /// Returns whether its last polls were answered.
  bool isAnswering(core::TimePoint Now) const;
  /// How soon this manager is expected to hold the worker; empty if it holds it already, or isn't
  /// about to. A worker whose former manager keeps it for its runs is expected to take as long
  /// again as it has taken so far.
  std::optional<core::Duration> heldIn(core::TimePoint Now) const;
  /// Returns whether the worker accepts tasks, regardless of its free capacity.
  bool acceptsTasks(core::TimePoint Now) const;
  Resources free() const;
  std::uint32_t freeSlots() const;
  /// Returns whether its runs need more than it has, as after a return with less capacity.
  bool isOvercommitted() const;

  bool hasUnreportedRuns() const;
  /// Records that a command with a deadline was sent, which this process lets arrive by then or
  /// never. That of a run that may start later is covered by Run::mayStartLater().
  void deadlineSent(core::TimePoint ArrivesBy);
  /// When the run has ended for certain, without a further report.
  core::TimePoint leaseEndOf(const Run &Each) const;

  Run *find(const TaskRef &Task, std::uint32_t Number);
  const Run *find(const TaskRef &Task, std::uint32_t Number) const;
  void add(const Run &Started);
  void remove(const TaskRef &Task, std::uint32_t Number);
};

} // namespace cornellift::kernel
