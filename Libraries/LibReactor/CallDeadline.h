#pragma once

#include "Libraries/LibCore/Time.h"

#include <algorithm>

namespace cornellift::reactor {

/// When a call times out. While a reply arrives, the deadline moves on with each part, up to the
/// last deadline; a reply that is dropped in the middle would have to be transferred again.
class CallDeadline {
public:
  /// The whole reply has to arrive by then.
  CallDeadline(core::TimePoint Deadline) // NOLINT(google-explicit-constructor)
      : Next_(Deadline), Last_(Deadline) {}
  /// The first part of the reply has to arrive by First, the whole reply by Last.
  CallDeadline(core::TimePoint First, core::TimePoint Last)
      : Next_(First), Last_(std::max(First, Last)) {}

  /// When the call times out unless more of the reply arrives.
  core::TimePoint next() const { return Next_; }

  /// Moves the deadline on because a part of the reply has arrived.
  void partReceived(core::TimePoint Now) {
    Next_ = std::min(Last_, std::max(Next_, Now + MaximumPause));
  }

private:
  /// Maximum time between two parts of a reply.
  static constexpr core::Duration MaximumPause = std::chrono::milliseconds(500);

  core::TimePoint Next_;
  core::TimePoint Last_;
};

} // namespace cornellift::reactor
