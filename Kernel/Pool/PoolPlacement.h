#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/ColdStart.h"
#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/WorkerMessages.h"

#include <optional>

namespace cornellift::kernel {

/// Requirements of one task's placement. Times are in milliseconds from now.
struct PoolPlacementRequest {
  const JobStep *Step = nullptr;
  const RoutePolicy *Policy = nullptr;
  double TypicalRunTime = 0;        ///< On a typical worker near the data.
  double ObjectiveMilliseconds = 0; ///< Time left to meet the objective.
  double UsefulMilliseconds = 0;    ///< Time after which the result is of no use.
  core::TimePoint Now;
  const ColdStart *Cold = nullptr; ///< Slowdown of cold workers; all count as warm if null.
  double RemoteFactor = 1;         ///< Ratio of the run time away from the data to that near it.
};

/// A worker that is considered for the task.
struct PlacementCandidate {
  const WorkerEntry *Entry = nullptr;
  WorkerAvailability Availability;
  double ExtraMilliseconds = 0; ///< Start delay beyond that of this manager's own workers.
  /// Other tasks want the worker's rack, which has their data.
  bool IsRackWanted = false;
};

/// Expected time until the task ends on that worker, including the start delay.
double expectedMilliseconds(const PoolPlacementRequest &Request,
                            const PlacementCandidate &Candidate);

/// Returns whether the worker meets the task's requirements and has enough free capacity now.
bool isEligible(const PoolPlacementRequest &Request, const PlacementCandidate &Candidate);

/// Selects the best worker for one task.
///
/// The earliest expected end wins. Among nearly equal ends, a worker whose rack is not wanted by
/// other tasks wins, then the one with the least free capacity left over (best fit), which keeps
/// large gaps for large tasks. Workers on which the task would miss its objective are considered
/// only if not even the fastest worker could meet it.
class PlacementChooser {
public:
  PlacementChooser(const PoolPlacementRequest &Request, double FastestSpeed);

  /// Returns whether this is the best candidate so far.
  bool consider(const PlacementCandidate &Candidate);

  /// Expected time until the task ends on the best candidate, in milliseconds; zero without one.
  double bestEnd() const { return BestEnd_; }

private:
  const PoolPlacementRequest &Request_;
  bool MayBeLate_;
  bool HasBest_ = false;
  double BestEnd_ = 0;
  bool IsBestRackWanted_ = false;
  double BestRemaining_ = 0;
};

} // namespace cornellift::kernel
