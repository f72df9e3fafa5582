#pragma once

#include "Libraries/LibCore/Time.h"

namespace cornellift::kernel {

/// Tells lasting overload from single late jobs. Answers operators who need to know whether callers
/// are refused for want of room or because of a fault.
class OverloadWatch {
public:
  /// Records whether a review of the waiting jobs found late ones. Returns whether overload has
  /// begun or ended with it.
  bool observe(bool HasLate, core::TimePoint Now);
  bool isOverloaded() const { return IsOverloaded_; }

private:
  bool IsOverloaded_ = false;
  core::TimePoint LateSince_;
  core::TimePoint LateAt_; ///< The last review with late jobs.
};

} // namespace cornellift::kernel
