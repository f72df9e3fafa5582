// Runs on workers that have announced when they leave.
#include "Kernel/Pool/PoolManager.h"
#include "Kernel/Pool/WorkerNotice.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Cost of moving a run: the stop, the poll that shows its end, and the new start.
constexpr double MoveMilliseconds = 70;
/// Progress is extrapolated only from this much of it, in percent, and after this elapsed time.
constexpr double MinimumPercent = 5;
constexpr double MinimumElapsedMilliseconds = 80;

double remainingMilliseconds(const Run &Running, core::TimePoint Now) {
  double Elapsed = core::toMilliseconds(Running.PercentAt - Running.StartSentAt);
  if (Running.PercentDone < MinimumPercent || Elapsed < MinimumElapsedMilliseconds)
    return std::max(0.0, core::toMilliseconds(Running.ExpectedEnd - Now));
  double Total = Elapsed / (Running.PercentDone / 100);
  return std::max(0.0, Total - core::toMilliseconds(Now - Running.StartSentAt));
}

} // namespace

void PoolManager::moveNoticedRuns(core::TimePoint Now) {
  std::erase_if(Moving_, [&](const MovingRun &Each) {
    return !Fleet_.findRun(Each.From, Each.Task, Each.Number);
  });
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Worker = static_cast<EndpointIndex>(Position);
    const auto &Known = Fleet_.at(Worker);
    if (Known.Lease != LeaseState::Held || !Known.Entry.StaysUntil)
      continue;
    std::vector<Run> Noticed;
    std::copy_if(Known.Runs.begin(), Known.Runs.end(), std::back_inserter(Noticed),
                 [](const Run &Each) { return Each.State == RunState::Running; });
    for (const auto &Each : Noticed)
      moveNoticedRun(Worker, Each, Now);
  }
}

void PoolManager::moveNoticedRun(EndpointIndex Worker, const Run &Running, core::TimePoint Now) {
  auto *Job = find(Running.Job);
  // A start without a reply may still be carried out by another incarnation of the worker.
  if (!Job || Job->IsEnding || Running.mayStartLater(Now))
    return;
  auto Step = Job->stepOf(Running.TaskNumber);
  auto Request = placementRequestFor(*Job, Step, Now);
  auto Place = restartPlace(*Job, Request, Running, Worker, Now);
  std::optional<double> Restart;
  if (Place)
    Restart = Place->Milliseconds + MoveMilliseconds;
  const auto &Entry = Fleet_.at(Worker).Entry;
  NoticedRun Noticed{remainingMilliseconds(Running, Now),
                     core::toMilliseconds(*Entry.StaysUntil - Now), Restart,
                     Request.ObjectiveMilliseconds, Request.UsefulMilliseconds};
  if (!isMovedOnNotice(Noticed))
    return;
  ++Counters_.NoticedRunsMoved;
  Log_.line(DecisionPriority::Notable, "moving a run from a leaving worker", Job->key(),
            {{"worker", std::string_view(Entry.Id)},
             {"index", static_cast<std::int64_t>(Running.Task.Index)},
             {"percent", Running.PercentDone},
             {"rest_ms", Noticed.Remaining},
             {"notice_ms", Noticed.NoticeLeft},
             {"fresh_ms", *Restart},
             {"objective_in_ms", Noticed.Objective}});
  Moving_.push_back({Worker, Running.Task, Running.Number, Running.Need, std::move(Place->Worker)});
  Fleet_.stopRun(Worker, Running.Task, Running.Number, Now);
}

std::optional<PoolManager::RestartPlace>
PoolManager::restartPlace(const PoolJob &Job, const PoolPlacementRequest &Request,
                          const Run &Running, EndpointIndex Except, core::TimePoint Now) const {
  std::optional<RestartPlace> Best;
  visitCandidates(Job, Running.Task.Step, Request, Now,
                  [&](PlacementCandidate Candidate, std::optional<EndpointIndex> Own) {
                    subtractMoving(Candidate);
                    if (Own == Except || !isEligible(Request, Candidate))
                      return;
                    double Time = expectedMilliseconds(Request, Candidate);
                    if (!Best || Time < Best->Milliseconds)
                      Best = {Candidate.Entry->Id, Time};
                  });
  return Best;
}

void PoolManager::subtractMoving(PlacementCandidate &Candidate) const {
  auto &Available = Candidate.Availability;
  for (const auto &Each : Moving_) {
    if (Each.To != Candidate.Entry->Id)
      continue;
    Available.Free.Processors -= Each.Need.Processors;
    Available.Free.MemoryMegabytes -= Each.Need.MemoryMegabytes;
    Available.Free.Accelerators -= Each.Need.Accelerators;
    Available.FreeSlots -= Available.FreeSlots > 0 ? 1 : 0;
  }
}

} // namespace cornellift::kernel
