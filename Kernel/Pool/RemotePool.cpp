#include "Kernel/Pool/RemotePool.h"

#include <utility>

namespace cornellift::kernel {
namespace {

/// Processing time at both ends. A report that arrives now may not include delegations that are
/// younger than this plus the round trip time.
constexpr core::Duration ReportLag = std::chrono::milliseconds(8);
/// Backoff after a refusal, which shows that another manager was faster. The next report follows
/// soon.
constexpr core::Duration RefusalTime = std::chrono::milliseconds(20);

} // namespace

void RemotePool::setDirectory(PoolDirectory Directory) {
  DirectoryVersion_ = Directory.Version;
  Reservations_.clear();
  Workers_.clear();
  for (auto &Entry : Directory.Workers)
    Workers_.push_back({std::move(Entry), {}});
  for (auto &Worker : Workers_)
    Worker.Room.Speed = 0; // Not eligible for tasks before the first report.
  Reported_.clear();
  for (const auto &Worker : Workers_)
    Reported_.push_back(Worker.Room);
}

void RemotePool::setReport(const PoolReport &Report, core::TimePoint Now) {
  WaitingTasks_ = Report.WaitingTasks;
  ReportedAt_ = Now;
  if (Report.DirectoryVersion != DirectoryVersion_)
    return;
  for (const auto &Taken : Reservations_)
    Workers_[Taken.Worker].Room = Reported_[Taken.Worker];
  for (const auto &Change : Report.Rooms) {
    if (Change.Position >= Workers_.size())
      continue;
    Reported_[Change.Position] = Change.Room;
    Workers_[Change.Position].Room = Change.Room;
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
  auto &Room = Workers_[Taken.Worker].Room;
  Room.Free.Processors -= Taken.Need.Processors;
  Room.Free.MemoryMegabytes -= Taken.Need.MemoryMegabytes;
  Room.Free.Accelerators -= Taken.Need.Accelerators;
  if (Room.FreeSlots > 0)
    --Room.FreeSlots;
}

} // namespace cornellift::kernel
