#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cornellift::test {

/// Value of an environment variable, such as the first seed of a longer run by hand.
std::uint64_t numberFromEnvironment(const char *Name, std::uint64_t Default);

/// Plays random faults of VMs, links and workers beside jobs; returns the violated invariants.
std::vector<std::string> playRandomFaults(std::uint64_t Seed);

/// Restarts random workers while many commands to them are executed late, by whichever incarnation
/// is up by then; returns the violated invariants.
std::vector<std::string> playRestartsBesideLateCommands(std::uint64_t Seed);

} // namespace cornellift::test
