#include "Kernel/Scheduling/OrderingPolicy.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Levels per doubling of the remaining work; 64 levels then tell jobs apart from 1 ms to 35
/// minutes (2^21 ms); larger jobs share the last level.
constexpr double LevelsPerDoubling = 3;

/// Orders teams by quota, and the jobs of a team by remaining work, discounted by age.
class FairRemainingOrdering final : public OrderingPolicy {
public:
  explicit FairRemainingOrdering(double AgeingPerSecond) : AgeingPerSecond_(AgeingPerSecond) {}

  TeamOrder teamOrder() const override { return TeamOrder::FairShare; }

  std::uint32_t level(const JobView &Job) const override {
    double Level = LevelsPerDoubling * std::log2(std::max(1.0, Job.WaitingWork));
    return static_cast<std::uint32_t>(std::min(Level, Levels - 1.0));
  }

  double sortKey(const JobView &Job, core::TimePoint Now) const override {
    double Seconds = core::toMilliseconds(Now - Job.Arrival) / 1000;
    // The discount grows without bound but does not reverse the order at once: in a backlog older
    // than the ageing time, small jobs still go before large ones of the same age.
    double Age = 1 + AgeingPerSecond_ * Seconds;
    return Job.WaitingWork / (Age * Age);
  }

private:
  double AgeingPerSecond_;
};

/// A single queue in order of arrival, for comparison.
class ArrivalOrdering final : public OrderingPolicy {
public:
  explicit ArrivalOrdering(double /*AgeingPerSecond*/) {}

  TeamOrder teamOrder() const override { return TeamOrder::None; }
  std::uint32_t level(const JobView & /*Job*/) const override { return 0; }
  double sortKey(const JobView &Job, core::TimePoint /*Now*/) const override {
    return core::toMilliseconds(Job.Arrival.time_since_epoch());
  }
};

const OrderingRegistration<FairRemainingOrdering> RegisteredFair("fair-remaining");
const OrderingRegistration<ArrivalOrdering> RegisteredArrival("arrival");

} // namespace
} // namespace cornellift::kernel
