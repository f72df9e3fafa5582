#include "Services/EntryDaemon/StatusReport.h"

#include <map>

namespace cornellift::entry {
namespace {

using nlohmann::json;

std::string_view toString(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Stopping:
    return "stopping";
  case MemberState::Dead:
    return "dead";
  case MemberState::Unreachable:
    return "unreachable";
  }
  return "unreachable";
}

bool canBeReached(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Stopping;
}

} // namespace

json statusReport(std::string_view OwnDataCentre, std::span<const MemberStatus> Members) {
  json List = json::array();
  std::map<std::string, bool, std::less<>> Reached;
  for (const auto &Member : Members) {
    List.push_back({{"entry_vm", Member.EntryVm},
                    {"data_centre", Member.DataCentre},
                    {"state", toString(Member.State)},
                    {"version", Member.ConfigurationVersion}});
    bool &ReachedThere = Reached[Member.DataCentre];
    ReachedThere = ReachedThere || canBeReached(Member.State);
  }
  json CutOff = json::array();
  for (const auto &[DataCentre, IsReached] : Reached)
    if (!IsReached && DataCentre != OwnDataCentre)
      CutOff.push_back(DataCentre);
  return {{"members", std::move(List)}, {"cut_off_data_centres", std::move(CutOff)}};
}

} // namespace cornellift::entry
