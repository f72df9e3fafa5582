#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::pool {

/// A line that was left out of the log so far.
struct SuppressedLine {
  kernel::JobKey Job;
  std::string_view Event;
  std::string Inputs; ///< The fields as `name=value`, separated by spaces.
  core::TimePoint At;
};

/// The last lines on jobs that were left out of the log. They are written after all when their job
/// turns out to need an explanation.
class SuppressedLineBuffer {
public:
  explicit SuppressedLineBuffer(std::size_t Capacity) { Ring_.resize(Capacity); }

  /// Replaces the oldest line.
  void add(kernel::JobKey Job, std::string_view Event, std::string Inputs, core::TimePoint Now);

  /// Takes out the lines on the job, oldest first.
  std::vector<SuppressedLine> take(kernel::JobKey Job);

private:
  std::vector<SuppressedLine> Ring_; ///< Entries without an event are empty.
  std::size_t Next_ = 0;
};

} // namespace cornellift::pool
