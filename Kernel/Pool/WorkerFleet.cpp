#include "Kernel/Pool/WorkerFleet.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Duration of a lease. The platform allows one second. A caller resubmits a job 1.3 s after its
/// connection broke, and all runs of a lost manager must have ended by then.
constexpr core::Duration LeaseDuration = std::chrono::milliseconds(900);
/// How much longer a lease may last on this process's clock: the worker's clock may be 2% slow.
constexpr core::Duration LeaseSlack = std::chrono::milliseconds(40);
/// How long a poll waits for an end; leaves most of the lease for a late or repeated poll.
constexpr std::uint32_t PollWaitMilliseconds = 300;
/// The same while tasks run whose progress is needed.
constexpr std::uint32_t ProgressWaitMilliseconds = 150;
/// The same while a start is unconfirmed or a run is expected to end soon.
constexpr std::uint32_t ShortPollWaitMilliseconds = 30;
/// A start command without a reply for this time is sent again, as workers reply within a few
/// milliseconds. A worker executes a command at most once, because of its run number.
constexpr core::Duration StartRepeatDelay = std::chrono::milliseconds(25);
/// A second poll is sent if the current one has not reported an end this long after it was
/// expected.
constexpr core::Duration SecondPollDelay = std::chrono::milliseconds(40);
constexpr core::Duration MinimumPollInterval = std::chrono::milliseconds(100);
/// A stop takes at most 50 ms on the worker; the command is repeated after this time.
constexpr core::Duration StopRepeatDelay = std::chrono::milliseconds(75);
/// Backoff after a refusal that shows that the worker's free capacity or clock differ from the
/// assumed ones.
constexpr core::Duration NoCapacityBackoff = std::chrono::milliseconds(30);
constexpr core::Duration UnhealthyBackoff = std::chrono::milliseconds(400);
constexpr core::Duration UnreachedBackoff = std::chrono::milliseconds(100);

/// How long a worker gets no further start after one that it did not accept.
core::Duration backoffAfter(CommandVerdict Verdict) {
  switch (Verdict) {
  case CommandVerdict::NoCapacity:
  case CommandVerdict::TooLate:
    return NoCapacityBackoff;
  case CommandVerdict::Unhealthy:
    return UnhealthyBackoff;
  case CommandVerdict::Misdirected:
  case CommandVerdict::NotSent:
    return UnreachedBackoff;
  default:
    return {};
  }
}

} // namespace

EndpointIndex WorkerFleet::indexOf(const std::string &Id) {
  auto [Position, IsNew] = IndexById_.emplace(Id, static_cast<EndpointIndex>(Workers_.size()));
  if (!IsNew)
    return Position->second;
  auto &Known = Workers_.emplace_back();
  if (auto Deferred = DeferredClaims_.extract(Id)) {
    Known.ClaimAt = Deferred.mapped().ClaimAt;
    Known.ClaimDeferredAt = Deferred.mapped().Since;
  }
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
  auto &Known = mutableAt(Index);
  bool IsAddressNew = Known.Entry.Address != Entry.Address || Known.Lease == LeaseState::Absent;
  bool StateChanged = Known.Entry.State != Entry.State || !Known.IsListed;
  Known.Entry = Entry;
  Known.IsListed = true;
  Known.IsEvacuated = EvacuatedDataCentres_.contains(Entry.DataCentre);
  if (IsAddressNew) {
    Known.IsPolling = false; // The reply from the former address will not arrive.
    Output_.workerAddressChanged(Index, Entry);
  }
  if (StateChanged)
    Log_.line(DecisionPriority::StateChange, "worker listed", std::nullopt,
              {{"worker", std::string_view(Entry.Id)},
               {"draining", std::int64_t{Entry.State == WorkerState::Draining}}});
  if (Known.Lease == LeaseState::Absent && Now >= Known.ClaimAt)
    beginClaim(Index, Now);
}

void WorkerFleet::setEvacuated(const std::set<std::string> &DataCentres) {
  EvacuatedDataCentres_ = DataCentres;
  for (auto &Known : Workers_)
    Known.IsEvacuated = DataCentres.contains(Known.Entry.DataCentre);
}

