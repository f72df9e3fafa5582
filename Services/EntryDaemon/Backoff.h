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
  Backoff(core::Duration First, core::Duration Longest, std::uint64_t Seed)
      : First_(First), Longest_(Longest), Bound_(First), Random_(Seed) {}

  /// Returns the next delay, at least one tick of core::Duration, and doubles the bound.
  core::Duration next() {
    std::uniform_int_distribution<core::Duration::rep> Draw(1, Bound_.count());
    Bound_ = std::min(Bound_ * 2, Longest_);
    return core::Duration(Draw(Random_));
  }

  void reset() { Bound_ = First_; }

private:
  core::Duration First_;
  core::Duration Longest_;
  core::Duration Bound_;
  std::mt19937_64 Random_;
};

} // namespace cornellift::entry
