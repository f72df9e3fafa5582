#include "Libraries/LibMesh/PeerClock.h"

#include <algorithm>

namespace cornellift::mesh {
namespace {

/// Offsets are forgotten after one to two of these intervals, before the drift of the clocks
/// matters. A peer acknowledges several heartbeats in one interval.
constexpr core::Duration ObservationInterval = std::chrono::seconds(2);
/// Larger times come from no clock and would overflow the conversion.
constexpr std::uint64_t MaximumPeerMicroseconds = std::uint64_t{1} << 60;

} // namespace

void PeerClock::observe(core::TimePoint SentAt, std::uint64_t PeerMicroseconds,
                        core::TimePoint Now) {
  if (PeerMicroseconds > MaximumPeerMicroseconds)
    return;
  auto Observed = SentAt.time_since_epoch() - core::Duration(PeerMicroseconds);
  if (Offset_ && Now < IntervalEndsAt_) {
    Offset_ = std::max(*Offset_, Observed);
    return;
  }
  bool IsRecent = Now < IntervalEndsAt_ + ObservationInterval;
  FormerOffset_ = IsRecent ? Offset_ : std::nullopt;
  Offset_ = Observed;
  IntervalEndsAt_ = Now + ObservationInterval;
}

std::optional<core::TimePoint> PeerClock::toLocal(std::uint64_t PeerMicroseconds) const {
  if (!Offset_ || PeerMicroseconds > MaximumPeerMicroseconds)
    return std::nullopt;
  auto Largest = std::max(*Offset_, FormerOffset_.value_or(*Offset_));
  return core::TimePoint(core::Duration(PeerMicroseconds) + Largest);
}

} // namespace cornellift::mesh
