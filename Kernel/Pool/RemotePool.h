#pragma once

#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

namespace cornellift::kernel {

/// A worker of another manager, as this one believes it to be.
struct RemoteWorker {
  WorkerEntry Entry;
  WorkerAvailability Availability;
};

/// The workers of another manager. Tasks that were delegated shortly before a report are not in it
/// yet and are taken off its room.
class RemotePool {
public:
  void setDirectory(PoolDirectory Directory);
  void setReport(const PoolReport &Report, core::TimePoint Now);

  /// A task was delegated and is expected to go to that worker.
  void reserve(std::size_t Worker, const Resources &Need, core::TimePoint Now);

  /// The manager has refused a task: it gets none until the next report or a short while has
  /// passed.
  void refused(core::TimePoint Now);

  void setRoundTrip(core::Duration RoundTrip) { RoundTrip_ = RoundTrip; }
  core::Duration roundTrip() const { return RoundTrip_; }

  bool takesTasks(core::TimePoint Now) const { return Now >= AvoidUntil_; }
  const std::vector<RemoteWorker> &workers() const { return Workers_; }
  std::uint32_t waitingTasks() const { return WaitingTasks_; }
  core::TimePoint reportedAt() const { return ReportedAt_; }

private:
  struct Reservation {
    std::size_t Worker = 0;
    Resources Need;
    core::TimePoint At;
  };

  void take(const Reservation &Taken);

  std::uint64_t DirectoryVersion_ = 0;
  std::vector<RemoteWorker> Workers_;
  std::vector<WorkerAvailability> Reported_; ///< Room of Workers_ as the manager has told it.
  std::deque<Reservation> Reservations_;
  std::uint32_t WaitingTasks_ = 0;
  core::TimePoint AvoidUntil_;
  /// Until it is measured, that of two data centres of one region whose processes are busy.
  core::Duration RoundTrip_ = std::chrono::milliseconds(5);
  core::TimePoint ReportedAt_; ///< When the last report came.
};

} // namespace cornellift::kernel
