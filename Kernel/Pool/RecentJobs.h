#pragma once

#include "Kernel/Pool/JobKey.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornellift::kernel {

/// Values that are kept for jobs for a fixed time after their last addition. Beyond a maximum
/// number of additions the oldest is dropped first.
template <typename Value> class RecentJobs {
public:
  RecentJobs(core::Duration Retention, std::size_t MaximumAdditions)
      : Retention_(Retention), MaximumAdditions_(MaximumAdditions) {}

  void add(JobKey Job, Value Added, core::TimePoint At) {
    auto ForgetAt = At + Retention_;
    Kept_.insert_or_assign(Job, Entry{std::move(Added), ForgetAt});
    Order_.emplace_back(Job, ForgetAt);
    if (Order_.size() > MaximumAdditions_)
      dropOldest();
  }

  /// Returns null for a job that was not added, or longer ago than the retention time.
  const Value *find(JobKey Job, core::TimePoint Now) const {
    auto Found = Kept_.find(Job);
    return Found == Kept_.end() || Now >= Found->second.ForgetAt ? nullptr : &Found->second.Kept;
  }

  /// Returns the last additions that are kept, with their times, at most the given number.
  std::vector<std::pair<JobKey, core::TimePoint>> newest(std::size_t Maximum,
                                                         core::TimePoint Now) const {
    std::vector<std::pair<JobKey, core::TimePoint>> Found;
    for (auto Each = Order_.rbegin(); Each != Order_.rend() && Found.size() < Maximum; ++Each)
      if (Now < Each->second)
        Found.emplace_back(Each->first, Each->second - Retention_);
    return Found;
  }

  void forgetExpired(core::TimePoint Now) {
    while (!Order_.empty() && Now >= Order_.front().second)
      dropOldest();
  }

  std::size_t size() const { return Kept_.size(); }

private:
  struct Entry {
    Value Kept;
    core::TimePoint ForgetAt;
  };

  void dropOldest() {
    auto [Job, ForgetAt] = Order_.front();
    Order_.pop_front();
    auto Found = Kept_.find(Job);
    bool WasAddedAgain = Found == Kept_.end() || Found->second.ForgetAt != ForgetAt;
    if (!WasAddedAgain)
      Kept_.erase(Found);
  }

  core::Duration Retention_;
  std::size_t MaximumAdditions_;
  std::unordered_map<JobKey, Entry> Kept_;
  std::deque<std::pair<JobKey, core::TimePoint>> Order_; ///< All additions, oldest first.
};

} // namespace cornellift::kernel
