#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace cornellift::core {

/// Monotonic clock with microsecond ticks. It also counts the time for which the VM was suspended,
/// so that leases and sessions that ended meanwhile are found to have ended. The kernel never calls
/// now(): it gets the time as an argument, so that a replay on a virtual clock makes the same
/// decisions.
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

/// Milliseconds of a duration, with fraction, for logs and JSON.
double toMilliseconds(Duration Span);

/// Rounds a count of milliseconds to the clock's microsecond ticks. Numbers from outside may be of
/// any size: spans of more than some years count as that, and what is not a number as zero.
Duration fromMilliseconds(double Milliseconds);

/// Current wall-clock time in milliseconds since 1970-01-01 UTC, for deadlines on the wire.
std::int64_t wallClockMilliseconds();

/// Converts a wall-clock deadline in milliseconds since 1970 to the monotonic clock.
TimePoint fromWallClock(std::int64_t EpochMilliseconds);

/// Converts a monotonic deadline to wall-clock milliseconds since 1970.
std::int64_t toWallClock(TimePoint Deadline);

} // namespace cornellift::core
