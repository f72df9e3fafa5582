// The queue of waiting jobs: their order, rejections and expiry.
#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Lower bound on the assumed speed, for workers whose speed is unknown.
constexpr double MinimumSpeed = 0.1;
/// Bounds on the retry time given to rejected callers, in milliseconds.
constexpr double MinimumRetryMilliseconds = 200;
constexpr double MaximumRetryMilliseconds = 5000;
/// How long after a start managers may not know the workers of all others.
constexpr core::Duration DirectoryExchangeTime = std::chrono::seconds(1);

} // namespace

double PoolManager::shortestRunTime(const PoolJob &Job) const {
  double Longest = 0;
  for (const auto &Step : Job.Steps)
    if (Step.Waiting > 0)
      Longest = std::max(Longest, Step.expectedMilliseconds());
  return Longest / std::max(FastestSpeed_, MinimumSpeed);
}

std::optional<JobAnswer> PoolManager::rejectionFor(const PoolJob &Job, core::TimePoint Now) const {
  if (hasCapacityFor(Job, Now))
    return std::nullopt;
  if (needsEvacuatedWorkers(Job, Now))
    return evacuatedAnswer();
  double Wait = waitMilliseconds(Job, Now);
  auto Start = Now + core::fromMilliseconds(Wait);
  auto Run = core::fromMilliseconds(shortestRunTime(Job));
  if (Wait <= 0 || Start + Run <= Job.UsefulUntil)
    return std::nullopt;
  return JobAnswer{JobVerdict::Rejected, "too much work waits for the workers",
                   std::clamp(Wait, MinimumRetryMilliseconds, MaximumRetryMilliseconds)};
}

double PoolManager::waitMilliseconds(const PoolJob &Job, core::TimePoint Now) const {
  auto Place = placeInQueue(Job, Now);
  double Ahead = 0;
  for (const auto &Key : Queue_) {
    if (Place < Key)
      break;
    if (Key.Handle != Job.Handle)
      Ahead += Jobs_.at(Key.Handle).waitingMilliseconds();
  }
  double Rate = workRate(Job.Submission->Steps.front().Need, Now);
  return Rate > 0 ? Ahead / Rate : 0;
}

double PoolManager::workRate(const Resources &Need, core::TimePoint Now) const {
  double Rate = 0;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    const auto &Known = Fleet_.at(Index);
    if (Known.Lease != LeaseState::Held || !Known.isAnswering(Now) || Known.IsEvacuated)
      continue;
    double Places = Need.Processors > 0
                        ? std::floor(Known.Entry.Capacity.Processors / Need.Processors)
                        : Known.Entry.Slots;
    Rate += std::min<double>(Places, Known.Entry.Slots) * Ratings_.speed(Index) /
            slowdownOf(Known.Entry, Now);
  }
  return Rate;
}

JobAnswer PoolManager::evacuatedAnswer() {
  // The end of an evacuation is not known.
  return {JobVerdict::Rejected, "all workers that could run it are in evacuated data centres",
          MaximumRetryMilliseconds};
}

bool PoolManager::needsEvacuatedWorkers(const PoolJob &Job, core::TimePoint Now) const {
  if (EvacuatedDataCentres_.empty() || Now < WorkersFoundAt_ + DirectoryExchangeTime)
    return false;
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    PoolPlacementRequest Request;
    Request.Step = &Job.Submission->Steps[Step];
    Request.Policy = &Job.Submission->Policy;
    bool IsOnlyEvacuated = false;
    bool IsServedElsewhere = false;
    auto Consider = [&](const WorkerEntry &Entry) {
      PlacementCandidate Idle{&Entry, {Entry.Capacity, Entry.Slots, 1}, 0};
      if (IsServedElsewhere || !isEligible(Request, Idle))
        return;
      bool IsEvacuated = EvacuatedDataCentres_.contains(Entry.DataCentre);
      (IsEvacuated ? IsOnlyEvacuated : IsServedElsewhere) = true;
    };
    for (const auto &Entry : Listed_)
      Consider(Entry);
    for (const auto &[Peer, Known] : Remotes_)
      for (const auto &Worker : Known.Pool.workers())
        Consider(Worker.Entry);
    if (IsOnlyEvacuated && !IsServedElsewhere)
      return true;
  }
  return false;
}

