#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace cornellift::kernel {

/// A task whose start was sent and whose end is not known.
struct RunningTask {
  EndpointIndex Endpoint{};
  std::uint32_t Attempt = 0;
  enum class Owner : std::uint8_t { OwnJob, Delegated } StartedFor{};
  enum class Phase : std::uint8_t { Running, Fencing } State{};
  enum class QueryState : std::uint8_t { NoQuery, Pending } Query{};
  core::Duration StatusQueryInterval{0}; ///< Until the next status query.
  core::TimePoint DueAt; ///< Time of the next status query, or of the fence timeout.
};

/// The tasks that occupy slots, their attempts and timers.
class RunningTasks {
public:
  void add(TaskId Task, RunningTask Started) {
    Due_.emplace(Started.DueAt, Task);
    Tasks_.insert_or_assign(Task, Started);
  }

  bool contains(TaskId Task) const { return Tasks_.contains(Task); }

  /// Returns null unless the task is running on that endpoint with that attempt. Attempt zero
  /// matches any.
  RunningTask *find(TaskId Task, EndpointIndex Endpoint, std::uint32_t Attempt) {
    auto Found = Tasks_.find(Task);
    if (Found == Tasks_.end() || Found->second.Endpoint != Endpoint)
      return nullptr;
    if (Attempt != 0 && Attempt != Found->second.Attempt)
      return nullptr;
    return &Found->second;
  }

  void remove(TaskId Task) {
    auto Found = Tasks_.find(Task);
    if (Found == Tasks_.end())
      return;
    Due_.erase({Found->second.DueAt, Task});
    Tasks_.erase(Found);
  }

  void setDue(TaskId Task, RunningTask &Started, core::TimePoint DueAt) {
    Due_.erase({Started.DueAt, Task});
    Started.DueAt = DueAt;
    Due_.emplace(DueAt, Task);
  }

  std::optional<std::pair<TaskId, RunningTask *>> nextDue(core::TimePoint Now) {
    if (Due_.empty() || Due_.begin()->first > Now)
      return std::nullopt;
    auto Task = Due_.begin()->second;
    return std::pair(Task, &Tasks_.at(Task));
  }

  std::size_t size() const { return Tasks_.size(); }

private:
  std::unordered_map<TaskId, RunningTask> Tasks_;
  std::set<std::pair<core::TimePoint, TaskId>> Due_;
};

} // namespace cornellift::kernel
