#pragma once

#include "Libraries/LibCore/Time.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace cornellift::entry {

/// Exponential backoff with full jitter: random delays up to a bound that doubles with each
/// failure. The jitter spreads the retries of processes that lost the same service at the same
/// time.
class Backoff {
public:
  Backoff(core::Duration InitialBound, core::Duration MaximumBound, std::uint64_t Seed)
      : InitialBound_(InitialBound), MaximumBound_(MaximumBound), Bound_(InitialBound),
        Random_(Seed) {}

  /// Returns the next delay, at least one tick of core::Duration, and doubles the bound.
  core::Duration next() {
    std::uniform_int_distribution<core::Duration::rep> Draw(1, Bound_.count());
    Bound_ = std::min(Bound_ * 2, MaximumBound_);
    return core::Duration(Draw(Random_));
  }

  void reset() { Bound_ = InitialBound_; }

private:
  core::Duration InitialBound_;
  core::Duration MaximumBound_;
  core::Duration Bound_;
  std::mt19937_64 Random_;
};

} // namespace cornellift::entry
