#include "Kernel/Pool/WorkerMessages.h"

namespace cornellift::kernel {

bool WorkerEntry::operator==(const WorkerEntry &Other) const {
  return Id == Other.Id && Address == Other.Address && DataCentre == Other.DataCentre &&
         Service == Other.Service && Standing == Other.Standing &&
         Capacity.Processors == Other.Capacity.Processors &&
         Capacity.MemoryMegabytes == Other.Capacity.MemoryMegabytes &&
         Capacity.Accelerators == Other.Capacity.Accelerators && Slots == Other.Slots &&
         Labels == Other.Labels && BornMilliseconds == Other.BornMilliseconds;
}

std::string_view verdictName(OrderVerdict Verdict) {
  switch (Verdict) {
  case OrderVerdict::Accepted:
    return "accepted";
  case OrderVerdict::Fenced:
    return "fenced";
  case OrderVerdict::Outdated:
    return "outdated";
  case OrderVerdict::TooLate:
    return "too_late";
  case OrderVerdict::NoRoom:
    return "no_room";
  case OrderVerdict::Unhealthy:
    return "unhealthy";
  case OrderVerdict::Stranger:
    return "stranger";
  case OrderVerdict::Invalid:
    return "invalid";
  case OrderVerdict::NoReply:
    return "no_reply";
  case OrderVerdict::NotSent:
    return "not_sent";
  }
  return "unknown";
}

} // namespace cornellift::kernel
