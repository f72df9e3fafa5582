#include "Kernel/Pool/Worker.h"

#include <algorithm>
#include <utility>

namespace cornellift::kernel {

bool Run::mayStartLater(core::TimePoint Now) const {
  return SendsInFlight > 0 || Now < MayArriveUntil;
}

void Run::sendEnded(CommandVerdict Verdict, core::TimePoint Now) {
  if (SendsInFlight > 0)
    --SendsInFlight;
  if (Verdict == CommandVerdict::NoReply)
    MayArriveUntil = Now + CommandLifetime;
}

void Run::reported() {
  IsReported = true;
  HasBegun = true;
  if (SendCount > 1)
    return;
  // The worker has executed the only command that was sent.
  SendsInFlight = 0;
  MayArriveUntil = {};
}

void Run::awaitNewStart() {
  State = RunState::Starting;
  RecentSends = MaximumRecentSends;
  StartBy = NoStartTime;
  ConfirmedAt = {};
  IsReported = false;
  PercentDone = 0;
}

bool Worker::isEntryCurrent() const {
  // A worker of another release may state no start time in one of the two.
  bool IsComparable = Entry.StartedMilliseconds != 0 && StartedMilliseconds != 0;
  return !IsComparable || Entry.StartedMilliseconds == StartedMilliseconds;
}

bool Worker::acceptsTasks(core::TimePoint Now) const {
  return isEntryCurrent() && Lease == LeaseState::Held && IsListed && !IsEvacuated &&
         Entry.State == WorkerState::Ready && isAnswering(Now) && !HasForeignRuns &&
         Clock.isKnown() && Now >= BackoffUntil;
}

std::optional<core::Duration> Worker::heldIn(core::TimePoint Now) const {
  if (!IsListed || Entry.State != WorkerState::Ready)
    return std::nullopt;
  if (Lease == LeaseState::Claiming && FailedPolls == 0)
    return core::Duration(0);
  if (Lease != LeaseState::Absent)
    return std::nullopt;
  if (ClaimAt > Now + LongestKnownClaim)
    return std::max<core::Duration>(TypicalReleaseTime, Now - ClaimDeferredAt);
  return std::max(core::Duration(0), ClaimAt - Now);
}

bool Worker::isAnswering(core::TimePoint Now) const { return FailedPolls == 0 && Now < SilentAt; }

Resources Worker::free() const {
  return {Entry.Capacity.Processors - Committed.Processors,
          Entry.Capacity.MemoryMegabytes - Committed.MemoryMegabytes,
          Entry.Capacity.Accelerators - Committed.Accelerators};
}

std::uint32_t Worker::freeSlots() const {
  auto Used = static_cast<std::uint32_t>(Runs.size());
  return Used < Entry.Slots ? Entry.Slots - Used : 0;
}

bool Worker::isOvercommitted() const {
  constexpr double RoundingSlack = 1e-6;
  auto Left = free();
  return Left.Processors < -RoundingSlack || Left.MemoryMegabytes < -RoundingSlack ||
         Left.Accelerators < -RoundingSlack || Runs.size() > Entry.Slots;
}

bool Worker::hasUnreportedRuns() const {
  return std::any_of(Runs.begin(), Runs.end(), [](const Run &Each) { return !Each.IsReported; });
}

void Worker::deadlineSent(core::TimePoint ArrivesBy) {
  UnreportedLeaseEnd = std::max(UnreportedLeaseEnd, ArrivesBy + LongestLease);
}

core::TimePoint Worker::leaseEndOf(const Run &Each) const {
  return Each.IsReported ? LeaseEnd : std::max(LeaseEnd, UnreportedLeaseEnd);
}

Run *Worker::find(const TaskRef &Task, std::uint32_t Number) {
  return const_cast<Run *>(std::as_const(*this).find(Task, Number));
}

const Run *Worker::find(const TaskRef &Task, std::uint32_t Number) const {
  auto Found = std::find_if(Runs.begin(), Runs.end(), [&](const Run &Candidate) {
    return Candidate.Task == Task && Candidate.Number == Number;
  });
  return Found == Runs.end() ? nullptr : &*Found;
}

void Worker::add(const Run &Started) {
  Committed.Processors += Started.Need.Processors;
  Committed.MemoryMegabytes += Started.Need.MemoryMegabytes;
  Committed.Accelerators += Started.Need.Accelerators;
  Runs.push_back(Started);
}

void Worker::remove(const TaskRef &Task, std::uint32_t Number) {
  const auto *Found = find(Task, Number);
  if (!Found)
    return;
  auto Need = Found->Need;
  std::erase_if(Runs, [&](const Run &Candidate) {
    return Candidate.Task == Task && Candidate.Number == Number;
  });
  if (Runs.empty()) {
    Committed = {}; // Keeps rounding errors from accumulating.
    return;
  }
  Committed.Processors -= Need.Processors;
  Committed.MemoryMegabytes -= Need.MemoryMegabytes;
  Committed.Accelerators -= Need.Accelerators;
}

} // namespace cornellift::kernel
