#pragma once

#include <cstdint>

namespace cornellift::kernel {

/// Counts since the start of the process.
struct PoolCounters {
  std::uint64_t JobsReceived = 0;
  std::uint64_t JobsCompleted = 0;
  std::uint64_t JobsFailed = 0;
  std::uint64_t JobsRejected = 0;
  std::uint64_t RefusedAtArrival = 0; ///< Rejected: too much work waited.
  std::uint64_t RefusedForRoom = 0;   ///< Rejected: the work ahead left no time for them.
  std::uint64_t RefusedInWaiting = 0; ///< Rejected: no worker could take them while it was of use.
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
  std::uint64_t MovesAvoided = 0;     ///< Late runs that stayed, because their jobs are long.
  std::uint64_t JobsExtended = 0;     ///< Jobs that have shown to be longer than expected.
  // Tasks that waited for room near their data, by the end of the wait.
  std::uint64_t DataWaitsNear = 0;     ///< Started near the data.
  std::uint64_t DataWaitsExpired = 0;  ///< The wait's deadline passed.
  std::uint64_t DataWaitsUseless = 0;  ///< The wait was no longer expected to pay.
  std::uint64_t DataWaitsJobEnded = 0; ///< The job was answered or cancelled.
  double DataWaitMilliseconds = 0;     ///< Sum of the times that they waited.
  double DataWaitExpectedGain = 0;     ///< Sum, in milliseconds, as expected when the waits began.
  double DataWaitGain =
      0; ///< The same, as measured at the end of the waits; negative for waits in vain.
};

} // namespace cornellift::kernel
