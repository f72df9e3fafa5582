#include "Kernel/Pool/OverloadWatch.h"

namespace cornellift::kernel {
namespace {

/// Overload begins when jobs have been late for so long, without a pause of EndsAfter.
constexpr core::Duration BeginsAfter = std::chrono::milliseconds(200);
/// Overload ends when no job has been late for so long.
constexpr core::Duration EndsAfter = std::chrono::seconds(1);

} // namespace

bool OverloadWatch::observe(bool HasLate, core::TimePoint Now) {
  bool IsOver = Now - LateAt_ > EndsAfter;
  if (HasLate) {
    if (IsOver)
      LateSince_ = Now;
    LateAt_ = Now;
  }
  bool Was = IsOverloaded_;
  if (HasLate && Now - LateSince_ >= BeginsAfter)
    IsOverloaded_ = true;
  else if (!HasLate && IsOver)
    IsOverloaded_ = false;
  return Was != IsOverloaded_;
}

} // namespace cornellift::kernel
