#include "Kernel/Pool/JobKindRunTimes.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Shorter run times mostly consist of message delays, so they are counted as this.
constexpr double MinimumMilliseconds = 1;
/// Whenever so many jobs have been counted, the counts are halved, so that recent jobs weigh more.
constexpr double RecentJobs = 128;
/// Prior of the share of overlong jobs, and its weight as a number of observed jobs.
constexpr double PriorOverlongShare = 0.01;
constexpr double PriorJobs = 50;

} // namespace

JobKindRunTimes::JobKindRunTimes() { Configuration_.Services.emplace_back(); }

KindIndex JobKindRunTimes::kindOf(const std::string &Route, double DeclaredMilliseconds) {
  auto &Kinds = Configuration_.Services.front().Kinds;
  auto [Position, IsNew] = KindByRoute_.emplace(Route, static_cast<KindIndex>(Kinds.size()));
  if (IsNew) {
    Kinds.push_back({Route, core::fromMilliseconds(DeclaredMilliseconds), {}, false});
    Estimator_.configure(Configuration_);
    Recent_.resize(Kinds.size());
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
  double Typical = std::max(MinimumMilliseconds, Milliseconds * Speed);
  Estimator_.learn(Service, Kind, declarationOf(Step), std::log(Typical), Now);
}

void JobKindRunTimes::jobCame(KindIndex Kind) {
  auto &Recent = Recent_[static_cast<std::size_t>(Kind)];
  if (Recent.Jobs >= RecentJobs) {
    Recent.Jobs /= 2;
    Recent.Overlong /= 2;
  }
  Recent.Jobs += 1;
}

void JobKindRunTimes::jobIsOverlong(KindIndex Kind) {
  Recent_[static_cast<std::size_t>(Kind)].Overlong += 1;
}

double JobKindRunTimes::overlongShare(KindIndex Kind) const {
  const auto &Recent = Recent_[static_cast<std::size_t>(Kind)];
  return std::min(1.0,
                  (Recent.Overlong + PriorOverlongShare * PriorJobs) / (Recent.Jobs + PriorJobs));
}

} // namespace cornellift::kernel
