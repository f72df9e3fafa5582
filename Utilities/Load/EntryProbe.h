#pragma once

#include <optional>
#include <string>
#include <vector>

namespace cornellift::load {

/// Sums of the named counters over the entry VMs' /metrics pages, in the names' order. Returns an
/// empty optional with Unavailable when a page cannot be read.
std::optional<std::vector<double>> readCounters(const std::vector<std::string> &Addresses,
                                                const std::vector<std::string> &Names);

/// Processor time in microseconds that the processes have used so far. Returns an empty optional
/// with NotFound when one of them does not exist.
std::optional<double> processorMicroseconds(const std::vector<std::string> &ProcessIds);

} // namespace cornellift::load
