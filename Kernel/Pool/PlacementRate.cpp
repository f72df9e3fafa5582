#include "Kernel/Pool/PlacementRate.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

constexpr core::Duration WindowDuration = std::chrono::milliseconds(200);
/// Weight of the last window in the exponential moving average.
constexpr double NewestWeight = 0.5;

} // namespace

void PlacementRate::observe(bool HasWaiting, double Capacity, core::TimePoint Now) {
  if (!HasWaiting) {
    Since_.reset();
    Value_ = 0;
    return;
  }
  if (Since_ && Now - *Since_ < WindowDuration)
    return;
  if (Since_) {
    double Recent = Placed_ / core::toMilliseconds(Now - *Since_);
    double Newest = Value_ > 0 ? NewestWeight : 1;
    Value_ = Newest * Recent + (1 - Newest) * Value_;
    Capacity_ = Newest * WindowCapacity_ + (1 - Newest) * Capacity_;
  }
  Since_ = Now;
  Placed_ = 0;
  WindowCapacity_ = Capacity;
}

double PlacementRate::value(double Capacity) const {
  return Value_ > 0 ? Value_ + std::max(0.0, Capacity - Capacity_) : 0;
}

} // namespace cornellift::kernel
