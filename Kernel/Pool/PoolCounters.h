#pragma once

#include <cstdint>

namespace cornellift::kernel {

/// Counts since the start of the process.
struct PoolCounters {
  std::uint64_t JobsReceived = 0;
  std::uint64_t JobsCompleted = 0;
  std::uint64_t JobsFailed = 0;
  std::uint64_t JobsRejected = 0;
  std::uint64_t JobsGivenUp = 0;
  std::uint64_t JobsAbandoned = 0;
  std::uint64_t JobsCancelled = 0;
  std::uint64_t StartsSent = 0;
  std::uint64_t RunsDone = 0;
  std::uint64_t ColdRunsDone = 0; ///< Of RunsDone, those that began on a cold worker.
  std::uint64_t RunsFailed = 0;
  std::uint64_t RunsStopped = 0;
  std::uint64_t RunsLost = 0;
  std::uint64_t StartsRefused = 0;
  std::uint64_t TasksDelegated = 0; ///< To other managers.
  std::uint64_t DelegationsRefused = 0;
  std::uint64_t TasksAccepted = 0; ///< Delegated by other managers.
  std::uint64_t StragglersMoved = 0;
  std::uint64_t NoticedRunsMoved = 0; ///< From workers that were about to leave.
};

} // namespace cornellift::kernel
