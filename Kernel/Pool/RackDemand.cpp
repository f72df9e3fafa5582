#include "Kernel/Pool/RackDemand.h"

#include <algorithm>
#include <chrono>

namespace cornellift::kernel {
namespace {

/// A run that starts on a rack is in the way of the tasks that want it for about this long.
constexpr core::Duration DemandMemory = std::chrono::seconds(1);

} // namespace

void RackDemand::want(const std::string &Rack, core::TimePoint Now) {
  WantedUntil_[Rack] = Now + DemandMemory;
}

bool RackDemand::isWanted(const WorkerEntry &Entry, core::TimePoint Now) const {
  return std::any_of(Entry.Labels.begin(), Entry.Labels.end(), [&](const std::string &Label) {
    auto Wanted = WantedUntil_.find(Label);
    return Wanted != WantedUntil_.end() && Now < Wanted->second;
  });
}

void RackDemand::forgetExpired(core::TimePoint Now) {
  std::erase_if(WantedUntil_, [Now](const auto &Entry) { return Now >= Entry.second; });
}

} // namespace cornellift::kernel
