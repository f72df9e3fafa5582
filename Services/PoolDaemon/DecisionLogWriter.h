#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Libraries/LibCore/Time.h"
#include "Services/PoolDaemon/SuppressedLineBuffer.h"

#include <array>
#include <cstdint>

namespace cornellift::pool {

/// Writes decisions as lines of the log. Each weight has a bound on its lines a second, so that
/// lines on served requests do not crowd out those on failed ones. The last routine lines that are
/// left out are held, and written when a notable line on the same job follows. What is left out is
/// counted and reported once a second.
class DecisionLogWriter final : public kernel::DecisionLog {
public:
  /// The bound holds for lines on served requests; each other weight has ten times as many.
  DecisionLogWriter(std::uint32_t RoutineLinesPerSecond, std::size_t SuppressedLineCapacity)
      : SuppressedLines_(SuppressedLineCapacity) {
    setRateLimit(RoutineLinesPerSecond);
  }

  void setRateLimit(std::uint32_t RoutineLinesPerSecond);

  void line(kernel::DecisionPriority Priority, std::string_view Event,
            std::optional<kernel::JobKey> Job,
            std::initializer_list<kernel::DecisionField> Fields) override;

  std::uint64_t linesWritten() const { return Written_; }
  std::uint64_t linesDropped() const { return Dropped_; }

private:
  static constexpr std::size_t Priorities = 3;

  bool take(kernel::DecisionPriority Priority, core::TimePoint Now);
  void startInterval(core::TimePoint Now);
  void writeSuppressed(kernel::JobKey Job, core::TimePoint Now);

  SuppressedLineBuffer SuppressedLines_;
  std::array<std::uint32_t, Priorities> LinesPerSecond_{};
  std::array<std::uint32_t, Priorities> RemainingLines_{};
  std::array<std::uint32_t, Priorities> DroppedInInterval_{};
  core::TimePoint NextIntervalAt_;
  std::uint64_t Written_ = 0;
  std::uint64_t Dropped_ = 0;
};

} // namespace cornellift::pool
