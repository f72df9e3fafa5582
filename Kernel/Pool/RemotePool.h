#pragma once

#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

namespace cornellift::kernel {

/// This manager's view of a worker of another manager.
struct RemoteWorker {
  WorkerEntry Entry;
  WorkerAvailability Availability;
};

/// This manager's view of another manager's workers. A report may not include tasks that were
/// delegated shortly before it was sent; their needs are subtracted as reservations.
class RemotePool {
public:
  void setDirectory(PoolDirectory Directory);
  void setReport(const PoolReport &Report, core::TimePoint Now);

  /// Reserves capacity for a delegated task that is expected to run on that worker.
  void reserve(std::size_t Worker, const Resources &Need, core::TimePoint Now);

  /// Call when the manager has refused a task: it gets no further tasks until its next report, or
  /// for a short backoff.
  void refused(core::TimePoint Now);

  void setRoundTrip(core::Duration RoundTrip) { RoundTrip_ = RoundTrip; }
  core::Duration roundTrip() const { return RoundTrip_; }

  bool acceptsTasks(core::TimePoint Now) const { return Now >= BackoffUntil_; }
  const std::vector<RemoteWorker> &workers() const { return Workers_; }
  std::uint32_t waitingTasks() const { return WaitingTasks_; }
  core::TimePoint reportedAt() const { return ReportedAt_; }

private:
  struct Reservation {
    std::size_t Worker = 0;
    Resources Need;
    core::TimePoint At;
  };

  void subtract(const Reservation &Reserved);

  std::uint64_t DirectoryVersion_ = 0;
  std::vector<RemoteWorker> Workers_;
  /// Availability of Workers_ as last reported, without reservations.
  std::vector<WorkerAvailability> Reported_;
  std::deque<Reservation> Reservations_;
  std::uint32_t WaitingTasks_ = 0;
  core::TimePoint BackoffUntil_;
  /// The initial value is typical of two data centres of one region with busy processes.
  core::Duration RoundTrip_ = std::chrono::milliseconds(5);
  core::TimePoint ReportedAt_; ///< Arrival of the last report.
};

} // namespace cornellift::kernel