void WorkerFleet::unlist(EndpointIndex Index) {
  auto &Known = mutableAt(Index);
  Known.IsListed = false;
  if (Known.Lease == LeaseState::Absent)
    Known.ClaimAt = {}; // A claim that was deferred at this takeover must not wait at the next one.
  Log_.line(DecisionPriority::StateChange, "worker removed from the list", std::nullopt,
            {{"worker", std::string_view(Known.Entry.Id)},
             {"runs", static_cast<std::int64_t>(Known.Runs.size())}});
}

void WorkerFleet::deferClaim(std::string_view Id, core::TimePoint Until, core::TimePoint Now) {
  auto Defer = [&](core::TimePoint &ClaimAt, core::TimePoint &Since) {
    if (ClaimAt <= Now) // Otherwise it has been deferred before.
      Since = Now;
    ClaimAt = Until;
  };
  if (auto *Known = find(Id))
    return Defer(Known->ClaimAt, Known->ClaimDeferredAt);
  auto &Unlisted = DeferredClaims_[std::string(Id)];
  Defer(Unlisted.ClaimAt, Unlisted.Since);
}

void WorkerFleet::claimNow(std::string_view Id, core::TimePoint Now) {
  deferClaim(Id, Now, Now);
  const auto *Known = find(Id);
  if (Known && Known->IsListed &&
      (Known->Lease == LeaseState::Absent || Known->Lease == LeaseState::Fenced))
    beginClaim(IndexById_.at(std::string(Id)), Now);
}

Worker *WorkerFleet::find(std::string_view Id) {
  auto Position = IndexById_.find(std::string(Id));
  return Position == IndexById_.end() ? nullptr : &mutableAt(Position->second);
}

void WorkerFleet::beginClaim(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  Known.Lease = LeaseState::Claiming;
  Known.Token = Tokens_.next();
  Known.NextPollAt = Now;
  if (!Known.IsPolling)
    sendPoll(Index, Now);
}

std::optional<core::TimePoint> WorkerFleet::leaseExtension(const Worker &Known,
                                                           core::TimePoint Now) const {
  if (Known.Lease != LeaseState::Held || !Known.Clock.isKnown())
    return std::nullopt;
  // The runs of a silent worker start elsewhere when its lease has ended. Polls that it may still
  // receive must not put that off.
  if (Now >= Known.SilentAt)
    return std::nullopt;
  // An incarnation that has not reported yet would extend it for the longest time.
  if (Now > Known.AnsweredAt && Known.hasUnreportedRuns())
    return std::nullopt;
  // Runs of another manager must end with the lease that it granted.
  if (Known.HasForeignRuns && Known.Runs.empty())
    return std::nullopt;
  auto Until = Now + LeaseDuration;
  for (const auto &Each : Known.Runs)
    Until = std::min(Until, Listener_.leaseLimitOf(Each).value_or(Until));
  if (Until <= Now)
    return std::nullopt;
  return Until;
}

void WorkerFleet::sendPoll(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  PollCommand Command;
  Command.FencingToken = Known.Token;
  Command.LastSeen = Known.LastSeen;
  bool ExpectsEnd = Known.HasForeignRuns ||
                    std::any_of(Known.Runs.begin(), Known.Runs.end(), [](const Run &Candidate) {
                      return Candidate.State != RunState::Running;
                    });
  if (Known.Lease == LeaseState::Held && Known.FailedPolls == 0)
    Command.WaitMilliseconds = ExpectsEnd           ? ShortPollWaitMilliseconds
                               : Known.Runs.empty() ? PollWaitMilliseconds
                                                    : ProgressWaitMilliseconds;
  if (auto Until = leaseExtension(Known, Now)) {
    Command.LeaseUntil = Known.Clock.at(*Until);
    Known.LeaseEnd = std::max(Known.LeaseEnd, *Until + LeaseSlack);
    Known.deadlineSent(Now + std::chrono::milliseconds(Command.WaitMilliseconds) + PollReplyMargin);
  }
  Known.IsPolling = true;
  Known.PollSentAt = Now;
  Known.PollWaitMilliseconds = Command.WaitMilliseconds;
  Command.Number = ++Known.PollNumber;
  Output_.poll(Index, Command);
}

