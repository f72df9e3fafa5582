#include "Kernel/Pool/WorkerMessages.h"

#include <algorithm>

namespace cornellift::kernel {

bool WorkerEntry::hasLabel(std::string_view Label) const {
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

bool WorkerEntry::operator==(const WorkerEntry &Other) const {
  return Id == Other.Id && Address == Other.Address && DataCentre == Other.DataCentre &&
         Service == Other.Service && State == Other.State &&
         Capacity.Processors == Other.Capacity.Processors &&
         Capacity.MemoryMegabytes == Other.Capacity.MemoryMegabytes &&
         Capacity.Accelerators == Other.Capacity.Accelerators && Slots == Other.Slots &&
         Labels == Other.Labels && StartedMilliseconds == Other.StartedMilliseconds;
}

std::string_view verdictName(CommandVerdict Verdict) {
  switch (Verdict) {
  case CommandVerdict::Accepted:
    return "accepted";
  case CommandVerdict::Fenced:
    return "fenced";
  case CommandVerdict::Outdated:
    return "outdated";
  case CommandVerdict::TooLate:
    return "too_late";
  case CommandVerdict::NoCapacity:
    return "no_room";
  case CommandVerdict::Unhealthy:
    return "unhealthy";
  case CommandVerdict::Misdirected:
    return "stranger";
  case CommandVerdict::Invalid:
    return "invalid";
  case CommandVerdict::NoReply:
    return "no_reply";
  case CommandVerdict::NotSent:
    return "not_sent";
  }
  return "unknown";
}

} // namespace cornellift::kernel
