#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace cornellift::kernel {

/// An entry process that may become a hub of its data centre.
struct HubCandidate {
  std::string Vm;
  std::string DataCentre;
  std::uint32_t Weight = 1; ///< Relative processing power.
  bool IsFailing = false;   ///< Attempts to reach it have failed for some time.
  bool IsLinked = false;    ///< Its heartbeats arrive.
};

/// Hubs of a data centre that are to be reachable at the same time.
constexpr std::size_t HubsPerDataCentre = 4;

/// Chooses the hubs: the entry processes that keep links to all others, while the rest keeps links
/// to hubs only. A link from each process to each other one takes most of the processor at 300 VMs.
///
/// Hubs are the first of each data centre in the order in which its manager is elected, so that the
/// manager and its likely successors are linked to everyone. A failing one is kept in the choice,
/// to be reached again, and the next in order takes its place beside it.
std::set<std::string> chooseHubs(std::span<const HubCandidate> Candidates);

/// Data centres that another process is to manage although there is no link to it yet: it comes
/// before Self in the election and is not failing. Of linked ones the election itself knows whether
/// they are ready or stopping.
std::set<std::string> dataCentresOfBetterCandidates(std::span<const HubCandidate> Candidates,
                                                    const HubCandidate &Self);

} // namespace cornellift::kernel