void WorkerFleet::startRun(EndpointIndex Index, Run NewRun, const std::string &Specification,
                           core::TimePoint Now) {
  sendStart(Index, NewRun, Specification, Now);
  mutableAt(Index).add(NewRun);
}

void WorkerFleet::sendStart(EndpointIndex Index, Run &Started, std::string Specification,
                            core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  Started.StartBy = Known.Clock.at(Now + StartValidity);
  Started.StartSentAt = Now;
  Started.ColdUntil = Known.Entry.ColdUntil;
  Started.State = RunState::Starting;
  Known.LeaseEnd = std::max(Known.LeaseEnd, Now + StartValidity + LeaseSlack);
  Known.deadlineSent(Now + CommandTimeout);
  Output_.start(Index, {Started.Task, Started.Number, std::move(Specification), Known.Token,
                        Started.StartBy});
}

bool WorkerFleet::staysOnWorker(const Worker &Known, const Run &Each, core::TimePoint Now) {
  if (Each.State == RunState::Stopping || !Each.mayStartLater(Now))
    return false;
  return (Known.Lease == LeaseState::Held || Known.Lease == LeaseState::Claiming) &&
         Known.IsListed && Known.Entry.State == WorkerState::Ready;
}

void WorkerFleet::startAgain(EndpointIndex Index, const TaskRef &Task, std::uint32_t Number,
                             core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  auto *Found = Known.find(Task, Number);
  if (!Found)
    return;
  bool CanStart = Known.Lease == LeaseState::Held && Known.isEntryCurrent() && !Known.IsEvacuated &&
                  Known.isAnswering(Now) && !Known.isOvercommitted() && Now >= Known.BackoffUntil;
  if (!CanStart)
    return; // Tried again with the next report.
  auto Specification = Listener_.specificationOf(*Found);
  if (!Specification || !Listener_.mayRunOn(Known.Entry, *Found))
    return endRun(Index, Task, Number, RunOutcome::Lost, Now);
  Log_.line(DecisionPriority::Notable, "starting a run again on its worker", Task.Job,
            {{"worker", std::string_view(Known.Entry.Id)},
             {"incarnation", Known.StartedMilliseconds},
             {"index", static_cast<std::int64_t>(Task.Index)},
             {"run", static_cast<std::int64_t>(Number)},
             {"sends", static_cast<std::int64_t>(Found->SendCount)},
             {"after_ms", core::toMilliseconds(Now - Found->StartSentAt)}});
  ++StartedAgain_;
  Found->ExpectedEnd = Now + (Found->ExpectedEnd - Found->StartSentAt);
  ++Found->SendCount;
  Found->RecentSends = 1;
  ++Found->SendsInFlight;
  sendStart(Index, *Found, std::move(*Specification), Now);
}

void WorkerFleet::stopRun(EndpointIndex Index, const TaskRef &Task, std::uint32_t Number,
                          core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  auto *Found = Known.find(Task, Number);
  if (!Found || Found->State == RunState::Stopping)
    return;
  Found->State = RunState::Stopping;
  Found->RepeatStopAt = Now + StopRepeatDelay;
  Output_.stop(Index, {Task, Number, Known.Token});
}

