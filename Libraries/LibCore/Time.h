#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace cornellift::core {

/// Monotonic clock with microsecond ticks. It includes time for which the VM was suspended, so that
/// leases and sessions that expired meanwhile are treated as expired. The kernel never calls now():
/// the time is passed as an argument, so that a replay on a virtual clock makes the same decisions.
struct MonotonicClock {
  using duration = std::chrono::microseconds; // NOLINT(readability-identifier-naming)
  using rep = duration::rep;                  // NOLINT(readability-identifier-naming)
  using period = duration::period;            // NOLINT(readability-identifier-naming)
  using time_point =
      std::chrono::time_point<MonotonicClock>; // NOLINT(readability-identifier-naming)
  static constexpr bool is_steady = true;      // NOLINT(readability-identifier-naming)

  static time_point now();
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

/// Converts a duration to milliseconds with a fraction, for logs and JSON.
double toMilliseconds(Duration Span);

/// Converts milliseconds to the clock's ticks; fractions of a microsecond are truncated. External
/// input may be of any size: the value is clamped to 10 years in either direction, and NaN gives
/// zero.
Duration fromMilliseconds(double Milliseconds);

/// Current wall-clock time in milliseconds since 1970-01-01 UTC, for deadlines on the wire.
std::int64_t wallClockMilliseconds();

/// Converts a wall-clock deadline in milliseconds since 1970 to the monotonic clock.
TimePoint fromWallClock(std::int64_t EpochMilliseconds);

/// Converts a monotonic deadline to wall-clock milliseconds since 1970.
std::int64_t toWallClock(TimePoint Deadline);

} // namespace cornellift::core
