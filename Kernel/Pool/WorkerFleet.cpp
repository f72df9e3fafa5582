#include "Kernel/Pool/WorkerFleet.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Duration of a lease. The platform allows one second. A caller resubmits a job 1.3 s after its
/// connection broke, and all runs of a lost manager must have ended by then.
constexpr core::Duration LeaseTime = std::chrono::milliseconds(900);
/// How much longer a lease may last on this process's clock: the worker's clock may be 2% slow.
constexpr core::Duration LeaseSlack = std::chrono::milliseconds(40);
/// How long a poll waits for an end; leaves most of the lease for a late or repeated poll.
constexpr std::uint32_t LookWaitMilliseconds = 300;
/// The same while tasks run whose progress is needed.
constexpr std::uint32_t ProgressWaitMilliseconds = 150;
/// The same while a start is unconfirmed or a run is expected to end soon.
constexpr std::uint32_t ShortLookWaitMilliseconds = 30;
/// How long a start command is valid. The worker refuses it later, so that a task without a reply
/// can be started elsewhere after this time.
constexpr core::Duration StartTime = std::chrono::milliseconds(100);
/// A start command without a reply for this time is sent again, as workers reply within a few
/// milliseconds. A worker executes a command at most once, because of its run number.
constexpr core::Duration StartRepeatTime = std::chrono::milliseconds(25);
constexpr std::uint32_t MaximumCopies = 3;
/// A second poll is sent if the current one has not reported an end this long after it was
/// expected.
constexpr core::Duration SecondLookTime = std::chrono::milliseconds(40);
constexpr core::Duration BetweenSecondLooks = std::chrono::milliseconds(100);
/// A stop takes at most 50 ms on the worker; the command is repeated after this time.
constexpr core::Duration StopRepeatTime = std::chrono::milliseconds(150);
/// Backoff after a refusal that shows that the worker's free capacity or clock differ from the
/// assumed ones.
constexpr core::Duration NoRoomTime = std::chrono::milliseconds(30);
constexpr core::Duration UnhealthyTime = std::chrono::milliseconds(400);
constexpr core::Duration UnreachedTime = std::chrono::milliseconds(100);

} // namespace

EndpointIndex WorkerFleet::indexOf(const std::string &Id) {
  auto [Position, IsNew] = IndexById_.emplace(Id, static_cast<EndpointIndex>(Workers_.size()));
  if (!IsNew)
    return Position->second;
  auto &Known = Workers_.emplace_back();
  if (auto Early = EarlyClaims_.extract(Id))
    Known.ClaimAt = Early.mapped();
  return Position->second;
}

void WorkerFleet::setListed(std::span<const WorkerEntry> Entries, core::TimePoint Now) {
  std::unordered_set<std::string_view> Listed;
  for (const auto &Entry : Entries) {
    Listed.insert(Entry.Id);
    list(Entry, Now);
  }
  for (std::size_t Position = 0; Position < Workers_.size(); ++Position)
    if (Workers_[Position].IsListed && !Listed.contains(Workers_[Position].Entry.Id))
      unlist(static_cast<EndpointIndex>(Position));
}

void WorkerFleet::list(const WorkerEntry &Entry, core::TimePoint Now) {
  auto Index = indexOf(Entry.Id);
  auto &Known = edit(Index);
  bool IsAddressNew = Known.Entry.Address != Entry.Address || Known.Lease == LeaseState::Absent;
  bool StandingChanged = Known.Entry.Standing != Entry.Standing || !Known.IsListed;
  Known.Entry = Entry;
  Known.IsListed = true;
  if (IsAddressNew) {
    Known.IsLooking = false; // The reply from the former address will not arrive.
    Output_.workerAddressed(Index, Entry);
  }
  if (StandingChanged)
    Log_.line(DecisionWeight::Belief, "worker listed", std::nullopt,
              {{"worker", std::string_view(Entry.Id)},
               {"draining", std::int64_t{Entry.Standing == WorkerStanding::Draining}}});
  if (Known.Lease == LeaseState::Absent && Now >= Known.ClaimAt)
    beginClaim(Index, Now);
}

void WorkerFleet::unlist(EndpointIndex Index) {
  auto &Known = edit(Index);
  Known.IsListed = false;
  Log_.line(DecisionWeight::Belief, "worker removed from the list", std::nullopt,
            {{"worker", std::string_view(Known.Entry.Id)},
             {"runs", static_cast<std::int64_t>(Known.Runs.size())}});
}

void WorkerFleet::holdClaim(std::string_view Id, core::TimePoint Until) {
  if (auto *Known = find(Id))
    Known->ClaimAt = Until;
  else
    EarlyClaims_[std::string(Id)] = Until;
}

void WorkerFleet::claimNow(std::string_view Id, core::TimePoint Now) {
  holdClaim(Id, Now);
  const auto *Known = find(Id);
  if (Known && Known->IsListed &&
      (Known->Lease == LeaseState::Absent || Known->Lease == LeaseState::Fenced))
    beginClaim(IndexById_.at(std::string(Id)), Now);
}

