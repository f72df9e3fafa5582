#include "Kernel/Pool/WorkerFleet.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Interval between polls of a worker that does not answer.
constexpr core::Duration PollRetryInterval = std::chrono::milliseconds(200);
/// The same for workers that this manager has never reached, after several failures. They may be
/// cut off together with their own manager, whose heartbeats should arrive before the claim.
constexpr core::Duration UnreachedPollRetryInterval = std::chrono::milliseconds(2500);
constexpr std::uint32_t PollsBeforeUnreached = 4;
/// Time without an answer after which a worker counts as silent; longer than one poll and its
/// timeout.
constexpr core::Duration SilenceTimeout = std::chrono::milliseconds(500);
/// How long a worker that another manager has claimed is not claimed again.
constexpr core::Duration FencedBackoff = std::chrono::seconds(2);

/// When the worker sent the report, by its clock since the start of the run. A process that was
/// paused reads a report long after that.
core::TimePoint sentAt(const Run &Reported, const WorkerReport &Report, core::TimePoint Now) {
  // In floating point, because the clock of a faulty worker may show any time.
  auto Milliseconds = static_cast<double>(Report.ClockMilliseconds) -
                      static_cast<double>(Reported.StartBy - StartValidity.count());
  auto Since = core::fromMilliseconds(std::max(0.0, Milliseconds));
  return std::min(Now, Reported.StartSentAt + Since);
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

/// What became of a run that the report does not list; empty while that is open.
std::optional<RunOutcome> outcomeOfUnlisted(const Worker &Known, const Run &Each,
                                            const WorkerReport &Report, bool IsClaim) {
  if (IsClaim) // Commands with the former token are refused from now on.
    return RunOutcome::Lost;
  if (!Each.isConfirmed())
    return Report.ClockMilliseconds > Each.StartBy ? std::optional(RunOutcome::NotStarted)
                                                   : std::nullopt;
  if (Each.ConfirmedAt >= Known.PollSentAt)
    return std::nullopt;
  return Each.State == RunState::Stopping ? RunOutcome::Stopped : RunOutcome::Lost;
}

} // namespace

void WorkerFleet::pollReplied(EndpointIndex Index, const PollCommand &Command,
                              const PollReply &Reply, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  if (Command.Number != Known.PollNumber)
    return; // A later poll has replaced this one and reports the same ends.
  Known.IsPolling = false;
  if (Known.Lease == LeaseState::Absent)
    return;
  if (Command.FencingToken != Known.Token) // The poll belonged to an earlier claim.
    return sendPoll(Index, Now);
  if (Reply.Verdict == CommandVerdict::Fenced)
    return markFenced(Index, Now);
  if (Reply.Verdict != CommandVerdict::Accepted || !Reply.Report)
    return pollFailed(Index, Reply.Verdict, Now);
  const auto &Report = *Reply.Report;
  bool DidAcceptTasks = Known.acceptsTasks(Now);
  Known.FailedPolls = 0;
  Known.AnsweredAt = Now;
  Known.SilentAt = Now + SilenceTimeout;
  if (Report.StartedMilliseconds != Known.StartedMilliseconds)
    return workerRestarted(Index, Report, Now);
  Known.Clock.observe(Report.ClockMilliseconds, Now,
                      Known.PollSentAt + std::chrono::milliseconds(Command.WaitMilliseconds) +
                          MaximumReplyTime);
  bool IsClaim = Known.Lease == LeaseState::Claiming;
  if (IsClaim) {
    Known.Lease = LeaseState::Held;
    // What another manager granted, or this one to a former incarnation, ends by then.
    Known.LeaseEnd = std::max(Known.LeaseEnd, Now + LongestLease);
    Log_.line(DecisionPriority::StateChange, "worker claimed", std::nullopt,
              {{"worker", std::string_view(Known.Entry.Id)},
               {"token", static_cast<std::int64_t>(Known.Token)},
               {"runs", static_cast<std::int64_t>(Report.Running.size())}});
  }
  applyRunning(Index, Report, Now);
  applyEnds(Index, Report, Now);
  resolveMissingRuns(Index, Report, IsClaim, Now);
  stopForeignRuns(Index, Report);
  if (!mutableAt(Index).IsPolling)
    sendPoll(Index, Now);
  if (!DidAcceptTasks && mutableAt(Index).acceptsTasks(Now))
    Listener_.availabilityIncreased(Now);
}

void WorkerFleet::pollFailed(EndpointIndex Index, CommandVerdict Verdict, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  if (++Known.FailedPolls == 1)
    Log_.line(DecisionPriority::StateChange, "worker does not answer", std::nullopt,
              {{"worker", std::string_view(Known.Entry.Id)},
               {"verdict", verdictName(Verdict)},
               {"runs", static_cast<std::int64_t>(Known.Runs.size())}});
  // The first failure may be due to one connection; the next poll uses a new one.
  bool IsUnreached =
      Known.Lease == LeaseState::Claiming && Known.FailedPolls > PollsBeforeUnreached;
  auto Interval = IsUnreached ? UnreachedPollRetryInterval : PollRetryInterval;
  Known.NextPollAt = Known.FailedPolls == 1 ? Now : Now + Interval;
}

