#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace cornellift::kernel {

/// Requests that wait for a job to end, and the times at which they get a response in any case.
class RequestTable {
public:
  /// Exceeds the 512 caller connections plus the forwarded requests of all peers.
  static constexpr std::size_t MaximumRequests = 65536;

  /// Returns false when too many requests wait; the caller then has to respond immediately.
  bool add(RequestId Request, JobId Job, core::TimePoint WaitUntil) {
    if (Waiting_.size() >= MaximumRequests || !Waiting_.try_emplace(Request, Job, WaitUntil).second)
      return false;
    Due_.emplace(WaitUntil, Request);
    return true;
  }

  /// Returns the job that the request waits for, or an empty optional when it does not wait.
  std::optional<JobId> remove(RequestId Request) {
    auto Found = Waiting_.find(Request);
    if (Found == Waiting_.end())
      return std::nullopt;
    auto [Job, WaitUntil] = Found->second;
    Due_.erase({WaitUntil, Request});
    Waiting_.erase(Found);
    return Job;
  }

  std::optional<RequestId> nextDue(core::TimePoint Now) const {
    if (Due_.empty() || Due_.begin()->first > Now)
      return std::nullopt;
    return Due_.begin()->second;
  }

  std::size_t size() const { return Waiting_.size(); }

private:
  std::unordered_map<RequestId, std::pair<JobId, core::TimePoint>> Waiting_;
  std::set<std::pair<core::TimePoint, RequestId>> Due_;
};

} // namespace cornellift::kernel
