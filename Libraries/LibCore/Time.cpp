#include "Libraries/LibCore/Time.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace cornellift::core {
namespace {

/// Ten years: sums of several such durations do not overflow the clock's range.
constexpr double MaximumMilliseconds = 10.0 * 365 * 24 * 3600 * 1000;

} // namespace

MonotonicClock::time_point MonotonicClock::now() {
  timespec SinceBoot{};
  clock_gettime(CLOCK_BOOTTIME, &SinceBoot);
  return time_point(std::chrono::seconds(SinceBoot.tv_sec) +
                    std::chrono::microseconds(SinceBoot.tv_nsec / 1000));
}

double toMilliseconds(Duration Span) { return static_cast<double>(Span.count()) / 1000.0; }

Duration fromMilliseconds(double Milliseconds) {
  if (std::isnan(Milliseconds))
    return Duration::zero();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
      std::clamp(Milliseconds, -MaximumMilliseconds, MaximumMilliseconds)));
}

std::int64_t wallClockMilliseconds() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch).count();
}

TimePoint fromWallClock(std::int64_t EpochMilliseconds) {
  auto Remaining = std::chrono::milliseconds(EpochMilliseconds - wallClockMilliseconds());
  return MonotonicClock::now() + Remaining;
}

std::int64_t toWallClock(TimePoint Deadline) {
  auto Remaining = Deadline - MonotonicClock::now();
  return wallClockMilliseconds() +
         std::chrono::duration_cast<std::chrono::milliseconds>(Remaining).count();
}

} // namespace cornellift::core