void WorkerFleet::startReplied(EndpointIndex Index, const StartCommand &Command,
                               const CommandReply &Reply, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  auto *Found = Known.find(Command.Task, Command.Run);
  if (!Found)
    return;
  Found->sendEnded(Reply.Verdict, Now);
  if (Command.FencingToken != Known.Token)
    return; // The reply is that of an earlier claim, or of a former incarnation.
  if (Reply.ClockMilliseconds && Known.Lease == LeaseState::Held)
    Known.Clock.observe(*Reply.ClockMilliseconds, Now, Found->StartSentAt + MaximumReplyTime);
  if (Reply.Verdict == CommandVerdict::Accepted) {
    if (Found->State == RunState::Starting)
      Found->State = RunState::Running;
    Found->ConfirmedAt = Now;
    Found->HasBegun = true;
    return;
  }
  Known.BackoffUntil = std::max(Known.BackoffUntil, Now + backoffAfter(Reply.Verdict));
  if (Found->SendCount > 1 || Found->State != RunState::Starting)
    return; // Another send may have been accepted; the next polls show whether it runs.
  Log_.line(DecisionPriority::Notable, "start not accepted", Command.Task.Job,
            {{"worker", std::string_view(Known.Entry.Id)},
             {"step", static_cast<std::int64_t>(Command.Task.Step)},
             {"index", static_cast<std::int64_t>(Command.Task.Index)},
             {"verdict", verdictName(Reply.Verdict)},
             {"committed_cores", Known.Committed.Processors}});
  switch (Reply.Verdict) {
  case CommandVerdict::Accepted:
  case CommandVerdict::NoReply:
    return; // The next polls show whether it runs.
  case CommandVerdict::Fenced:
    markFenced(Index, Now);
    return endRun(Index, Command.Task, Command.Run, RunOutcome::NotStarted, Now);
  case CommandVerdict::Outdated:
    return endRun(Index, Command.Task, Command.Run, RunOutcome::Outdated, Now);
  case CommandVerdict::NoCapacity:
  case CommandVerdict::TooLate:
  case CommandVerdict::Unhealthy:
  case CommandVerdict::Misdirected:
  case CommandVerdict::NotSent:
    return endRun(Index, Command.Task, Command.Run, RunOutcome::NotStarted, Now);
  case CommandVerdict::Invalid:
    return endRun(Index, Command.Task, Command.Run, RunOutcome::Failed, Now);
  }
}

void WorkerFleet::stopReplied(EndpointIndex Index, const StopCommand &Command,
                              const CommandReply &Reply, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  if (Reply.Verdict == CommandVerdict::Fenced)
    return markFenced(Index, Now);
  auto *Found = Known.find(Command.Task, Command.Run);
  // If the run had not begun, the worker refuses it from now on and will not report its end. The
  // next poll then shows that it is missing.
  if (Found && Reply.Verdict == CommandVerdict::Accepted && Found->ConfirmedAt == core::TimePoint())
    Found->ConfirmedAt = Now;
}

void WorkerFleet::endRun(EndpointIndex Index, const TaskRef &Task, std::uint32_t Number,
                         RunOutcome How, core::TimePoint Now) {
  auto *Found = mutableAt(Index).find(Task, Number);
  if (!Found)
    return;
  Run Ended = *Found;
  if (How == RunOutcome::NotStarted && Ended.HasBegun)
    How = RunOutcome::Lost;
  mutableAt(Index).remove(Task, Number);
  Listener_.runEnded(Index, Ended, How, Now);
}

void WorkerFleet::endLapsedRuns(EndpointIndex Index, core::TimePoint Now) {
  const auto &Known = at(Index);
  std::vector<Run> Lapsed;
  std::copy_if(Known.Runs.begin(), Known.Runs.end(), std::back_inserter(Lapsed),
               [&](const Run &Each) {
                 return Now > Known.leaseEndOf(Each) && !staysOnWorker(Known, Each, Now);
               });
  for (const auto &Run : Lapsed)
    endRun(Index, Run.Task, Run.Number, RunOutcome::Lost, Now);
}

void WorkerFleet::repeatStarts(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  if (Known.Lease != LeaseState::Held || Known.IsEvacuated)
    return;
  for (auto &Candidate : Known.Runs) {
    if (Candidate.State != RunState::Starting || Candidate.RecentSends >= MaximumRecentSends ||
        Now < Candidate.StartSentAt + StartRepeatDelay * Candidate.RecentSends)
      continue;
    ++Candidate.RecentSends;
    auto Specification = Listener_.specificationOf(Candidate);
    if (!Specification)
      continue;
    ++Candidate.SendCount;
    ++Candidate.SendsInFlight;
    Known.deadlineSent(Now + CommandTimeout);
    Output_.start(Index, {Candidate.Task, Candidate.Number, std::move(*Specification), Known.Token,
                          Candidate.StartBy});
  }
}

