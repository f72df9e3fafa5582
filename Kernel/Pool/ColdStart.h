#pragma once

#include "Libraries/LibCore/Time.h"

#include <optional>

namespace cornellift::kernel {

/// Learns how much slower workers are shortly after their start, from the runs that have ended on
/// cold ones, and expects run times by that.
///
/// Answers a load whose workers, up to a whole data centre of them, have just started: their tasks
/// are expected to take longer, and do not make the workers' learned speeds wrong for later. Times
/// are in milliseconds.
class ColdStart {
public:
  /// Ratio of the run time on a cold worker to that on the same worker once it is warm.
  double slowdown() const;

  /// Time for which the worker is still cold; zero if it is warm.
  static double coldMilliseconds(std::optional<core::TimePoint> ColdUntil, core::TimePoint Now);

  /// Expected run time on a worker that is cold for ColdMilliseconds more, of a task that takes
  /// Warm on the warm worker.
  double expectedMilliseconds(double Warm, double ColdMilliseconds) const;

  /// Time in which the warm worker does what was done in the given time, for the given part of it
  /// on the cold worker.
  double warmMilliseconds(double Taken, double ColdMilliseconds) const;

  /// Learns from a run that took Taken, on a worker that was cold for ColdMilliseconds after its
  /// start. Warm is its expected time on the warm worker. Runs that were mostly warm are ignored.
  void learn(double Warm, double Taken, double ColdMilliseconds);

private:
  double Weight_ = 0;
  double Sum_ = 0; ///< Of the logarithms of observed slowdowns.
};

} // namespace cornellift::kernel
