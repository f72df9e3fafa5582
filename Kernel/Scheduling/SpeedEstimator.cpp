#include "Kernel/Scheduling/SpeedEstimator.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Half-life of evidence; speeds drift over minutes.
constexpr double HalfLifeSeconds = 20;
/// Half-life for slow endpoints. They get few tasks, and with a shorter one they would look typical
/// again without new samples.
constexpr double SlowHalfLifeSeconds = 300;
constexpr double SlowLogSpeed = -0.7;
/// Weight of the prior, in samples.
constexpr double PriorWeight = 4;
constexpr double RecentSamples = 8;
constexpr double LargestLogRatio = 3.5;
/// A change is detected when the recent mean differs by this many of its standard errors plus a
/// minimum.
constexpr double ChangeErrors = 4;
constexpr double SmallestChange = 0.3;

} // namespace

void SpeedEstimator::resize(std::size_t Endpoints) {
  if (Endpoints > Endpoints_.size())
    Endpoints_.resize(Endpoints);
}

double SpeedEstimator::logSpeed(EndpointIndex Endpoint) const {
  const auto &Known = Endpoints_[static_cast<std::size_t>(Endpoint)];
  double Prior = groupMeanLogRatio(Groups_[Known.Group]) - meanLogRatio();
  return (Known.Sum - Known.Weight * meanLogRatio() + PriorWeight * Prior) /
         (Known.Weight + PriorWeight);
}

void SpeedEstimator::assignGroup(EndpointIndex Endpoint, std::uint32_t Group) {
  auto &Known = Endpoints_[static_cast<std::size_t>(Endpoint)];
  if (Group >= Groups_.size())
    Groups_.resize(Group + 1);
  removeFromTotals(Known);
  Known.Group = Group;
  addToTotals(Known);
}

void SpeedEstimator::forget(EndpointIndex Endpoint) {
  auto &Known = Endpoints_[static_cast<std::size_t>(Endpoint)];
  removeFromTotals(Known);
  auto Group = Known.Group;
  Known = {};
  Known.Group = Group;
}

double SpeedEstimator::groupMeanLogRatio(const GroupEvidence &Group) const {
  // With a single group, its mean adds nothing to the mean over all endpoints.
  if (Groups_.size() == 1)
    return meanLogRatio();
  return (Group.Sum + PriorWeight * meanLogRatio()) / (Group.Weight + PriorWeight);
}

void SpeedEstimator::removeFromTotals(const Evidence &Known) {
  TotalWeight_ -= Known.Weight;
  TotalSum_ -= Known.Sum;
  Groups_[Known.Group].Weight -= Known.Weight;
  Groups_[Known.Group].Sum -= Known.Sum;
}

void SpeedEstimator::addToTotals(const Evidence &Known) {
  TotalWeight_ += Known.Weight;
  TotalSum_ += Known.Sum;
  Groups_[Known.Group].Weight += Known.Weight;
  Groups_[Known.Group].Sum += Known.Sum;
}

double SpeedEstimator::meanLogRatio() const {
  return TotalWeight_ > 0 ? TotalSum_ / TotalWeight_ : 0;
}

void SpeedEstimator::learn(EndpointIndex Endpoint, double LogRatio, double Deviation,
                           core::TimePoint Now) {
  auto &Known = Endpoints_[static_cast<std::size_t>(Endpoint)];
  LogRatio = std::clamp(LogRatio, -LargestLogRatio, LargestLogRatio);
  double HalfLife = logSpeed(Endpoint) < SlowLogSpeed ? SlowHalfLifeSeconds : HalfLifeSeconds;
  removeFromTotals(Known);
  double Seconds = std::max(0.0, core::toMilliseconds(Now - Known.LastDecay) / 1000);
  double Factor = std::exp2(-Seconds / HalfLife);
  Known.LastDecay = Now;
  Known.Weight = Known.Weight * Factor + 1;
  Known.Sum = Known.Sum * Factor + LogRatio;
  Known.RecentWeight = std::min(RecentSamples, Known.RecentWeight + 1);
  Known.Recent += (LogRatio - Known.Recent) / Known.RecentWeight;
  double Error = ChangeErrors * Deviation / std::sqrt(2 * Known.RecentWeight);
  bool Changed = Known.RecentWeight >= RecentSamples / 2 &&
                 std::abs(Known.Recent - Known.Sum / Known.Weight) > Error + SmallestChange;
  if (Changed) {
    Known.Weight = Known.RecentWeight;
    Known.Sum = Known.Recent * Known.RecentWeight;
  }
  addToTotals(Known);
}

} // namespace cornellift::kernel
