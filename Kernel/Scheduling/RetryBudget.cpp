#include "Kernel/Scheduling/RetryBudget.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Unused budget is kept for this long at the constant rate, and no longer: a quiet hour must not
/// pay for a flood.
constexpr double BurstSeconds = 2;
constexpr double MinimumBurst = 4;

} // namespace

void RetryBudget::configure(double Share, double PerSecond) {
  Share_ = Share;
  PerSecond_ = PerSecond;
}

void RetryBudget::started() { Tokens_ += Share_; }

bool RetryBudget::take(core::TimePoint Now) {
  double Seconds = std::max(0.0, core::toMilliseconds(Now - LastRefill_) / 1000);
  LastRefill_ = Now;
  double Burst = std::max(MinimumBurst, PerSecond_ * BurstSeconds);
  Tokens_ = std::min(Tokens_, Burst) + std::min(PerSecond_ * Seconds, Burst);
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

} // namespace cornellift::kernel
