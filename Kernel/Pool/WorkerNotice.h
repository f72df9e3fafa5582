#pragma once

#include <optional>

namespace cornellift::kernel {

/// A run on a worker that is about to leave. Times are in milliseconds from now.
struct NoticedRun {
  double Remaining = 0;          ///< Until it is expected to end.
  double NoticeLeft = 0;         ///< Until the worker may leave, which ends the run.
  std::optional<double> Restart; ///< Until a new run is expected to end; empty if none fits now.
  double Objective = 0;          ///< Until the job's objective.
  double Useful = 0;             ///< Until the result is of no use.
};

/// Returns whether the run is to be stopped and started elsewhere now.
///
/// Answers a part of the workers that is taken away under load: a run that would be lost is moved
/// if its task then meets the objective, or is still of use, and would not if it began again only
/// when the worker has left. Otherwise it goes on, since the worker may stay longer than it must.
bool isMovedOnNotice(const NoticedRun &Run);

} // namespace cornellift::kernel
