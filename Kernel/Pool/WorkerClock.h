#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>

namespace cornellift::kernel {

/// Maps this process's clock to the clock of one worker. The estimate is ahead of the worker's
/// clock by at most the drift since the last reply, so a converted deadline is never too late by
/// more.
class WorkerClock {
public:
  /// Records the worker's clock from a reply that was read at ReadAt and expected until ExpectedBy.
  /// A reply that is read later, because this process was paused, would set the estimate back and
  /// shorten leases; it is ignored while the estimate is recent.
  void observe(std::int64_t ClockMilliseconds, core::TimePoint ReadAt, core::TimePoint ExpectedBy) {
    if (ReadAt > ExpectedBy && isKnown() && ReadAt <= At_ + RecentTime)
      return;
    Clock_ = ClockMilliseconds;
    At_ = ReadAt;
  }

  bool isKnown() const { return Clock_.has_value(); }

  /// Converts to the worker's clock, in milliseconds. Requires isKnown().
  std::int64_t at(core::TimePoint Time) const { return *Clock_ + (Time - At_).count() / 1000; }

private:
  /// In this time and that of a lease, a clock that is 2% slow falls behind by less than the slack
  /// of a lease.
  static constexpr core::Duration RecentTime = std::chrono::seconds(1);

  std::optional<std::int64_t> Clock_;
  core::TimePoint At_;
};

} // namespace cornellift::kernel
