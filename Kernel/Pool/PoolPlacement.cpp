#include "Kernel/Pool/PoolPlacement.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Expected ends that differ by less than this share of the run time count as equal.
constexpr double EqualEndTolerance = 0.05;
constexpr double RoundingSlack = 1e-6;
/// A task that is expected to end slightly too late is started all the same, because its run time
/// may well be as low as this share of the estimate.
constexpr double OptimisticShare = 0.75;
/// A task takes a slow worker in place of a fast one only if it may take this much longer than
/// expected.
constexpr double SlowWorkerMargin = 1.3;
/// Workers that are slower than this share of the fastest one's speed are probably faulty.
constexpr double SoundSpeedShare = 0.4;

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
                                    Request.ObjectiveMilliseconds),
      LeastSpeed_(FastestSpeed * SoundSpeedShare) {}

bool PlacementChooser::isBetter(const Rank &Left, const Rank &Right) const {
  if (Left.HasMargin != Right.HasMargin)
    return Left.HasMargin;
  if (Left.HasMargin && std::abs(Left.Work - Right.Work) > EqualEndTolerance * Right.Work)
    return Left.Work < Right.Work;
  if (Left.HasMargin && std::abs(Left.Speed - Right.Speed) > EqualEndTolerance * Right.Speed)
    return Left.Speed < Right.Speed;
  double Margin = EqualEndTolerance * Request_.TypicalRunTime;
  bool IsTidier = Left.IsRackWanted == Right.IsRackWanted ? Left.Remaining < Right.Remaining
                                                          : !Left.IsRackWanted;
  return Left.End < Right.End - Margin || (Left.End < Right.End + Margin && IsTidier);
}

bool PlacementChooser::consider(const PlacementCandidate &Candidate) {
  double End = expectedMilliseconds(Request_, Candidate);
  if (MayBeLate_ ? End * OptimisticShare > Request_.UsefulMilliseconds
                 : End > Request_.ObjectiveMilliseconds) {
    HasTooSlow_ = HasTooSlow_ || Candidate.Availability.Speed >= LeastSpeed_;
    return false;
  }
  Rank Found;
  Found.HasMargin = Request_.SparesFastWorkers && Candidate.Availability.Speed >= LeastSpeed_ &&
                    End * SlowWorkerMargin <= Request_.ObjectiveMilliseconds;
  Found.Speed = Candidate.Availability.Speed;
  Found.Work = (End - Candidate.ExtraMilliseconds) * Found.Speed;
  Found.End = End;
  Found.IsRackWanted = Candidate.IsRackWanted;
  Found.Remaining = Candidate.Availability.Free.Processors - Request_.Step->Need.Processors;
  if (HasBest_ && !isBetter(Found, Best_))
    return false;
  HasBest_ = true;
  Best_ = Found;
  return true;
}

} // namespace cornellift::kernel
