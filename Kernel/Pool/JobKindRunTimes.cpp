#include "Kernel/Pool/JobKindRunTimes.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Run times below this are dominated by the time of the messages.
constexpr double ShortestMilliseconds = 1;

} // namespace

JobKindRunTimes::JobKindRunTimes() { Configuration_.Services.emplace_back(); }

KindIndex JobKindRunTimes::kindOf(const std::string &Route, double DeclaredMilliseconds) {
  auto &Kinds = Configuration_.Services.front().Kinds;
  auto [Position, IsNew] = KindByRoute_.emplace(Route, static_cast<KindIndex>(Kinds.size()));
  if (IsNew) {
    Kinds.push_back({Route, core::fromMilliseconds(DeclaredMilliseconds), {}, false});
    Estimator_.configure(Configuration_);
  }
  return Position->second;
}

DeclaredRunTime JobKindRunTimes::declarationOf(const JobStep &Step) {
  if (Step.DeclaredMilliseconds <= 0)
    return {};
  return {static_cast<float>(std::log(Step.DeclaredMilliseconds)), 0, true};
}

RunTimeEstimate JobKindRunTimes::estimate(KindIndex Kind, const JobStep &Step) const {
  return Estimator_.estimate(Service, Kind, declarationOf(Step));
}

void JobKindRunTimes::learn(KindIndex Kind, const JobStep &Step, double Milliseconds, double Speed,
                            core::TimePoint Now) {
  double Typical = std::max(ShortestMilliseconds, Milliseconds * Speed);
  Estimator_.learn(Service, Kind, declarationOf(Step), std::log(Typical), Now);
}

} // namespace cornellift::kernel
