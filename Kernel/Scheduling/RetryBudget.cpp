#include "Kernel/Scheduling/RetryBudget.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Size of the token bucket, in seconds of the constant rate. Limits the burst of retries after a
/// quiet period.
constexpr double BurstSeconds = 2;
constexpr double MinimumBurst = 4;

} // namespace

void RetryBudget::configure(double Share, double PerSecond) {
  Share_ = Share;
  PerSecond_ = PerSecond;
}

void RetryBudget::started() { Tokens_ += Share_; }

bool RetryBudget::tryConsume(core::TimePoint Now) {
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
