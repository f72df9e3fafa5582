#include "Kernel/Pool/PlacementRate.h"

namespace cornellift::kernel {
namespace {

constexpr core::Duration WindowTime = std::chrono::milliseconds(200);
/// Weight of the last window against those before.
constexpr double LastShare = 0.5;

} // namespace

void PlacementRate::observe(bool HasWaiting, core::TimePoint Now) {
  if (!HasWaiting) {
    Since_.reset();
    Value_ = 0;
    return;
  }
  if (Since_ && Now - *Since_ < WindowTime)
    return;
  if (Since_) {
    double Recent = Placed_ / core::toMilliseconds(Now - *Since_);
    Value_ = Value_ > 0 ? LastShare * Recent + (1 - LastShare) * Value_ : Recent;
  }
  Since_ = Now;
  Placed_ = 0;
}

} // namespace cornellift::kernel
