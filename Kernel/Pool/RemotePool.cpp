#include "Kernel/Pool/RemotePool.h"

#include <utility>

namespace cornellift::kernel {
namespace {

/// A delegation that is younger than this and a round trip may not be counted in a report that
/// arrives now: the time of the work at both ends.
constexpr core::Duration ReportLag = std::chrono::milliseconds(8);
/// A refusal shows that another manager was faster; its report follows soon.
constexpr core::Duration RefusalTime = std::chrono::milliseconds(20);

} // namespace

void RemotePool::setDirectory(PoolDirectory Directory) {
  DirectoryVersion_ = Directory.Version;
  Reservations_.clear();
  Workers_.clear();
  for (auto &Entry : Directory.Workers)
    Workers_.push_back({std::move(Entry), {}});
  for (auto &Worker : Workers_)
    Worker.Availability.Speed = 0; // Takes no tasks before the first report.
  Reported_.clear();
  for (const auto &Worker : Workers_)
    Reported_.push_back(Worker.Availability);
}

void RemotePool::setReport(const PoolReport &Report, core::TimePoint Now) {
  WaitingTasks_ = Report.WaitingTasks;
  ReportedAt_ = Now;
  if (Report.DirectoryVersion != DirectoryVersion_)
    return;
  for (const auto &Taken : Reservations_)
    Workers_[Taken.Worker].Availability = Reported_[Taken.Worker];
  for (const auto &Change : Report.Changes) {
    if (Change.Position >= Workers_.size())
      continue;
    Reported_[Change.Position] = Change.Availability;
    Workers_[Change.Position].Availability = Change.Availability;
  }
  AvoidUntil_ = {};
  while (!Reservations_.empty() && Reservations_.front().At + ReportLag + RoundTrip_ < Now)
    Reservations_.pop_front();
  for (const auto &Recent : Reservations_)
    take(Recent);
}

void RemotePool::reserve(std::size_t Worker, const Resources &Need, core::TimePoint Now) {
  Reservations_.push_back({Worker, Need, Now});
  take(Reservations_.back());
}

void RemotePool::refused(core::TimePoint Now) { AvoidUntil_ = Now + RefusalTime; }

void RemotePool::take(const Reservation &Taken) {
  auto &Availability = Workers_[Taken.Worker].Availability;
  Availability.Free.Processors -= Taken.Need.Processors;
  Availability.Free.MemoryMegabytes -= Taken.Need.MemoryMegabytes;
  Availability.Free.Accelerators -= Taken.Need.Accelerators;
  if (Availability.FreeSlots > 0)
    --Availability.FreeSlots;
}

} // namespace cornellift::kernel
