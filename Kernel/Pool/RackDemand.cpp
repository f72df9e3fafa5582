#include "Kernel/Pool/RackDemand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Time after which a demand no longer counts, and over which the load is averaged: a run that
/// starts on a rack keeps its place from other tasks for about this long.
constexpr core::Duration DemandMemory = std::chrono::seconds(1);

} // namespace

void RackDemand::want(const std::string &Rack, double TypicalMilliseconds, core::TimePoint Now) {
  double Recent = load(Rack, Now) * core::toMilliseconds(DemandMemory);
  Demands_[Rack] = {Now + DemandMemory, Recent + TypicalMilliseconds, Now};
}

double RackDemand::load(const std::string &Rack, core::TimePoint Now) const {
  auto Known = Demands_.find(Rack);
  if (Known == Demands_.end())
    return 0;
  double Memory = core::toMilliseconds(DemandMemory);
  double Age = core::toMilliseconds(Now - Known->second.At);
  return Known->second.Milliseconds * std::exp(-Age / Memory) / Memory;
}

bool RackDemand::isWanted(const WorkerEntry &Entry, core::TimePoint Now) const {
  return std::any_of(Entry.Labels.begin(), Entry.Labels.end(), [&](const std::string &Label) {
    auto Wanted = Demands_.find(Label);
    return Wanted != Demands_.end() && Now < Wanted->second.Until;
  });
}

void RackDemand::forgetExpired(core::TimePoint Now) {
  std::erase_if(Demands_, [Now](const auto &Entry) { return Now >= Entry.second.Until; });
}

} // namespace cornellift::kernel