void WorkerFleet::repeatStops(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  for (auto &Candidate : Known.Runs) {
    if (Candidate.State != RunState::Stopping || Now < Candidate.RepeatStopAt)
      continue;
    Candidate.RepeatStopAt = Now + StopRepeatDelay;
    Output_.stop(Index, {Candidate.Task, Candidate.Number, Known.Token});
  }
}

core::TimePoint WorkerFleet::replyDue(const Worker &Known, core::TimePoint ExpectedEnd) {
  // The first poll since an answer is answered at the end of a run. A poll that was sent later than
  // that was expected, or in place of another one, may wait for all of its time: if each overdue
  // run had it replaced at once, no reply would count, and the worker's lease would lapse.
  bool AwaitsEnd = Known.PollSentAt <= Known.AnsweredAt && Known.PollSentAt <= ExpectedEnd;
  auto Reply = AwaitsEnd ? ExpectedEnd
                         : Known.PollSentAt + std::chrono::milliseconds(Known.PollWaitMilliseconds);
  return std::max(Reply + SecondPollDelay, Known.PollSentAt + MinimumPollInterval);
}

bool WorkerFleet::needsSecondPoll(EndpointIndex Index, core::TimePoint Now) const {
  const auto &Known = at(Index);
  if (!Known.IsPolling || Now < Known.PollSentAt + MinimumPollInterval)
    return false;
  return std::any_of(Known.Runs.begin(), Known.Runs.end(), [&](const Run &Candidate) {
    auto Expected = Candidate.State == RunState::Running ? Candidate.ExpectedEnd
                                                         : Candidate.StartSentAt + StartValidity;
    // A silent worker whose leases have ended is only looked at now and then.
    bool IsWorthIt = Known.isAnswering(Now) || Now <= Known.leaseEndOf(Candidate);
    return IsWorthIt && Now > Expected + SecondPollDelay && Now > replyDue(Known, Expected);
  });
}

void WorkerFleet::tickWorker(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  if (Known.Lease == LeaseState::Absent) {
    if (Known.IsListed && Now >= Known.ClaimAt)
      beginClaim(Index, Now);
    return;
  }
  bool IsUnreachable = Known.Lease != LeaseState::Held || !Known.isAnswering(Now);
  if (IsUnreachable)
    endLapsedRuns(Index, Now);
  if (!mutableAt(Index).IsListed && mutableAt(Index).Runs.empty()) {
    mutableAt(Index).Lease = LeaseState::Absent;
    mutableAt(Index).IsPolling = false;
    mutableAt(Index).ClaimAt = {};
    return Output_.workerDropped(Index);
  }
  if (mutableAt(Index).Lease == LeaseState::Fenced) {
    if (Now >= mutableAt(Index).ClaimAt)
      beginClaim(Index, Now);
    return;
  }
  repeatStarts(Index, Now);
  repeatStops(Index, Now);
  if (needsSecondPoll(Index, Now))
    sendPoll(Index, Now);
  if (!mutableAt(Index).IsPolling && Now >= mutableAt(Index).NextPollAt)
    sendPoll(Index, Now);
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

std::vector<std::string> WorkerFleet::releasedIn(std::string_view DataCentre) const {
  std::vector<std::string> Ids;
  for (const auto &Known : Workers_)
    if (Known.Entry.DataCentre == DataCentre && !Known.IsListed &&
        Known.Lease == LeaseState::Absent)
      Ids.push_back(Known.Entry.Id);
  return Ids;
}

std::size_t WorkerFleet::runCount() const {
  std::size_t Count = 0;
  for (const auto &Known : Workers_)
    Count += Known.Runs.size();
  return Count;
}

} // namespace cornellift::kernel
