#include "Kernel/Pool/WorkerFleet.h"

#include <algorithm>
#include <unordered_set>

namespace cornellift::kernel {
namespace {

/// Length of a lease. The platform allows one second; a caller sends a job again 1.3 s after its
/// connection broke, and no run of a lost manager may be left then.
constexpr core::Duration LeaseTime = std::chrono::milliseconds(900);
/// How much longer a lease may last by this process's clock: the worker's clock may be 2% slow.
constexpr core::Duration LeaseSlack = std::chrono::milliseconds(40);
/// How long a look waits for an end; leaves most of the lease for a late or repeated look.
constexpr std::uint32_t LookWaitMilliseconds = 300;
/// The same while tasks run, whose progress is to be seen.
constexpr std::uint32_t ProgressWaitMilliseconds = 150;
/// The same while something is expected to be gone soon.
constexpr std::uint32_t ShortLookWaitMilliseconds = 30;
/// How long a start order stays valid. An order that is carried out later is refused, so that the
/// task can be started elsewhere after this time when no answer comes.
constexpr core::Duration StartTime = std::chrono::milliseconds(100);
/// A look that has not told of an expected end for this time may be lost; a second one is sent.
constexpr core::Duration SecondLookTime = std::chrono::milliseconds(40);
constexpr core::Duration BetweenSecondLooks = std::chrono::milliseconds(100);
/// A stop takes at most 50 ms at the worker; it is repeated after this time.
constexpr core::Duration StopRepeatTime = std::chrono::milliseconds(150);
/// Between looks at a worker that does not answer.
constexpr core::Duration FailedLookTime = std::chrono::milliseconds(200);
/// The same for workers that this manager has never reached, after several failures: they may be
/// cut off together with a manager of their own, whose heartbeats are to arrive first.
constexpr core::Duration HopelessLookTime = std::chrono::milliseconds(2500);
constexpr std::uint32_t HopelessLooks = 4;
/// A worker that another manager has claimed is left to it for this time.
constexpr core::Duration FencedTime = std::chrono::seconds(2);
/// Pauses after a refusal that shows that the worker's room or clock is not as assumed.
constexpr core::Duration NoRoomTime = std::chrono::milliseconds(30);
constexpr core::Duration UnhealthyTime = std::chrono::milliseconds(400);
constexpr core::Duration UnreachedTime = std::chrono::milliseconds(100);

std::string_view verdictName(OrderVerdict Verdict) {
  switch (Verdict) {
  case OrderVerdict::Accepted:
    return "accepted";
  case OrderVerdict::Fenced:
    return "fenced";
  case OrderVerdict::Outdated:
    return "outdated";
  case OrderVerdict::TooLate:
    return "too_late";
  case OrderVerdict::NoRoom:
    return "no_room";
  case OrderVerdict::Unhealthy:
    return "unhealthy";
  case OrderVerdict::Stranger:
    return "stranger";
  case OrderVerdict::Invalid:
    return "invalid";
  case OrderVerdict::NoReply:
    return "no_reply";
  case OrderVerdict::NotSent:
    return "not_sent";
  }
  return "unknown";
}

RunOutcome outcomeOf(RunEnd How) {
  switch (How) {
  case RunEnd::Done:
    return RunOutcome::Done;
  case RunEnd::Failed:
    return RunOutcome::Failed;
  case RunEnd::Stopped:
    return RunOutcome::Stopped;
  case RunEnd::Lapsed:
  case RunEnd::Broken:
    return RunOutcome::Lost;
  }
  return RunOutcome::Lost;
}

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
    Known.IsLooking = false; // Replies of the former address do not arrive any more.
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
  Log_.line(DecisionWeight::Belief, "worker left the list", std::nullopt,
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
  // Runs of another manager must end with the lease that it gave them.
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
  Log_.line(DecisionWeight::Notable, "start not accepted", Order.Task.Job,
            {{"worker", std::string_view(Known.Entry.Id)},
             {"step", static_cast<std::int64_t>(Order.Task.Step)},
             {"index", static_cast<std::int64_t>(Order.Task.Index)},
             {"verdict", verdictName(Reply.Verdict)},
             {"committed_cores", Known.Committed.Processors}});
  switch (Reply.Verdict) {
  case OrderVerdict::Accepted:
  case OrderVerdict::NoReply:
    return; // The next looks show whether it runs.
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
  // A run that the worker had not begun is refused from now on, and no end of it will be listed:
  // the look that follows settles it.
  if (Found && Reply.Verdict == OrderVerdict::Accepted && Found->ConfirmedAt == core::TimePoint())
    Found->ConfirmedAt = Now;
}

void WorkerFleet::lookReplied(EndpointIndex Index, const LookOrder &Order, const LookReply &Reply,
                              core::TimePoint Now) {
  auto &Known = edit(Index);
  if (Order.Number != Known.LookNumber)
    return; // A later look replaces this one; it lists the same ends.
  Known.IsLooking = false;
  if (Known.Lease == LeaseState::Absent)
    return;
  if (Order.FencingToken != Known.Token) // Of an earlier claim.
    return sendLook(Index, Now);
  if (Reply.Verdict == OrderVerdict::Fenced)
    return fenced(Index, Now);
  if (Reply.Verdict != OrderVerdict::Accepted || !Reply.Report)
    return lookFailed(Index, Reply.Verdict, Now);
  const auto &Report = *Reply.Report;
  bool WasOpen = Known.isOpen(Now);
  Known.FailedLooks = 0;
  if (Report.BornMilliseconds != Known.Born)
    return reborn(Index, Report, Now);
  Known.Clock.observe(Report.ClockMilliseconds, Now);
  bool IsClaim = Known.Lease == LeaseState::Claiming;
  if (IsClaim) {
    Known.Lease = LeaseState::Held;
    Log_.line(DecisionWeight::Belief, "worker claimed", std::nullopt,
              {{"worker", std::string_view(Known.Entry.Id)},
               {"token", static_cast<std::int64_t>(Known.Token)},
               {"runs", static_cast<std::int64_t>(Report.Running.size())}});
  }
  applyRunning(Index, Report, Now);
  applyEnds(Index, Report, Now);
  settleMissing(Index, Report, IsClaim, Now);
  stopForeign(Index, Report);
  if (!edit(Index).IsLooking)
    sendLook(Index, Now);
  if (!WasOpen && edit(Index).isOpen(Now))
    Listener_.roomChanged(Now);
}

void WorkerFleet::lookFailed(EndpointIndex Index, OrderVerdict Verdict, core::TimePoint Now) {
  auto &Known = edit(Index);
  if (++Known.FailedLooks == 1)
    Log_.line(DecisionWeight::Belief, "worker does not answer", std::nullopt,
              {{"worker", std::string_view(Known.Entry.Id)},
               {"verdict", verdictName(Verdict)},
               {"runs", static_cast<std::int64_t>(Known.Runs.size())}});
  // The first failure may be that of one connection; the next look uses a new one.
  bool IsHopeless = Known.Lease == LeaseState::Claiming && Known.FailedLooks > HopelessLooks;
  auto Pause = IsHopeless ? HopelessLookTime : FailedLookTime;
  Known.NextLookAt = Known.FailedLooks == 1 ? Now : Now + Pause;
}

void WorkerFleet::fenced(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = edit(Index);
  if (Known.Lease == LeaseState::Fenced || Known.Lease == LeaseState::Absent)
    return;
  Log_.line(DecisionWeight::Belief, "worker claimed by another manager", std::nullopt,
            {{"worker", std::string_view(Known.Entry.Id)},
             {"token", static_cast<std::int64_t>(Known.Token)},
             {"runs", static_cast<std::int64_t>(Known.Runs.size())}});
  bool WasClaiming = Known.Lease == LeaseState::Claiming;
  Known.Lease = LeaseState::Fenced;
  // A claim that fails at once shows that this process knows too low a token; after a restart of
  // all entry processes nobody else may hold the worker.
  if (WasClaiming)
    Tokens_.skip();
  Known.ClaimAt = Now + (WasClaiming ? FailedLookTime : FencedTime);
}

void WorkerFleet::reborn(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now) {
  auto &Known = edit(Index);
  bool IsFirst = Known.Born == 0;
  Known.Born = Report.BornMilliseconds;
  Known.LastSeen = 0;
  Known.Clock.observe(Report.ClockMilliseconds, Now);
  if (!IsFirst) {
    Log_.line(DecisionWeight::Belief, "worker restarted", std::nullopt,
              {{"worker", std::string_view(Known.Entry.Id)},
               {"runs", static_cast<std::int64_t>(Known.Runs.size())}});
    // The new incarnation may have taken a start already. Once it knows a higher token, it refuses
    // the orders that are still under way, and its report tells which runs are left.
    Known.Token = Tokens_.next();
    Known.Lease = LeaseState::Claiming;
  }
  if (!edit(Index).IsLooking)
    sendLook(Index, Now);
}

void WorkerFleet::applyRunning(EndpointIndex Index, const WorkerReport &Report,
                               core::TimePoint Now) {
  auto &Known = edit(Index);
  Known.HasForeignRuns = false;
  for (const auto &Listed : Report.Running) {
    auto *Found = Known.find(Listed.Task, Listed.Run);
    if (!Found) {
      Known.HasForeignRuns = true;
      continue;
    }
    if (Found->State == RunState::Starting) {
      Found->State = RunState::Running;
      Found->ConfirmedAt = Now;
    }
    Found->PercentDone = Listed.PercentDone;
    Found->PercentAt = Now;
  }
}

void WorkerFleet::applyEnds(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now) {
  for (const auto &End : Report.Ended) {
    auto &Known = edit(Index);
    if (End.Number <= Known.LastSeen)
      continue;
    Known.LastSeen = End.Number;
    if (Known.find(End.Task, End.Run))
      leave(Index, End.Task, End.Run, outcomeOf(End.How), Now);
  }
}

void WorkerFleet::settleMissing(EndpointIndex Index, const WorkerReport &Report, bool IsClaim,
                                core::TimePoint Now) {
  auto IsListed = [&](const Run &Candidate) {
    return std::any_of(Report.Running.begin(), Report.Running.end(), [&](const auto &Listed) {
      return Listed.Task == Candidate.Task && Listed.Run == Candidate.Number;
    });
  };
  std::vector<std::pair<Run, RunOutcome>> Gone;
  const auto &Known = at(Index);
  for (const auto &Candidate : Known.Runs) {
    if (IsListed(Candidate))
      continue;
    bool WasConfirmed = Candidate.ConfirmedAt != core::TimePoint();
    if (IsClaim) // Orders with the former token are refused from now on.
      Gone.emplace_back(Candidate, RunOutcome::Lost);
    else if (WasConfirmed && Candidate.ConfirmedAt < Known.LookSentAt)
      Gone.emplace_back(Candidate, Candidate.State == RunState::Stopping ? RunOutcome::Stopped
                                                                         : RunOutcome::Lost);
    else if (!WasConfirmed && Report.ClockMilliseconds > Candidate.StartBy)
      Gone.emplace_back(Candidate, RunOutcome::NotStarted);
  }
  for (const auto &[Missing, How] : Gone)
    leave(Index, Missing.Task, Missing.Number, How, Now);
}

void WorkerFleet::stopForeign(EndpointIndex Index, const WorkerReport &Report) {
  auto &Known = edit(Index);
  if (!Known.HasForeignRuns)
    return;
  for (const auto &Listed : Report.Running) {
    if (Known.find(Listed.Task, Listed.Run))
      continue;
    Log_.line(DecisionWeight::Notable, "stopping a run of another manager", Listed.Task.Job,
              {{"worker", std::string_view(Known.Entry.Id)},
               {"run", static_cast<std::int64_t>(Listed.Run)}});
    Output_.stop(Index, {Listed.Task, Listed.Run, Known.Token});
  }
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