Worker *WorkerFleet::find(std::string_view Id) {
  auto Position = IndexById_.find(std::string(Id));
  return Position == IndexById_.end() ? nullptr : &edit(Position->second);
}

void WorkerFleet::beginClaim(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = edit(Index);
  Known.Lease = LeaseState::Claiming;
  Known.Token = Tokens_.next();
  Known.NextLookAt = Now;
  if (!Known.IsLooking)
    sendLook(Index, Now);
}

void WorkerFleet::sendLook(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = edit(Index);
  LookOrder Order;
  Order.FencingToken = Known.Token;
  Order.LastSeen = Known.LastSeen;
  // Runs of another manager must end with the lease that it granted.
  bool Extends = Known.Lease == LeaseState::Held && Known.Clock.isKnown() &&
                 (!Known.HasForeignRuns || !Known.Runs.empty());
  if (Extends) {
    Order.LeaseUntil = Known.Clock.at(Now + LeaseTime);
    Known.LeaseEnd = std::max(Known.LeaseEnd, Now + LeaseTime + LeaseSlack);
  }
  bool ExpectsEnd = Known.HasForeignRuns ||
                    std::any_of(Known.Runs.begin(), Known.Runs.end(), [](const Run &Candidate) {
                      return Candidate.State != RunState::Running;
                    });
  if (Known.Lease == LeaseState::Held && Known.FailedLooks == 0)
    Order.WaitMilliseconds = ExpectsEnd           ? ShortLookWaitMilliseconds
                             : Known.Runs.empty() ? LookWaitMilliseconds
                                                  : ProgressWaitMilliseconds;
  Known.IsLooking = true;
  Known.LookSentAt = Now;
  Order.Number = ++Known.LookNumber;
  Output_.look(Index, Order);
}

void WorkerFleet::startRun(EndpointIndex Index, Run Ordered, const std::string &Specification,
                           core::TimePoint Now) {
  auto &Known = edit(Index);
  StartOrder Order;
  Order.Task = Ordered.Task;
  Order.Run = Ordered.Number;
  Order.Specification = Specification;
  Order.FencingToken = Known.Token;
  Order.StartBy = Known.Clock.at(Now + StartTime);
  Ordered.StartBy = Order.StartBy;
  Ordered.OrderedAt = Now;
  Ordered.State = RunState::Starting;
  Known.LeaseEnd = std::max(Known.LeaseEnd, Now + StartTime + LeaseSlack);
  Known.add(Ordered);
  Output_.start(Index, Order);
}

void WorkerFleet::stopRun(EndpointIndex Index, const TaskRef &Task, std::uint32_t Number,
                          core::TimePoint Now) {
  auto &Known = edit(Index);
  auto *Found = Known.find(Task, Number);
  if (!Found || Found->State == RunState::Stopping)
    return;
  Found->State = RunState::Stopping;
  Found->StopAgainAt = Now + StopRepeatTime;
  Output_.stop(Index, {Task, Number, Known.Token});
}

void WorkerFleet::startReplied(EndpointIndex Index, const StartOrder &Order,
                               const OrderReply &Reply, core::TimePoint Now) {
  auto &Known = edit(Index);
  if (Reply.ClockMilliseconds && Known.Lease == LeaseState::Held)
    Known.Clock.observe(*Reply.ClockMilliseconds, Now);
  auto *Found = Known.find(Order.Task, Order.Run);
  if (!Found)
    return;
  if (Reply.Verdict == OrderVerdict::Accepted) {
    if (Found->State == RunState::Starting)
      Found->State = RunState::Running;
    Found->ConfirmedAt = Now;
    return;
  }
  if (Found->Copies > 1)
    return; // Another send may have been accepted; the next polls show whether it runs.
  Log_.line(DecisionWeight::Notable, "start not accepted", Order.Task.Job,
            {{"worker", std::string_view(Known.Entry.Id)},
             {"step", static_cast<std::int64_t>(Order.Task.Step)},
             {"index", static_cast<std::int64_t>(Order.Task.Index)},
             {"verdict", verdictName(Reply.Verdict)},
             {"committed_cores", Known.Committed.Processors}});
  switch (Reply.Verdict) {
  case OrderVerdict::Accepted:
  case OrderVerdict::NoReply:
    return; // The next polls show whether it runs.
  case OrderVerdict::Fenced:
    fenced(Index, Now);
    return leave(Index, Order.Task, Order.Run, RunOutcome::NotStarted, Now);
  case OrderVerdict::Outdated:
    return leave(Index, Order.Task, Order.Run, RunOutcome::Outdated, Now);
  case OrderVerdict::NoRoom:
  case OrderVerdict::TooLate:
    Known.AvoidUntil = Now + NoRoomTime;
    return leave(Index, Order.Task, Order.Run, RunOutcome::NotStarted, Now);
  case OrderVerdict::Unhealthy:
    Known.AvoidUntil = Now + UnhealthyTime;
    return leave(Index, Order.Task, Order.Run, RunOutcome::NotStarted, Now);
  case OrderVerdict::Stranger:
  case OrderVerdict::NotSent:
    Known.AvoidUntil = Now + UnreachedTime;
    return leave(Index, Order.Task, Order.Run, RunOutcome::NotStarted, Now);
  case OrderVerdict::Invalid:
    return leave(Index, Order.Task, Order.Run, RunOutcome::Failed, Now);
  }
}