void PoolManager::enqueue(const PoolJob &Job, core::TimePoint Now) {
  if (Job.waiting() == 0 || Queue_.contains(Job.Handle) || Job.OrphanedUntil)
    return;
  Queue_.set(placeInQueue(Job, Now));
}

PoolQueue::Key PoolManager::placeInQueue(const PoolJob &Job, core::TimePoint Now) {
  auto Prospect = Now <= Job.LatestStart ? JobProspect::InTime
                  : Job.mayHaveRun()     ? JobProspect::StartedLate
                                         : JobProspect::Late;
  return {Prospect, Job.LatestStart, Job.Handle};
}

void PoolManager::reviewWaitingJobs(core::TimePoint Now) {
  if (Queue_.empty())
    return;
  auto Rate = PlacementRate_.value();
  if (Rate <= 0) // Work has begun to wait just now, as after an outage.
    Rate = workRate(Jobs_.at(Queue_.begin()->Handle).Submission->Steps.front().Need, Now);
  if (Rate <= 0)
    return;
  std::vector<ReviewedJob> Waiting;
  Waiting.reserve(Queue_.size());
  for (const auto &Key : Queue_) {
    const auto &Job = Jobs_.at(Key.Handle);
    if (Job.onlyWaitsForData())
      continue; // Nothing ahead of it delays it.
    Waiting.push_back({Key.Handle, Key.Prospect, Job.mayHaveRun(), Job.waitingMilliseconds(),
                       core::fromMilliseconds(shortestRunTime(Job)), Job.LatestStart,
                       Job.UsefulUntil});
  }
  auto Review = reviewQueue(Waiting, Rate, Now);
  for (auto Handle : Review.Late)
    Queue_.set({JobProspect::Late, Jobs_.at(Handle).LatestStart, Handle});
  double Retry = std::clamp(Review.WaitingMilliseconds / Rate, MinimumRetryMilliseconds,
                            MaximumRetryMilliseconds);
  for (auto Handle : Review.Unattainable)
    if (auto *Job = find(Handle))
      endJob(*Job, {JobVerdict::Rejected, "the work ahead leaves no time for it", Retry}, Now);
}

void PoolManager::expireJobs(core::TimePoint Now) {
  std::vector<std::pair<JobHandle, JobAnswer>> Ended;
  for (const auto &[Handle, Job] : Jobs_) {
    if (Job.IsEnding || Job.IsDelegation)
      continue;
    if (Job.OrphanedUntil && Now >= *Job.OrphanedUntil) {
      Ended.push_back({Handle, {JobVerdict::GivenUp, "the caller's entry process is lost", 0}});
      continue;
    }
    // A waiting task still needs its run time on the fastest worker.
    auto Limit = usefulLimit(Job);
    if (Job.waiting() > 0)
      Limit -= core::fromMilliseconds(shortestRunTime(Job) * MinimumRunTimeShare);
    if (Now < Limit)
      continue;
    auto Verdict = Job.mayHaveRun() ? JobVerdict::GivenUp : JobVerdict::Rejected;
    double Retry =
        std::clamp(waitMilliseconds(Job, Now), MinimumRetryMilliseconds, MaximumRetryMilliseconds);
    Ended.push_back({Handle, {Verdict, "cannot be done while the caller waits", Retry}});
  }
  for (auto &[Handle, Answer] : Ended)
    if (auto *Job = find(Handle))
      endJob(*Job, std::move(Answer), Now);
  std::vector<JobHandle> Missed;
  for (const auto &Key : Queue_) {
    if (Key.Prospect != JobProspect::InTime || Key.LatestStart >= Now)
      break;
    Missed.push_back(Key.Handle);
  }
  for (auto Handle : Missed) {
    Queue_.remove(Handle);
    enqueue(Jobs_.at(Handle), Now);
  }
}

} // namespace cornellift::kernel
