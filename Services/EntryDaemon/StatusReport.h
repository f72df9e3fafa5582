#pragma once

#include "Services/EntryDaemon/PeerNetwork.h"

#include <span>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::entry {

/// Lists the members, with the configuration version that each has in force, and the data centres
/// that are cut off from this one because none of their members can be reached.
nlohmann::json statusReport(std::string_view OwnDataCentre, std::span<const MemberStatus> Members);

} // namespace cornellift::entry
