#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>

namespace cornellift::kernel {

/// Maps this process's clock to that of one worker. The estimate never runs ahead of the worker's
/// clock by more than the drift since the last reply, so that a deadline never comes out too late.
class WorkerClock {
public:
  /// A reply that arrived at ReceivedAt showed the worker's clock.
  void observe(std::int64_t ClockMilliseconds, core::TimePoint ReceivedAt) {
    Clock_ = ClockMilliseconds;
    At_ = ReceivedAt;
  }

  void forget() { Clock_.reset(); }

  bool isKnown() const { return Clock_.has_value(); }

  /// The worker's clock at that moment; the clock must be known.
  std::int64_t at(core::TimePoint Moment) const { return *Clock_ + (Moment - At_).count() / 1000; }

private:
  std::optional<std::int64_t> Clock_;
  core::TimePoint At_;
};

} // namespace cornellift::kernel
