#include "Kernel/Pool/WorkerFleet.h"

#include <algorithm>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Interval between polls of a worker that does not answer.
constexpr core::Duration FailedLookTime = std::chrono::milliseconds(200);
/// The same for workers that this manager has never reached, after several failures. They may be
/// cut off together with their own manager, whose heartbeats should arrive before the claim.
constexpr core::Duration HopelessLookTime = std::chrono::milliseconds(2500);
constexpr std::uint32_t HopelessLooks = 4;
/// How long a worker that another manager has claimed is not claimed again.
constexpr core::Duration FencedTime = std::chrono::seconds(2);

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

void WorkerFleet::lookReplied(EndpointIndex Index, const LookOrder &Order, const LookReply &Reply,
                              core::TimePoint Now) {
  auto &Known = edit(Index);
  if (Order.Number != Known.LookNumber)
    return; // A later poll has replaced this one and reports the same ends.
  Known.IsLooking = false;
  if (Known.Lease == LeaseState::Absent)
    return;
  if (Order.FencingToken != Known.Token) // The poll belonged to an earlier claim.
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
  // The first failure may be due to one connection; the next poll uses a new one.
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
  // A fenced claim shows that this process's token is too low. After a restart of all entry
  // processes it is possible that no other process holds the worker.
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
    // The new incarnation may have accepted a start already. Once it knows a higher token, it
    // refuses the commands that are still in flight, and its report shows which runs remain.
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
    if (IsClaim) // Commands with the former token are refused from now on.
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

} // namespace cornellift::kernel
