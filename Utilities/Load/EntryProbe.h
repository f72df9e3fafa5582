#pragma once

#include <optional>
#include <string>
#include <vector>

namespace cornellift::load {

/// Reads the named counters from the entry VMs' /metrics pages and returns their sums in the order
/// of Names. Returns an empty optional with Unavailable when a page cannot be read.
std::optional<std::vector<double>> readCounters(const std::vector<std::string> &Addresses,
                                                const std::vector<std::string> &Names);

/// Returns the processor time in microseconds that the processes have used so far. Returns an empty
/// optional with NotFound when one of them does not exist.
std::optional<double> processorMicroseconds(const std::vector<std::string> &ProcessIds);

} // namespace cornellift::load
