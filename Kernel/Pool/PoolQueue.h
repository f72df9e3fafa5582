#pragma once

#include "Kernel/Pool/AdmissionPlan.h"
#include "Kernel/Pool/Worker.h"
#include "Libraries/LibCore/Time.h"

#include <compare>
#include <cstddef>
#include <set>
#include <unordered_map>

namespace cornellift::kernel {

/// The order in which waiting jobs are placed: by prospect, then by the latest start that meets the
/// objective.
class PoolQueue {
public:
  struct Key {
    JobProspect Prospect = JobProspect::InTime;
    core::TimePoint LatestStart;
    JobHandle Handle{};
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
    auto operator<=>(const Key &) const = default;
  };

  /// Adds a job, or moves it to another place.
  void set(const Key &Entry);
  void remove(JobHandle Handle);
  bool contains(JobHandle Handle) const { return Entries_.contains(Handle); }
  /// The job's place, or null if it doesn't wait.
  const Key *find(JobHandle Handle) const;
  bool empty() const { return Order_.empty(); }
  std::size_t size() const { return Order_.size(); }
  auto begin() const { return Order_.begin(); }
  auto end() const { return Order_.end(); }

private:
  std::set<Key> Order_;
  std::unordered_map<JobHandle, Key> Entries_;
};

} // namespace cornellift::kernel
