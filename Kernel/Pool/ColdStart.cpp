#include "Kernel/Pool/ColdStart.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// The platform does not state how slow cold workers are. A moderate value orders them behind warm
/// ones until runs have shown it.
constexpr double AssumedSlowdown = 1.5;
/// Weight of the assumption, as a number of observed runs.
constexpr double AssumedWeight = 2;
/// Upper bound on one observation; run times vary, and a run may have been slow for another reason.
constexpr double MaximumSlowdown = 20;
/// Weight of all observations together, so that the estimate follows changes.
constexpr double MaximumWeight = 50;
/// A run shows the slowdown only if the worker was cold for at least this share of it.
constexpr double MinimumColdShare = 0.5;

} // namespace

double ColdStart::slowdown() const {
  return std::exp((Sum_ + AssumedWeight * std::log(AssumedSlowdown)) / (Weight_ + AssumedWeight));
}

double ColdStart::coldMilliseconds(std::optional<core::TimePoint> ColdUntil, core::TimePoint Now) {
  return ColdUntil ? std::max(0.0, core::toMilliseconds(*ColdUntil - Now)) : 0;
}

double ColdStart::expectedMilliseconds(double Warm, double ColdMilliseconds) const {
  double DoneCold = ColdMilliseconds / slowdown();
  return DoneCold >= Warm ? Warm * slowdown() : ColdMilliseconds + Warm - DoneCold;
}

double ColdStart::warmMilliseconds(double Taken, double ColdMilliseconds) const {
  double Cold = std::min(Taken, ColdMilliseconds);
  return Cold / slowdown() + Taken - Cold;
}

void ColdStart::learn(double Warm, double Taken, double ColdMilliseconds) {
  double Cold = std::min(Taken, ColdMilliseconds);
  double DoneCold = Warm - (Taken - Cold);
  if (Taken <= 0 || Cold < MinimumColdShare * Taken || DoneCold <= 0)
    return;
  if (Weight_ >= MaximumWeight) {
    Sum_ *= (MaximumWeight - 1) / Weight_;
    Weight_ = MaximumWeight - 1;
  }
  Sum_ += std::log(std::clamp(Cold / DoneCold, 1.0, MaximumSlowdown));
  Weight_ += 1;
}

} // namespace cornellift::kernel
