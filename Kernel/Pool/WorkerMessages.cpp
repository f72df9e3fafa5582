#include "Kernel/Pool/WorkerMessages.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Entries are read within one interval of the watch after they were written.
constexpr core::Duration ReportDelay = std::chrono::milliseconds(700);

} // namespace

bool WorkerEntry::hasLabel(std::string_view Label) const {
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

bool WorkerEntry::operator==(const WorkerEntry &Other) const {
  return Id == Other.Id && Address == Other.Address && DataCentre == Other.DataCentre &&
         Service == Other.Service && State == Other.State &&
         Capacity.Processors == Other.Capacity.Processors &&
         Capacity.MemoryMegabytes == Other.Capacity.MemoryMegabytes &&
         Capacity.Accelerators == Other.Capacity.Accelerators && Slots == Other.Slots &&
         Labels == Other.Labels && StartedMilliseconds == Other.StartedMilliseconds &&
         ColdUntil == Other.ColdUntil && StaysUntil == Other.StaysUntil;
}

void WorkerEntry::keepSteadyDeadlines(const WorkerEntry &Former) {
  if (Former.Id != Id || Former.StartedMilliseconds != StartedMilliseconds)
    return;
  auto Keep = [](std::optional<core::TimePoint> &Deadline,
                 const std::optional<core::TimePoint> &Earlier) {
    bool IsSteady = Deadline && Earlier && *Deadline - *Earlier < ReportDelay &&
                    *Earlier - *Deadline < ReportDelay;
    if (IsSteady)
      Deadline = Earlier;
  };
  Keep(ColdUntil, Former.ColdUntil);
  Keep(StaysUntil, Former.StaysUntil);
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
