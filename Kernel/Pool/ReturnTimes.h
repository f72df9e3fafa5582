#pragma once

#include "Libraries/LibCore/Time.h"

namespace cornellift::kernel {

/// When refused callers may come back. Answers retry storms: callers that are refused in the same
/// moment are told different times, each after the work of those told before it, at the rate at
/// which room becomes free.
class ReturnTimes {
public:
  /// Returns the time for a caller whose job needs so much work, in milliseconds from now.
  /// EarliestMilliseconds is when the work that waits now has been placed, Rate the work that is
  /// placed per millisecond; zero if it is not known.
  double next(double EarliestMilliseconds, double Work, double Rate, core::TimePoint Now);

private:
  core::TimePoint PromisedUntil_; ///< When the work of all callers told so far will be placed.
};

} // namespace cornellift::kernel
