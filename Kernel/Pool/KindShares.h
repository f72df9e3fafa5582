#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornellift::kernel {

/// Weighted share of recent jobs of which something is true. Older jobs count exponentially less.
class RecentShare {
public:
  void add(bool IsHit, double Weight, core::TimePoint Now);
  /// One while nothing is known.
  double value() const { return Weight_ > 0 ? Hits_ / Weight_ : 1; }
  /// Number of jobs, or their work, of which older ones count less.
  double weight(core::TimePoint Now) const;

private:
  /// Share of the weight that remains from the last change.
  double keptAt(core::TimePoint Now) const;

  double Hits_ = 0;
  double Weight_ = 0;
  core::TimePoint At_; ///< Of the last change.
};

/// Work that arrives per millisecond, as far as it lasts: the lower rate of the last two windows,
/// so that a short burst does not count.
class LastingRate {
public:
  void add(double Work, core::TimePoint Now);
  /// Ends the current window if its time is over; to be called often.
  void observe(core::TimePoint Now);
  double value() const;

private:
  core::TimePoint Since_;
  double Current_ = 0;
  double Last_ = 0;
  double Before_ = 0; ///< In the window before the last one.
};

/// Which jobs give way when not all can be in time; lower values give way later.
enum class Standing : std::uint32_t {
  BelowFloor, ///< Of a kind or size that gets less than its floor.
  /// Two values for each priority: the second is of kinds that were in time more often than the
  /// others of that priority.
  ByPriority
};

constexpr Standing worseThan(Standing Of) {
  return static_cast<Standing>(static_cast<std::uint32_t>(Of) + 1);
}

/// Which kinds and sizes of jobs were placed in time recently. Answers overload of several kinds:
/// short jobs always have the earlier latest start, and wide ones the most to place, so that only
/// long and wide jobs would be refused.
///
/// Two floors keep priorities and sizes from starving anyone: a kind is to be in time at least two
/// thirds as often as the work of all kinds, and the tenth of a kind's jobs with the most work as
/// often as the kind.
class KindShares {
public:
  /// Records a new job and returns whether it is among the tenth of its kind with the most work.
  bool offered(KindIndex Kind, std::uint32_t Priority, double Work);
  /// Records whether a job was placed in time; once for each job.
  void settled(KindIndex Kind, bool IsWide, double Work, bool IsInTime, core::TimePoint Now);

  /// Share of the kind's jobs that were in time.
  double shareOf(KindIndex Kind) const;
  /// Share of all work that was in time.
  double shareOfWork() const { return Work_.value(); }
  /// The standing of a job that arrives now.
  Standing standingOf(KindIndex Kind, bool IsWide) const;

private:
  /// Whether such jobs get less than their floor.
  bool isBelowFloor(KindIndex Kind, bool IsWide) const;
  /// Whether the kind is served more than the kinds of the same priority in the mean.
  bool isAhead(KindIndex Kind) const;

  struct KindState {
    std::uint32_t Priority = 0;
    double WideWork = 0; ///< Nine tenths of the jobs have less work.
    RecentShare All;
    RecentShare Wide;
  };

  const KindState *find(KindIndex Kind) const;

  std::vector<KindState> Kinds_;
  RecentShare Work_;
  core::TimePoint LastAt_; ///< When the last job was recorded.
};

} // namespace cornellift::kernel
