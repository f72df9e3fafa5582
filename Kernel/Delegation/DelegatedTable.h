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
  } CurrentState{};
  StartRefusal Cause{};                   ///< In state Refused.
  std::uint32_t Attempt = 0;              ///< The peer's attempt that this record belongs to.
  std::optional<core::TimePoint> EndedAt; ///< Unset in state Running.
  TeamIndex Team{};
  std::shared_ptr<const TaskEnded> Ended;
  std::vector<RequestId> Waiters; ///< In state Running.
};

/// Records of delegated tasks, which prevent a task from starting here twice.
///
/// Memory is bounded: old records are evicted. From then on, unknown tasks of the same issuer with
/// the same or a lower sequence are neither started nor reported on.
class DelegatedTable {
public:
  /// Two minutes of 1,000 delegations per second.
  static constexpr std::size_t MaximumRecords = 120000;
  /// Bound on the results that are kept for repeated requests.
  static constexpr std::uint64_t MaximumResultBytes = 32ULL << 20;
  /// Longer than any deadline of a DelegateTask or AskTask call. The caller must not use a reply
  /// that arrives later: a repeated call for a task whose record was evicted is refused, although
  /// the first one may have started it.
  static constexpr core::Duration Retention = std::chrono::minutes(2);

  DelegatedTask *find(TaskId Task);

  /// True when a record of the task may have been evicted.
  bool mayHaveEvicted(TaskId Task) const;

  bool full() const { return Tasks_.size() >= MaximumRecords; }

  /// Treats a task that is refused without a record as evicted.
  void markEvicted(TaskId Task);

  DelegatedTask &add(TaskId Task, DelegatedTask Record);

  /// Called when the task has left the state Running, or was added in another state.
  void recordEnd(TaskId Task, core::TimePoint Now);

  /// Drops the record of a task that was refused, so that a later attempt can be added.
  void dropRefused(TaskId Task);

  void evict(core::TimePoint Now);

  /// Registers the request for a response when the task ends.
  void attach(RequestId Request, TaskId Task);

  /// Removes a request that needs no response any more.
  void abandon(RequestId Request);

  /// Returns the requests that wait for the task, and removes them.
  std::vector<RequestId> takeWaiters(TaskId Task);

  std::size_t running() const { return Tasks_.size() - Ended_; }

private:
  std::unordered_map<TaskId, DelegatedTask> Tasks_;
  /// Entries of records that were dropped earlier stay until they reach the front.
  std::deque<std::pair<core::TimePoint, TaskId>> EndOrder_;
  std::size_t Ended_ = 0;
  std::map<Incarnation, std::uint64_t> HighestEvicted_;
  std::unordered_map<RequestId, TaskId> Requests_;
  std::uint64_t ResultBytes_ = 0;
};

} // namespace cornellift::kernel
