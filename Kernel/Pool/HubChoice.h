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
  bool IsFailing = false;   ///< Connection attempts have failed for some time.
  bool IsLinked = false;    ///< There is a link and its heartbeats arrive.
};

/// Number of reachable hubs to keep in each data centre.
constexpr std::size_t HubsPerDataCentre = 4;

/// Chooses the hubs: entry processes that keep links to all others. All other processes keep links
/// to hubs only, because a full mesh uses most of the processor time at 300 VMs.
///
/// The hubs of a data centre are the best-ranked processes in the election of its manager, so that
/// the manager and its likely successors are linked to every process. A failing hub stays in the
/// set, so that it is retried, and the next process by rank is added to it.
std::set<std::string> chooseHubs(std::span<const HubCandidate> Candidates);

/// Data centres that Self must leave to a better-ranked process that is not linked yet but is not
/// failing either. Linked processes are not considered: the election knows from their heartbeats
/// whether they are ready or stopping.
std::set<std::string> dataCentresOfBetterCandidates(std::span<const HubCandidate> Candidates,
                                                    const HubCandidate &Self);

} // namespace cornellift::kernel
