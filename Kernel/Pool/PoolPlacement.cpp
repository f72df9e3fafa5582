#include "Kernel/Pool/PoolPlacement.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Expected ends that differ by less than this share of the run time count as equal.
constexpr double EqualShare = 0.05;
constexpr double RoundingSlack = 1e-6;
/// A task that is expected to end slightly too late is started all the same, because its run time
/// may well be as low as this share of the estimate.
constexpr double HopefulShare = 0.75;

bool hasLabel(const WorkerEntry &Entry, const std::string &Label) {
  return std::find(Entry.Labels.begin(), Entry.Labels.end(), Label) != Entry.Labels.end();
}

} // namespace

double expectedMilliseconds(const PoolQuestion &Question, const PlaceOffer &Offer) {
  bool IsNear = Question.Step->DataRack.empty() || hasLabel(*Offer.Entry, Question.Step->DataRack);
  return Question.TypicalRunTime * (IsNear ? 1 : Question.RemoteFactor) / Offer.Room.Speed +
         Offer.ExtraMilliseconds;
}

bool isEligible(const PoolQuestion &Question, const PlaceOffer &Offer) {
  const auto &Need = Question.Step->Need;
  const auto &Room = Offer.Room;
  if (Room.Speed <= 0 || Room.FreeSlots == 0 || Offer.Entry->Service != Question.Terms->Service)
    return false;
  if (Need.Processors > Room.Free.Processors + RoundingSlack ||
      Need.MemoryMegabytes > Room.Free.MemoryMegabytes + RoundingSlack ||
      Need.Accelerators > Room.Free.Accelerators + RoundingSlack)
    return false;
  const auto &Label = Question.Step->RequiredLabel;
  return Label.empty() || hasLabel(*Offer.Entry, Label);
}

PlaceChooser::PlaceChooser(const PoolQuestion &Question, double FastestSpeed)
    : Question_(Question),
      MayBeLate_(Question.TypicalRunTime / std::max(FastestSpeed, RoundingSlack) >
                 Question.InTime) {}

bool PlaceChooser::consider(const PlaceOffer &Offer) {
  double End = expectedMilliseconds(Question_, Offer);
  if (MayBeLate_ ? End * HopefulShare > Question_.Useful : End > Question_.InTime)
    return false;
  double Rest = Offer.Room.Free.Processors - Question_.Step->Need.Processors;
  double Margin = EqualShare * Question_.TypicalRunTime;
  bool IsBetter =
      !HasBest_ || End < BestEnd_ - Margin || (End < BestEnd_ + Margin && Rest < BestRest_);
  if (!IsBetter)
    return false;
  HasBest_ = true;
  BestEnd_ = End;
  BestRest_ = Rest;
  return true;
}

} // namespace cornellift::kernel
