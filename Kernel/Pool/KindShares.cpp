#include "Kernel/Pool/KindShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornellift::kernel {
namespace {

/// How long a job counts; long enough for some jobs of rare kinds.
constexpr core::Duration Memory = std::chrono::seconds(5);
/// Fewer jobs say nothing about their kind.
constexpr double LeastJobs = 3;
constexpr core::Duration RateWindow = std::chrono::milliseconds(400);
/// Higher numbers count as this one, as standings are numbered by priority.
constexpr std::uint32_t LowestPriority = 1000;
/// Least share in time of a kind, relative to all work, and of its wide jobs, relative to the kind.
constexpr double KindFloor = 2.0 / 3;
/// Share of a kind's jobs that are not wide.
constexpr double WideQuantile = 0.9;
/// Largest change of the estimated quantile at one job, as a share of it.
constexpr double QuantileStep = 0.1;
/// Kinds whose shares differ by less are served equally.
constexpr double EqualShare = 0.02;

} // namespace

double RecentShare::keptAt(core::TimePoint Now) const {
  return std::exp(-core::toMilliseconds(Now - At_) / core::toMilliseconds(Memory));
}

double RecentShare::weight(core::TimePoint Now) const { return Weight_ * keptAt(Now); }

void RecentShare::add(bool IsHit, double Weight, core::TimePoint Now) {
  double Kept = keptAt(Now);
  At_ = Now;
  Weight_ = Weight_ * Kept + Weight;
  Hits_ = Hits_ * Kept + (IsHit ? Weight : 0);
}

void LastingRate::observe(core::TimePoint Now) {
  if (Now - Since_ >= 3 * RateWindow) {
    Since_ = Now;
    Current_ = Last_ = Before_ = 0;
  }
  while (Now - Since_ >= RateWindow) {
    Since_ += RateWindow;
    Before_ = std::exchange(Last_, std::exchange(Current_, 0));
  }
}

void LastingRate::add(double Work, core::TimePoint Now) {
  observe(Now);
  Current_ += Work;
}

double LastingRate::value() const {
  return std::min(Last_, Before_) / core::toMilliseconds(RateWindow);
}

const KindShares::KindState *KindShares::find(KindIndex Kind) const {
  auto Position = static_cast<std::size_t>(Kind);
  return Position < Kinds_.size() ? &Kinds_[Position] : nullptr;
}

bool KindShares::offered(KindIndex Kind, std::uint32_t Priority, double Work) {
  auto Position = static_cast<std::size_t>(Kind);
  if (Position >= Kinds_.size())
    Kinds_.resize(Position + 1);
  auto &Known = Kinds_[Position];
  Known.Priority = Priority;
  if (Known.WideWork <= 0)
    Known.WideWork = Work;
  bool IsWide = Work > Known.WideWork;
  Known.WideWork *= 1 + QuantileStep * (IsWide ? WideQuantile : WideQuantile - 1);
  return IsWide;
}

void KindShares::settled(KindIndex Kind, bool IsWide, double Work, bool IsInTime,
                         core::TimePoint Now) {
  auto Position = static_cast<std::size_t>(Kind);
  if (Position >= Kinds_.size())
    return;
  LastAt_ = Now;
  Work_.add(IsInTime, Work, Now);
  Kinds_[Position].All.add(IsInTime, 1, Now);
  if (IsWide)
    Kinds_[Position].Wide.add(IsInTime, 1, Now);
}

double KindShares::shareOf(KindIndex Kind) const {
  const auto *Known = find(Kind);
  return Known ? Known->All.value() : 1;
}

Standing KindShares::standingOf(KindIndex Kind, bool IsWide) const {
  if (isBelowFloor(Kind, IsWide))
    return Standing::BelowFloor;
  const auto *Known = find(Kind);
  auto Priority = std::min(Known ? Known->Priority : 0, LowestPriority);
  return static_cast<Standing>(static_cast<std::uint32_t>(Standing::ByPriority) + 2 * Priority +
                               (isAhead(Kind) ? 1 : 0));
}

bool KindShares::isBelowFloor(KindIndex Kind, bool IsWide) const {
  const auto *Known = find(Kind);
  if (!Known)
    return false;
  if (Known->All.weight(LastAt_) >= LeastJobs && Known->All.value() < KindFloor * Work_.value())
    return true;
  return IsWide && Known->Wide.value() < Known->All.value();
}

bool KindShares::isAhead(KindIndex Kind) const {
  const auto *Known = find(Kind);
  if (!Known)
    return false;
  double Sum = 0;
  double Count = 0;
  for (const auto &Other : Kinds_)
    if (Other.Priority == Known->Priority && Other.All.weight(LastAt_) >= LeastJobs) {
      Sum += Other.All.value();
      Count += 1;
    }
  return Count > 0 && Known->All.value() > Sum / Count + EqualShare;
}

} // namespace cornellift::kernel
