#pragma once

#include "Kernel/Job.h"
#include "Libraries/LibCore/Time.h"

namespace cornellift::kernel {

/// Mean over the workers in use.
struct TypicalWorker {
  Resources Capacity;
  double Slots = 1;

  /// Share of the worker that a task holds: that of the resource of which it needs most (dominant
  /// resource fairness). The run time alone says nothing of how many tasks a worker takes.
  double shareOf(const Resources &Need) const;
};

/// The rate at which room for waiting work becomes free, in milliseconds of a typical worker per
/// millisecond. Answers hand-overs and the loss of a manager: workers that are about to be held
/// have room that no rate of the past contains.
struct RoomForecast {
  double Rate = 0;            ///< Now.
  double Coming = 0;          ///< Of workers that are about to be held, in addition.
  core::Duration ComingIn{0}; ///< When these are held, in the mean.
  double Inflow = 0;          ///< Work that arrives per millisecond.

  bool isKnown() const { return Rate > 0 || Coming > 0; }
  /// Time until so much work has been placed, in milliseconds; the room must be known.
  double millisecondsFor(double Work) const;
  /// The same for work that has to wait for all that arrives meanwhile and can be in time.
  double millisecondsForLate(double Work) const;
};

} // namespace cornellift::kernel
