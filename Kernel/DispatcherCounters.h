#pragma once

#include <cstddef>
#include <cstdint>

namespace cornellift::kernel {

/// Totals since the start of the process and current sizes, for metrics.
struct DispatcherCounters {
  std::uint64_t StartedTasks = 0;
  std::uint64_t IgnoredEvents = 0;     ///< Late, out of order or duplicate.
  std::uint64_t RefusedPlacements = 0; ///< Placements by the scheduler that violated a rule.
  std::uint64_t FencedTasks = 0;
  std::uint64_t LostTasks = 0; ///< Started, with an end that will never be known.
  std::size_t ActiveJobs = 0;
  std::size_t RunningTasks = 0; ///< Own and delegated.
  std::size_t WaitingRequests = 0;
  std::size_t KeptOutcomes = 0;
  std::uint64_t KeptOutcomeBytes = 0;
};

} // namespace cornellift::kernel
