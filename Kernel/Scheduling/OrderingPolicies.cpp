#include "Kernel/Scheduling/OrderingPolicy.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Lanes per doubling of the remaining work; 64 lanes then reach from 1 ms to 1.2 hours.
constexpr double LevelsPerDoubling = 3;

/// Teams by quota, then the smallest remaining work, of which a job's age forgives a share.
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
    // The forgiven share grows without bound but never turns the order around at once: in a backlog
    // that is older than the ageing time, small jobs still go before large ones of the same age.
    double Age = 1 + AgeingPerSecond_ * Seconds;
    return Job.WaitingWork / (Age * Age);
  }

private:
  double AgeingPerSecond_;
};

/// One queue in order of arrival, as the baselines have it.
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
