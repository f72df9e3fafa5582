#include "Kernel/Pool/ReturnTimes.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Bounds on the times that callers are told.
constexpr double MinimumMilliseconds = 200;
constexpr double MaximumMilliseconds = 5000;
/// Share of the rate that is left to returning callers, as new ones come meanwhile.
constexpr double ShareForReturning = 0.5;

} // namespace

double ReturnTimes::next(double EarliestMilliseconds, double Work, double Rate,
                         core::TimePoint Now) {
  auto Earliest = Now + core::fromMilliseconds(std::clamp(EarliestMilliseconds, MinimumMilliseconds,
                                                          MaximumMilliseconds));
  auto Latest = Now + core::fromMilliseconds(MaximumMilliseconds);
  auto Told = std::clamp(PromisedUntil_, Earliest, Latest);
  // All that were told so far have come back by the latest time, and count as new callers then.
  if (Rate > 0)
    PromisedUntil_ =
        std::min(Latest, Told + core::fromMilliseconds(Work / (Rate * ShareForReturning)));
  return core::toMilliseconds(Told - Now);
}

} // namespace cornellift::kernel
