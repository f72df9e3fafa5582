#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>

namespace cornellift::mesh {

/// Converts times of a peer's clock to this process's clock. A converted time is never later than
/// the true one, so that a frame that waited in a socket while this process was paused does not
/// count as recent. It is earlier by the time that the fastest of the recent heartbeats took to be
/// acknowledged by the peer, and by the drift of the clocks within a few seconds.
class PeerClock {
public:
  /// Records that the peer's clock showed PeerMicroseconds when it acknowledged a heartbeat that
  /// this process had sent at SentAt.
  void observe(core::TimePoint SentAt, std::uint64_t PeerMicroseconds, core::TimePoint Now);

  /// Returns whether times can be converted.
  bool isKnown() const { return Offset_.has_value(); }

  /// Converts a time of the peer's clock, in microseconds. Empty if the clock is not known or the
  /// time is out of range.
  std::optional<core::TimePoint> toLocal(std::uint64_t PeerMicroseconds) const;

  /// Forgets the clock, as that of a process that has ended.
  void reset() { *this = {}; }

private:
  /// Difference of this process's clock to the peer's: the largest in the current and in the
  /// former interval. Each is at most the true difference.
  std::optional<core::Duration> Offset_;
  std::optional<core::Duration> FormerOffset_;
  core::TimePoint IntervalEndsAt_;
};

} // namespace cornellift::mesh
