#include "Kernel/Pool/PlacementRate.h"

namespace cornellift::kernel {
namespace {

constexpr core::Duration WindowDuration = std::chrono::milliseconds(200);
/// Weight of the last window in the exponential moving average.
constexpr double NewestWeight = 0.5;

} // namespace

void PlacementRate::observe(bool HasWaiting, core::TimePoint Now) {
  if (!HasWaiting) {
    Since_.reset();
    Value_ = 0;
    return;
  }
  if (Since_ && Now - *Since_ < WindowDuration)
    return;
  if (Since_) {
    double Recent = Placed_ / core::toMilliseconds(Now - *Since_);
    Value_ = Value_ > 0 ? NewestWeight * Recent + (1 - NewestWeight) * Value_ : Recent;
  }
  Since_ = Now;
  Placed_ = 0;
}

} // namespace cornellift::kernel
