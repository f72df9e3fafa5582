#include "Kernel/Pool/RemotePool.h"

#include <utility>

namespace cornellift::kernel {
namespace {

/// Processing time at both ends. A report that arrives now may not include delegations that are
/// younger than this plus the round trip time.
constexpr core::Duration ReportLag = std::chrono::milliseconds(8);
/// Backoff after a refusal, which shows that another manager was faster. The next report follows
/// soon.
constexpr core::Duration RefusalBackoff = std::chrono::milliseconds(20);

} // namespace

void RemotePool::setDirectory(PoolDirectory Directory) {
  DirectoryVersion_ = Directory.Version;
  Reservations_.clear();
  Workers_.clear();
  for (auto &Entry : Directory.Workers)
    Workers_.push_back({std::move(Entry), {}});
  for (auto &Worker : Workers_)
    Worker.Availability.Speed = 0; // Not eligible for tasks before the first report.
  Reported_.clear();
  for (const auto &Worker : Workers_)
    Reported_.push_back(Worker.Availability);
}

void RemotePool::setReport(const PoolReport &Report, core::TimePoint Now) {
  WaitingTasks_ = Report.WaitingTasks;
  ReportedAt_ = Now;
  if (Report.DirectoryVersion != DirectoryVersion_)
    return;
  for (const auto &Reserved : Reservations_)
    Workers_[Reserved.Worker].Availability = Reported_[Reserved.Worker];
  for (const auto &Change : Report.Changes) {
    if (Change.Position >= Workers_.size())
      continue;
    Reported_[Change.Position] = Change.Availability;
    Workers_[Change.Position].Availability = Change.Availability;
  }
  BackoffUntil_ = {};
  while (!Reservations_.empty() && Reservations_.front().At + ReportLag + RoundTrip_ < Now)
    Reservations_.pop_front();
  for (const auto &Recent : Reservations_)
    subtract(Recent);
}

void RemotePool::reserve(std::size_t Worker, const Resources &Need, core::TimePoint Now) {
  Reservations_.push_back({Worker, Need, Now});
  subtract(Reservations_.back());
}

void RemotePool::refused(core::TimePoint Now) { BackoffUntil_ = Now + RefusalBackoff; }

void RemotePool::subtract(const Reservation &Reserved) {
  auto &Availability = Workers_[Reserved.Worker].Availability;
  Availability.Free.Processors -= Reserved.Need.Processors;
  Availability.Free.MemoryMegabytes -= Reserved.Need.MemoryMegabytes;
  Availability.Free.Accelerators -= Reserved.Need.Accelerators;
  if (Availability.FreeSlots > 0)
    --Availability.FreeSlots;
}

} // namespace cornellift::kernel