void WorkerFleet::markFenced(EndpointIndex Index, core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  if (Known.Lease == LeaseState::Fenced || Known.Lease == LeaseState::Absent)
    return;
  Log_.line(DecisionPriority::StateChange, "worker claimed by another manager", std::nullopt,
            {{"worker", std::string_view(Known.Entry.Id)},
             {"token", static_cast<std::int64_t>(Known.Token)},
             {"runs", static_cast<std::int64_t>(Known.Runs.size())}});
  bool WasClaiming = Known.Lease == LeaseState::Claiming;
  Known.Lease = LeaseState::Fenced;
  // A fenced claim shows that this process's token is too low. After a restart of all entry
  // processes it is possible that no other process holds the worker.
  if (WasClaiming)
    Tokens_.skip();
  Known.ClaimAt = Now + (WasClaiming ? PollRetryInterval : FencedBackoff);
}

void WorkerFleet::workerRestarted(EndpointIndex Index, const WorkerReport &Report,
                                  core::TimePoint Now) {
  auto &Known = mutableAt(Index);
  bool IsFirst = Known.StartedMilliseconds == 0;
  auto Former = Known.StartedMilliseconds;
  Known.StartedMilliseconds = Report.StartedMilliseconds;
  Known.LastSeen = 0;
  Known.Clock = {};
  Known.Clock.observe(Report.ClockMilliseconds, Now, Now);
  if (!IsFirst) {
    Log_.line(DecisionPriority::StateChange, "worker restarted", std::nullopt,
              {{"worker", std::string_view(Known.Entry.Id)},
               {"incarnation", Known.StartedMilliseconds},
               {"former", Former},
               {"token", static_cast<std::int64_t>(Known.Token)},
               {"runs", static_cast<std::int64_t>(Known.Runs.size())}});
    ++Restarts_;
    // The new incarnation may have accepted a start already. Once it knows a higher token, it
    // refuses the commands that are still in flight, and its report shows which runs remain.
    Known.Token = Tokens_.next();
    Known.Lease = LeaseState::Claiming;
  }
  if (!mutableAt(Index).IsPolling)
    sendPoll(Index, Now);
}

void WorkerFleet::applyRunning(EndpointIndex Index, const WorkerReport &Report,
                               core::TimePoint Now) {
  auto &Known = mutableAt(Index);
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
    Found->reported();
    Found->PercentDone = Listed.PercentDone;
    Found->PercentAt = sentAt(*Found, Report, Now);
  }
}

void WorkerFleet::applyEnds(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now) {
  for (const auto &End : Report.Ended) {
    auto &Known = mutableAt(Index);
    if (End.Number <= Known.LastSeen)
      continue;
    Known.LastSeen = End.Number;
    auto *Ended = Known.find(End.Task, End.Run);
    if (!Ended)
      continue;
    Ended->reported();
    Ended->EndedAt = sentAt(*Ended, Report, Now);
    endRun(Index, End.Task, End.Run, outcomeOf(End.How), Now);
  }
}

void WorkerFleet::resolveMissingRuns(EndpointIndex Index, const WorkerReport &Report, bool IsClaim,
                                     core::TimePoint Now) {
  auto IsListed = [&](const Run &Candidate) {
    return std::any_of(Report.Running.begin(), Report.Running.end(), [&](const auto &Listed) {
      return Listed.Task == Candidate.Task && Listed.Run == Candidate.Number;
    });
  };
  std::vector<std::pair<Run, RunOutcome>> EndedRuns;
  std::vector<Run> Staying;
  auto &Known = mutableAt(Index);
  for (auto &Candidate : Known.Runs) {
    if (IsListed(Candidate))
      continue;
    bool Stays = staysOnWorker(Known, Candidate, Now);
    if (IsClaim && Stays)
      Candidate.awaitNewStart();
    if (Stays && !Candidate.isConfirmed() && Report.ClockMilliseconds > Candidate.StartBy)
      Staying.push_back(Candidate);
    else if (auto How = outcomeOfUnlisted(Known, Candidate, Report, IsClaim))
      EndedRuns.emplace_back(Candidate, *How);
  }
  for (const auto &[Missing, How] : EndedRuns)
    endRun(Index, Missing.Task, Missing.Number, How, Now);
  auto HasListedRun = [&](const TaskRef &Task) {
    return std::any_of(Report.Running.begin(), Report.Running.end(),
                       [&](const auto &Listed) { return Listed.Task == Task; });
  };
  for (const auto &Each : Staying)
    if (!HasListedRun(Each.Task)) // A run under another number has to be stopped first.
      startAgain(Index, Each.Task, Each.Number, Now);
}

void WorkerFleet::stopForeignRuns(EndpointIndex Index, const WorkerReport &Report) {
  auto &Known = mutableAt(Index);
  if (!Known.HasForeignRuns)
    return;
  for (const auto &Listed : Report.Running) {
    if (Known.find(Listed.Task, Listed.Run))
      continue;
    Log_.line(DecisionPriority::Notable, "stopping a run of another manager", Listed.Task.Job,
              {{"worker", std::string_view(Known.Entry.Id)},
               {"incarnation", Known.StartedMilliseconds},
               {"run", static_cast<std::int64_t>(Listed.Run)}});
    ++ForeignRunsStopped_;
    Output_.stop(Index, {Listed.Task, Listed.Run, Known.Token});
  }
}

} // namespace cornellift::kernel
