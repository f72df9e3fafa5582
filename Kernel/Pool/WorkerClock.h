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
  /// Records the worker's clock from a reply that arrived at ReceivedAt.
  void observe(std::int64_t ClockMilliseconds, core::TimePoint ReceivedAt) {
    Clock_ = ClockMilliseconds;
    At_ = ReceivedAt;
  }

  bool isKnown() const { return Clock_.has_value(); }

  /// Converts to the worker's clock, in milliseconds. Requires isKnown().
  std::int64_t at(core::TimePoint Time) const { return *Clock_ + (Time - At_).count() / 1000; }

private:
  std::optional<std::int64_t> Clock_;
  core::TimePoint At_;
};

} // namespace cornellift::kernel
