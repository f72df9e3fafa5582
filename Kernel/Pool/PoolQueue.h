#pragma once

#include "Kernel/Pool/Worker.h"
#include "Libraries/LibCore/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// A job is given up or rejected only when the remaining time is less than this share of its
/// expected run time, because estimates are rough.
constexpr double MinimumRunTimeShare = 0.7;

/// Whether a waiting job can still meet its objective. Jobs are placed in the order of these
/// values.
enum class JobProspect : std::uint8_t {
  InTime,
  StartedLate, ///< Late, but some of its tasks have started and would be wasted.
  Late
};

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
  bool empty() const { return Order_.empty(); }
  std::size_t size() const { return Order_.size(); }
  auto begin() const { return Order_.begin(); }
  auto end() const { return Order_.end(); }

private:
  std::set<Key> Order_;
  std::unordered_map<JobHandle, Key> Entries_;
};

/// A waiting job in a review of the queue.
struct ReviewedJob {
  JobHandle Handle{};
  JobProspect Prospect = JobProspect::InTime;
  bool MayHaveRun = false; ///< Some of its tasks run or have run.
  double WaitingMilliseconds =
      0;                         ///< Expected run time of all its waiting tasks on typical workers.
  core::Duration ShortestRun{0}; ///< Expected run time of its longest waiting task, at the fastest.
  core::TimePoint LatestStart;
  core::TimePoint UsefulUntil;
};

/// Outcome of a review.
struct QueueReview {
  std::vector<JobHandle> Late;         ///< Can no longer meet their objective; to be placed later.
  std::vector<JobHandle> Unattainable; ///< Cannot even be served late; to be rejected.
  double WaitingMilliseconds = 0;      ///< Expected run time of the jobs that remain.
};

/// Reviews the waiting jobs, in the order of the queue, after a backlog has built up. Placed by
/// their latest start alone, each job would begin as soon as it is just too late, so that none is
/// in time. A job that the work ahead makes late therefore leaves its place to those that can be in
/// time. Rate is the typical run time that is placed per unit of time.
QueueReview reviewQueue(std::span<const ReviewedJob> Jobs, double Rate, core::TimePoint Now);

} // namespace cornellift::kernel
