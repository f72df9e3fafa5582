#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/JobOrder.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/WorkerMessages.h"

#include <optional>

namespace cornellift::kernel {

/// Requirements of one task's placement. Times are in milliseconds from now.
struct PoolQuestion {
  const JobStep *Step = nullptr;
  const RouteTerms *Terms = nullptr;
  double TypicalRunTime = 0; ///< On a typical worker near the data.
  double InTime = 0;         ///< Time left to meet the objective.
  double Useful = 0;         ///< Time after which the result is of no use.
  double RemoteFactor = 1;   ///< Ratio of the run time away from the data to that near it.
};

/// A worker that is considered for the task.
struct PlaceOffer {
  const WorkerEntry *Entry = nullptr;
  WorkerRoom Room;
  double ExtraMilliseconds = 0; ///< Start delay beyond that of this manager's own workers.
};

/// Expected time until the task ends on that worker, including the start delay.
double expectedMilliseconds(const PoolQuestion &Question, const PlaceOffer &Offer);

/// Whether the worker meets the task's requirements and has enough free capacity now.
bool isEligible(const PoolQuestion &Question, const PlaceOffer &Offer);

/// Selects the best worker for one task.
///
/// The earliest expected end wins. Among nearly equal ends, the worker with the least free capacity
/// left over wins (best fit), which keeps large gaps for large tasks. Workers on which the task
/// would miss its objective are considered only if not even the fastest worker could meet it.
class PlaceChooser {
public:
  PlaceChooser(const PoolQuestion &Question, double FastestSpeed);

  /// Returns whether this is the best candidate so far.
  bool consider(const PlaceOffer &Offer);

private:
  const PoolQuestion &Question_;
  bool MayBeLate_;
  bool HasBest_ = false;
  double BestEnd_ = 0;
  double BestRest_ = 0;
};

} // namespace cornellift::kernel
