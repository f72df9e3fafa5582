#include "Kernel/Pool/PoolPlacement.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Expected ends that differ by less than this share of the run time count as equal.
constexpr double EqualEndTolerance = 0.05;
constexpr double RoundingSlack = 1e-6;
/// A task that is expected to end slightly too late is started all the same, because its run time
/// may well be as low as this share of the estimate.
constexpr double OptimisticShare = 0.75;

} // namespace

double expectedMilliseconds(const PoolPlacementRequest &Request,
                            const PlacementCandidate &Candidate) {
  bool IsNear = Request.Step->DataRack.empty() || Candidate.Entry->hasLabel(Request.Step->DataRack);
  double Warm =
      Request.TypicalRunTime * (IsNear ? 1 : Request.RemoteFactor) / Candidate.Availability.Speed;
  double ColdLeft = ColdStart::coldMilliseconds(Candidate.Entry->ColdUntil, Request.Now);
  bool IsCold = ColdLeft > 0 && Request.Cold;
  return (IsCold ? Request.Cold->expectedMilliseconds(Warm, ColdLeft) : Warm) +
         Candidate.ExtraMilliseconds;
}

bool isEligible(const PoolPlacementRequest &Request, const PlacementCandidate &Candidate) {
  const auto &Need = Request.Step->Need;
  const auto &Availability = Candidate.Availability;
  if (Availability.Speed <= 0 || Availability.FreeSlots == 0 ||
      Candidate.Entry->Service != Request.Policy->Service)
    return false;
  if (Need.Processors > Availability.Free.Processors + RoundingSlack ||
      Need.MemoryMegabytes > Availability.Free.MemoryMegabytes + RoundingSlack ||
      Need.Accelerators > Availability.Free.Accelerators + RoundingSlack)
    return false;
  const auto &Label = Request.Step->RequiredLabel;
  return Label.empty() || Candidate.Entry->hasLabel(Label);
}

PlacementChooser::PlacementChooser(const PoolPlacementRequest &Request, double FastestSpeed)
    : Request_(Request), MayBeLate_(Request.TypicalRunTime / std::max(FastestSpeed, RoundingSlack) >
                                    Request.ObjectiveMilliseconds) {}

bool PlacementChooser::consider(const PlacementCandidate &Candidate) {
  double End = expectedMilliseconds(Request_, Candidate);
  if (MayBeLate_ ? End * OptimisticShare > Request_.UsefulMilliseconds
                 : End > Request_.ObjectiveMilliseconds)
    return false;
  double Remaining = Candidate.Availability.Free.Processors - Request_.Step->Need.Processors;
  double Margin = EqualEndTolerance * Request_.TypicalRunTime;
  bool WinsTie = Candidate.IsRackWanted == IsBestRackWanted_ ? Remaining < BestRemaining_
                                                             : !Candidate.IsRackWanted;
  bool IsBetter = !HasBest_ || End < BestEnd_ - Margin || (End < BestEnd_ + Margin && WinsTie);
  if (!IsBetter)
    return false;
  HasBest_ = true;
  BestEnd_ = End;
  IsBestRackWanted_ = Candidate.IsRackWanted;
  BestRemaining_ = Remaining;
  return true;
}

} // namespace cornellift::kernel
