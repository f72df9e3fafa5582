#pragma once

#include "Libraries/LibCore/Time.h"

#include <optional>

namespace cornellift::kernel {

/// Measures the rate at which waiting work is placed, here or at other managers, as typical run
/// time placed per unit of time. Under overload the capacity that other managers leave to this
/// one's jobs is unknown, and this rate is the only measure of it.
class PlacementRate {
public:
  void placed(double TypicalMilliseconds) { Placed_ += TypicalMilliseconds; }

  /// Updates the rate; to be called often. HasWaiting is true if work is waiting now.
  void observe(bool HasWaiting, core::TimePoint Now);

  /// The current rate; zero if unknown, because no work waits or the first window is not over.
  double value() const { return Value_; }

private:
  std::optional<core::TimePoint> Since_; ///< Start of the window; empty while no work waits.
  double Placed_ = 0; ///< Typical run time placed in the window, in milliseconds.
  double Value_ = 0;
};

} // namespace cornellift::kernel
