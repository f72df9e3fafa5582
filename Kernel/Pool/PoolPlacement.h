#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/WorkerMessages.h"

#include <optional>

namespace cornellift::kernel {

/// What a placement has to satisfy. Times are in milliseconds from now.
struct PoolPlacementRequest {
  const JobStep *Step = nullptr;
  const RoutePolicy *Policy = nullptr;
  double TypicalRunTime = 0;        ///< On a typical worker near the data.
  double ObjectiveMilliseconds = 0; ///< An end within this time meets the objective.
  double UsefulMilliseconds = 0;    ///< An end after this time is of no use.
  double RemoteFactor = 1;          ///< Run time away from the data, relative to near it.
};

/// A worker that could take the task.
struct PlacementCandidate {
  const WorkerEntry *Entry = nullptr;
  WorkerAvailability Availability;
  double ExtraMilliseconds = 0; ///< Until the start, beyond that of a worker of this manager.
};

/// Expected run time of the task at the offered place, with the way there.
double expectedMilliseconds(const PoolPlacementRequest &Request,
                            const PlacementCandidate &Candidate);

/// Whether the worker may run the task at all, room included.
bool isEligible(const PoolPlacementRequest &Request, const PlacementCandidate &Candidate);

/// Compares the offers for one task and keeps the best one.
///
/// The earliest expected end wins; between ends that are nearly equal, the place with the least
/// room left over, so that large tasks find room elsewhere. A place where the task would miss its
/// objective is taken only when no place anywhere could still meet it.
class PlacementChooser {
public:
  PlacementChooser(const PoolPlacementRequest &Request, double FastestSpeed);

  /// Returns whether the offer is the best one so far.
  bool consider(const PlacementCandidate &Candidate);

private:
  const PoolPlacementRequest &Request_;
  bool MayBeLate_;
  bool HasBest_ = false;
  double BestEnd_ = 0;
  double BestRest_ = 0;
};

} // namespace cornellift::kernel
