#include "Kernel/Pool/ClaimSchedule.h"

namespace cornellift::kernel {
namespace {

/// Key of the releases of workers that are not listed yet.
const std::string UnknownDataCentre;

} // namespace

void ClaimSchedule::begin(const std::string &DataCentre, core::TimePoint ClaimAt) {
  ClaimAt_[DataCentre] = ClaimAt;
}

void ClaimSchedule::claimRemaining(const std::string &DataCentre, core::TimePoint ClaimAt) {
  ClaimAt_[DataCentre] = ClaimAt;
}

void ClaimSchedule::released(const std::string &DataCentre, std::string_view Worker) {
  Released_[DataCentre].emplace(Worker);
}

void ClaimSchedule::end(const std::string &DataCentre) {
  ClaimAt_.erase(DataCentre);
  Released_.erase(DataCentre);
  // One of these may be a worker of the data centre. Its next claim then waits for the release of
  // the others, which is safe.
  Released_.erase(UnknownDataCentre);
}

std::optional<core::TimePoint> ClaimSchedule::claimAt(const std::string &DataCentre,
                                                      std::string_view Worker) const {
  auto Found = ClaimAt_.find(DataCentre);
  if (Found == ClaimAt_.end() || isReleased(DataCentre, Worker))
    return std::nullopt;
  return Found->second;
}

bool ClaimSchedule::isReleased(const std::string &DataCentre, std::string_view Worker) const {
  for (const auto &Key : {DataCentre, UnknownDataCentre}) {
    auto Found = Released_.find(Key);
    if (Found != Released_.end() && Found->second.contains(Worker))
      return true;
  }
  return false;
}

} // namespace cornellift::kernel
