#include "Kernel/Pool/Evacuations.h"

#include <utility>

namespace cornellift::kernel {

std::vector<EvacuationChange> Evacuations::learn(const EvacuationState &Told, core::TimePoint Now) {
  if (Told.Revision == 0 || Told.Revision < State_.Revision)
    return {};
  auto Wanted = Told.DataCentres;
  // One revision has one state; processes whose settings differ know some of its data centres.
  if (Told.Revision == State_.Revision)
    Wanted.insert(State_.DataCentres.begin(), State_.DataCentres.end());
  else
    LearnedAt_ = Now;
  std::vector<EvacuationChange> Changes;
  for (const auto &Name : Wanted)
    if (!State_.DataCentres.contains(Name))
      Changes.push_back({Name, true});
  for (const auto &Name : State_.DataCentres)
    if (!Wanted.contains(Name))
      Changes.push_back({Name, false});
  State_ = {Told.Revision, std::move(Wanted)};
  return Changes;
}

bool Evacuations::isEvacuated(std::string_view DataCentre) const {
  return State_.DataCentres.contains(std::string(DataCentre));
}

} // namespace cornellift::kernel
