#include "Kernel/Pool/ClaimSchedule.h"

namespace cornellift::kernel {

void ClaimSchedule::begin(const BeginManaging &Begun) { Begun_[Begun.DataCentre] = Begun; }

void ClaimSchedule::claimRemaining(const std::string &DataCentre, core::TimePoint ClaimAt) {
  Begun_[DataCentre] = {DataCentre, ClaimAt, std::nullopt, {}};
}

void ClaimSchedule::released(PeerIndex Former, std::string_view Worker) {
  Released_[Former].emplace(Worker);
}

void ClaimSchedule::forgetReleases(PeerIndex Former) { Released_.erase(Former); }

void ClaimSchedule::end(const std::string &DataCentre) {
  auto Found = Begun_.find(DataCentre);
  if (Found == Begun_.end())
    return;
  // The former manager may also have released workers of another data centre. Their claim then
  // waits for the release of the others, which is safe.
  if (Found->second.ReleasedBy)
    Released_.erase(*Found->second.ReleasedBy);
  Begun_.erase(Found);
}

std::optional<core::TimePoint> ClaimSchedule::claimAt(const std::string &DataCentre,
                                                      std::string_view Worker) const {
  auto Found = Begun_.find(DataCentre);
  if (Found == Begun_.end())
    return std::nullopt;
  const auto &Begun = Found->second;
  return isReleased(Begun, Worker) ? Begun.ClaimReleasedAt : Begun.ClaimAt;
}

bool ClaimSchedule::isReleased(const BeginManaging &Begun, std::string_view Worker) const {
  if (!Begun.ReleasedBy)
    return false;
  auto Found = Released_.find(*Begun.ReleasedBy);
  return Found != Released_.end() && Found->second.contains(Worker);
}

} // namespace cornellift::kernel
