#include "Kernel/Pool/PlacementExplanation.h"

namespace cornellift::kernel {

std::string_view exclusionName(Exclusion Why) {
  switch (Why) {
  case Exclusion::OtherService:
    return "other_service";
  case Exclusion::MissingLabel:
    return "missing_label";
  case Exclusion::TooSmall:
    return "too_small";
  case Exclusion::Evacuated:
    return "evacuated";
  case Exclusion::Notice:
    return "notice";
  case Exclusion::Draining:
    return "draining";
  case Exclusion::NotHeld:
    return "not_held";
  case Exclusion::Silent:
    return "silent";
  case Exclusion::Unsettled:
    return "unsettled";
  case Exclusion::Unhealthy:
    return "unhealthy";
  case Exclusion::NotAccepting:
    return "not_accepting";
  case Exclusion::PeerRefused:
    return "peer_refused";
  case Exclusion::Full:
    return "full";
  case Exclusion::TaskBound:
    return "task_bound";
  case Exclusion::Late:
    return "late";
  }
  return "unknown";
}

std::string_view outlookName(TaskOutlook Outlook) {
  switch (Outlook) {
  case TaskOutlook::Starts:
    return "starts";
  case TaskOutlook::Delegated:
    return "delegated";
  case TaskOutlook::WaitsForData:
    return "waits_for_data";
  case TaskOutlook::WaitsForRoom:
    return "waits_for_room";
  case TaskOutlook::WaitsForSteps:
    return "waits_for_steps";
  }
  return "unknown";
}

std::string_view admissionName(AdmissionOutlook Outlook) {
  switch (Outlook) {
  case AdmissionOutlook::Admitted:
    return "admitted";
  case AdmissionOutlook::NoMemory:
    return "no_memory";
  case AdmissionOutlook::Evacuated:
    return "evacuated";
  case AdmissionOutlook::NoTimeAtArrival:
    return "no_time_at_arrival";
  case AdmissionOutlook::NoTimeInQueue:
    return "no_time_in_queue";
  }
  return "unknown";
}

} // namespace cornellift::kernel
