#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::pool {

/// A log line that the rate limit suppressed.
struct SuppressedLine {
  kernel::JobKey Job;
  std::string_view Event;
  std::string Inputs; ///< The fields as `name=value`, separated by spaces.
  core::TimePoint At;
};

/// Ring buffer of the last suppressed log lines about jobs. The lines of a job are written when the
/// job is refused, fails or is delayed.
class SuppressedLineBuffer {
public:
  explicit SuppressedLineBuffer(std::size_t Capacity) { Ring_.resize(Capacity); }

  /// Overwrites the oldest entry.
  void add(kernel::JobKey Job, std::string_view Event, std::string Inputs, core::TimePoint Now);

  /// Removes and returns the lines about the job, oldest first.
  std::vector<SuppressedLine> take(kernel::JobKey Job);

private:
  std::vector<SuppressedLine> Ring_; ///< An entry without an event is free.
  std::size_t Next_ = 0;
};

} // namespace cornellift::pool
