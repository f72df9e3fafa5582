#include "Kernel/Scheduling/RetryBudget.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Unused budget is kept for this long at the constant rate, and no longer: a quiet hour must not
/// pay for a flood.
constexpr double KeptSeconds = 2;
constexpr double MinimumKept = 4;

} // namespace

void RetryBudget::configure(double Share, double PerSecond) {
  Share_ = Share;
  PerSecond_ = PerSecond;
}

void RetryBudget::started() { Tokens_ += Share_; }

bool RetryBudget::take(core::TimePoint Now) {
  double Seconds = std::max(0.0, core::toMilliseconds(Now - LastRefill_) / 1000);
  LastRefill_ = Now;
  double Kept = std::max(MinimumKept, PerSecond_ * KeptSeconds);
  Tokens_ = std::min(Tokens_, Kept) + std::min(PerSecond_ * Seconds, Kept);
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

} // namespace cornellift::kernel
