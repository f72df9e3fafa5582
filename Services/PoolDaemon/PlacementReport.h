#pragma once

#include "Kernel/Pool/PlacementExplanation.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cornellift::pool {

/// What an explanation is about, as the process that gives it knows it.
struct PlacementReportContext {
  std::string_view Manager; ///< Name of this process's VM, whose manager decides.
  std::string_view Route;
  std::string_view Service;
  std::uint64_t Configuration = 0; ///< Version.
  std::function<std::string(kernel::PeerIndex)> VmOf;
};

/// Renders the explanation as a JSON object, with what the manager cannot know.
std::string renderPlacement(const PlacementReportContext &Context,
                            const kernel::PlacementExplanation &Explained);

/// Renders a failure as a JSON object. Manager is the VM to ask instead; empty if there is none.
std::string renderPlacementFailure(std::string_view Message, std::string_view Manager);

} // namespace cornellift::pool
