#pragma once

#include "Libraries/LibCore/Time.h"

#include <optional>

namespace cornellift::kernel {

/// Measures the rate at which waiting work is placed, here or at other managers. Under overload the
/// capacity that other managers leave to this one's jobs is unknown, and this rate is the only
/// measure of it. Work is in milliseconds of a typical worker; rates and capacities are work per
/// millisecond.
class PlacementRate {
public:
  void placed(double Work) { Placed_ += Work; }

  /// Updates the rate; to be called often. HasWaiting is true if work is waiting now, Capacity is
  /// what the workers held now can do.
  void observe(bool HasWaiting, double Capacity, core::TimePoint Now);

  /// The rate with that capacity: workers that came after the rate was measured add theirs. Zero if
  /// unknown, because no work waits or the first window is not over.
  double value(double Capacity) const;

private:
  std::optional<core::TimePoint> Since_; ///< Start of the window; empty while no work waits.
  double Placed_ = 0;                    ///< Work placed in the window.
  double Value_ = 0;
  double Capacity_ = 0; ///< Mean over the same windows as Value_.
  double WindowCapacity_ = 0;
};

} // namespace cornellift::kernel