void WorkerFleet::stopReplied(EndpointIndex Index, const StopOrder &Order, const OrderReply &Reply,
                              core::TimePoint Now) {
  auto &Known = edit(Index);
  if (Reply.Verdict == OrderVerdict::Fenced)
    return fenced(Index, Now);
  auto *Found = Known.find(Order.Task, Order.Run);
  // If the run had not begun, the worker refuses it from now on and will not report its end. The
  // next poll then shows that it is missing.
  if (Found && Reply.Verdict == OrderVerdict::Accepted && Found->ConfirmedAt == core::TimePoint())
    Found->ConfirmedAt = Now;
}

void WorkerFleet::leave(EndpointIndex Index, const TaskRef &Task, std::uint32_t Number,
                        RunOutcome How, core::TimePoint Now) {
  auto *Found = edit(Index).find(Task, Number);
  if (!Found)
    return;
  Run Left = *Found;
  edit(Index).remove(Task, Number);
  Listener_.runLeft(Index, Left, How, Now);
}

void WorkerFleet::loseAll(EndpointIndex Index, core::TimePoint Now) {
  auto Lost = at(Index).Runs;
  for (const auto &Run : Lost)
    leave(Index, Run.Task, Run.Number, RunOutcome::Lost, Now);
}

void WorkerFleet::repeatStarts(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = edit(Index);
  if (Known.Lease != LeaseState::Held)
    return;
  for (auto &Candidate : Known.Runs) {
    if (Candidate.State != RunState::Starting || Candidate.Copies >= MaximumCopies ||
        Now < Candidate.OrderedAt + StartRepeatTime * Candidate.Copies)
      continue;
    ++Candidate.Copies;
    auto Specification = Listener_.specificationOf(Candidate);
    if (Specification)
      Output_.start(Index, {Candidate.Task, Candidate.Number, std::move(*Specification),
                            Known.Token, Candidate.StartBy});
  }
}

void WorkerFleet::repeatStops(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = edit(Index);
  for (auto &Candidate : Known.Runs) {
    if (Candidate.State != RunState::Stopping || Now < Candidate.StopAgainAt)
      continue;
    Candidate.StopAgainAt = Now + StopRepeatTime;
    Output_.stop(Index, {Candidate.Task, Candidate.Number, Known.Token});
  }
}

bool WorkerFleet::needsSecondLook(EndpointIndex Index, core::TimePoint Now) const {
  const auto &Known = at(Index);
  if (!Known.IsLooking || Now < Known.LookSentAt + BetweenSecondLooks)
    return false;
  return std::any_of(Known.Runs.begin(), Known.Runs.end(), [&](const Run &Candidate) {
    auto Expected = Candidate.State == RunState::Running ? Candidate.ExpectedEnd
                                                         : Candidate.OrderedAt + StartTime;
    return Now > Expected + SecondLookTime;
  });
}

void WorkerFleet::tickWorker(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = edit(Index);
  if (Known.Lease == LeaseState::Absent) {
    if (Known.IsListed && Now >= Known.ClaimAt)
      beginClaim(Index, Now);
    return;
  }
  bool IsCut = Known.FailedLooks > 0 || Known.Lease != LeaseState::Held;
  if (IsCut && !Known.Runs.empty() && Now > Known.LeaseEnd)
    loseAll(Index, Now);
  if (!edit(Index).IsListed && edit(Index).Runs.empty()) {
    edit(Index).Lease = LeaseState::Absent;
    edit(Index).IsLooking = false;
    return Output_.workerDropped(Index);
  }
  if (edit(Index).Lease == LeaseState::Fenced) {
    if (Now >= edit(Index).ClaimAt)
      beginClaim(Index, Now);
    return;
  }
  repeatStarts(Index, Now);
  repeatStops(Index, Now);
  if (needsSecondLook(Index, Now))
    sendLook(Index, Now);
  if (!edit(Index).IsLooking && Now >= edit(Index).NextLookAt)
    sendLook(Index, Now);
}

void WorkerFleet::tick(core::TimePoint Now) {
  for (std::size_t Position = 0; Position < Workers_.size(); ++Position)
    tickWorker(static_cast<EndpointIndex>(Position), Now);
}

std::size_t WorkerFleet::countIn(LeaseState State) const {
  return static_cast<std::size_t>(
      std::count_if(Workers_.begin(), Workers_.end(),
                    [State](const Worker &Known) { return Known.Lease == State; }));
}

const Run *WorkerFleet::findRun(EndpointIndex Worker, const TaskRef &Task,
                                std::uint32_t Number) const {
  return at(Worker).find(Task, Number);
}

std::size_t WorkerFleet::runCount() const {
  std::size_t Count = 0;
  for (const auto &Known : Workers_)
    Count += Known.Runs.size();
  return Count;
}

} // namespace cornellift::kernel
