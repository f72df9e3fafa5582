#pragma once

#include "Kernel/Event.h"
#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornellift::kernel {

/// A task that a peer delegated to this process.
struct DelegatedTask {
  enum class State : std::uint8_t {
    Running,
    Ended,   ///< Finished or failed; Ended holds the event.
    Refused, ///< Known not to have started here, and refused from now on.
    Lost     ///< May have run here; its end will never be known.
  } Now{};
  StartRefusal Cause{};                   ///< In state Refused.
  std::uint32_t Attempt = 0;              ///< Of the peer, that this record is about.
  std::optional<core::TimePoint> EndedAt; ///< Unset in state Running.
  TeamIndex Team{};
  std::shared_ptr<const TaskEnded> Ended;
  std::vector<RequestId> Waiters; ///< In state Running.
};

/// Remembers delegated tasks, so that none can start here twice.
///
/// Memory is bounded: old records are dropped, and from then on nothing is started for, or said
/// of, unknown tasks of the same issuer with the same or a lower sequence.
class DelegatedTable {
public:
  /// Two minutes of 1,000 delegations per second.
  static constexpr std::size_t MaximumRecords = 120000;
  /// Bound on the results that are kept for repeated questions.
  static constexpr std::uint64_t MaximumResultBytes = 32ULL << 20;
  /// Longer than any deadline of a DelegateTask or AskTask call. The caller must not use a reply
  /// that comes later: a repeated call for a task whose record was dropped is refused, although the
  /// first one may have started it.
  static constexpr core::Duration Retention = std::chrono::minutes(2);

  DelegatedTask *find(TaskId Task);

  /// True when a record of the task may have been dropped.
  bool mayHaveEvicted(TaskId Task) const;

  bool full() const { return Tasks_.size() >= MaximumRecords; }

  /// Counts a task that is refused without a record as forgotten.
  void markEvicted(TaskId Task);

  DelegatedTask &add(TaskId Task, DelegatedTask Record);

  /// Called when the task has left the state Running, or was added in another state.
  void recordEnd(TaskId Task, core::TimePoint Now);

  /// Drops the record of a task that was refused, so that a later attempt can be added.
  void dropRefused(TaskId Task);

  void evict(core::TimePoint Now);

  /// Answers the request when the task ends.
  void attach(RequestId Request, TaskId Task);

  /// No answer is wanted for the request any more.
  void abandon(RequestId Request);

  /// Returns the requests that wait for the task, and forgets them.
  std::vector<RequestId> takeWaiters(TaskId Task);

  std::size_t running() const { return Tasks_.size() - Ended_; }

private:
  std::unordered_map<TaskId, DelegatedTask> Tasks_;
  /// Entries of dropped records stay until their turn.
  std::deque<std::pair<core::TimePoint, TaskId>> EndOrder_;
  std::size_t Ended_ = 0;
  std::map<Incarnation, std::uint64_t> HighestEvicted_;
  std::unordered_map<RequestId, TaskId> Requests_;
  std::uint64_t ResultBytes_ = 0;
};

} // namespace cornellift::kernel
