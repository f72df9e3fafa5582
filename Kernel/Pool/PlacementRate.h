#pragma once

#include "Libraries/LibCore/Time.h"

#include <optional>

namespace cornellift::kernel {

/// How fast waiting work finds room, here or at other managers: typical run time placed per time.
/// Answers overload, where the capacity that is left for this manager's jobs is known only from
/// what has been placed.
class PlacementRate {
public:
  void placed(double TypicalMilliseconds) { Placed_ += TypicalMilliseconds; }

  /// Called often; whether work is waiting now.
  void observe(bool HasWaiting, core::TimePoint Now);

  /// Zero while it is not known: when no work waits, or has begun to only now.
  double value() const { return Value_; }

private:
  std::optional<core::TimePoint> Since_; ///< Begin of the window; empty while no work waits.
  double Placed_ = 0;                    ///< Milliseconds since then.
  double Value_ = 0;
};

} // namespace cornellift::kernel
