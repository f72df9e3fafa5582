// The waiting jobs: their order, and which of them are rejected or given up.
#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// A job is given up when even this share of its expected run time is left only; estimates are
/// rough.
constexpr double MinimumRunTimeShare = 0.7;
/// Bound on speeds, so that an unknown fleet does not look endlessly slow.
constexpr double SlowestSpeed = 0.1;
/// Bounds on the time after which a rejected caller is asked to come back.
constexpr double ShortestRetry = 200;
constexpr double LongestRetry = 5000;

} // namespace

double PoolManager::shortestRunTime(const PoolJob &Job) const {
  double Longest = 0;
  for (const auto &Step : Job.Steps)
    if (Step.Waiting > 0)
      Longest = std::max(Longest, Step.TypicalMilliseconds);
  return Longest / std::max(FastestSpeed_, SlowestSpeed);
}

std::optional<JobAnswer> PoolManager::rejectionFor(const PoolJob &Job, core::TimePoint Now) const {
  if (hasCapacityFor(Job, Now))
    return std::nullopt;
  double Wait = waitMilliseconds(Job);
  auto Start = Now + core::fromMilliseconds(Wait);
  auto Run = core::fromMilliseconds(shortestRunTime(Job));
  if (Wait <= 0 || Start + Run <= Job.UsefulUntil)
    return std::nullopt;
  return JobAnswer{JobVerdict::Rejected, "too much work waits for the workers",
                   std::clamp(Wait, ShortestRetry, LongestRetry)};
}

double PoolManager::waitMilliseconds(const PoolJob &Job) const {
  // Work ahead over the rate at which the workers do work, each with as many tasks as fit.
  if (Queue_.empty())
    return 0;
  const auto &Need = Job.Order->Steps.front().Need;
  double Rate = 0;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    const auto &Known = Fleet_.at(Index);
    if (Known.Lease != LeaseState::Held || Known.FailedPolls > 0)
      continue;
    double Places = Need.Processors > 0
                        ? std::floor(Known.Entry.Capacity.Processors / Need.Processors)
                        : Known.Entry.Slots;
    Rate += std::min<double>(Places, Known.Entry.Slots) * Ratings_.speed(Index);
  }
  return Rate > 0 ? WaitingMilliseconds_ / Rate : 0;
}

void PoolManager::enqueue(const PoolJob &Job, core::TimePoint Now) {
  if (Job.waiting() == 0 || QueueKeys_.contains(Job.Handle) || Job.OrphanedUntil)
    return;
  QueueKey Key{Now > Job.LatestStart, Job.LatestStart, Job.Handle};
  QueueKeys_[Job.Handle] = Key;
  Queue_.insert(Key);
}

void PoolManager::dequeue(JobHandle Handle) {
  auto Found = QueueKeys_.find(Handle);
  if (Found == QueueKeys_.end())
    return;
  Queue_.erase(Found->second);
  QueueKeys_.erase(Found);
}

void PoolManager::rejectUnattainable(core::TimePoint Now) {
  auto Rate = PlacementRate_.value();
  if (Rate <= 0)
    return;
  std::vector<JobHandle> Unattainable;
  double Ahead = 0;
  for (const auto &Key : Queue_) {
    const auto &Job = Jobs_.at(Key.Handle);
    auto Start = Now + core::fromMilliseconds(Ahead / Rate);
    if (!Job.HasStarted &&
        Start + core::fromMilliseconds(shortestRunTime(Job) * MinimumRunTimeShare) >
            Job.UsefulUntil) {
      Unattainable.push_back(Key.Handle);
      continue;
    }
    for (const auto &Step : Job.Steps)
      Ahead += Step.Waiting * Step.TypicalMilliseconds;
  }
  double Retry = std::clamp(Ahead / Rate, ShortestRetry, LongestRetry);
  for (auto Handle : Unattainable)
    if (auto *Job = find(Handle))
      endJob(*Job, {JobVerdict::Rejected, "the work ahead leaves no time for it", Retry}, Now);
}

void PoolManager::expireJobs(core::TimePoint Now) {
  std::vector<std::pair<JobHandle, JobAnswer>> Ended;
  for (const auto &[Handle, Job] : Jobs_) {
    if (Job.IsEnding || Job.IsDelegation)
      continue;
    if (Job.OrphanedUntil && Now >= *Job.OrphanedUntil) {
      Ended.push_back({Handle, {JobVerdict::GivenUp, "its entry process is lost", 0}});
      continue;
    }
    // A task that still waits needs its run time on the fastest worker.
    auto Limit =
        Job.waiting() > 0
            ? Job.UsefulUntil - core::fromMilliseconds(shortestRunTime(Job) * MinimumRunTimeShare)
            : Job.UsefulUntil;
    if (Now < Limit)
      continue;
    auto Verdict = Job.HasStarted ? JobVerdict::GivenUp : JobVerdict::Rejected;
    double Retry = std::clamp(waitMilliseconds(Job), ShortestRetry, LongestRetry);
    Ended.push_back({Handle, {Verdict, "cannot be done while the caller waits", Retry}});
  }
  for (auto &[Handle, Answer] : Ended)
    if (auto *Job = find(Handle))
      endJob(*Job, std::move(Answer), Now);
  std::vector<JobHandle> Missed;
  for (const auto &Key : Queue_) {
    if (Key.HasMissed || Key.LatestStart >= Now)
      break;
    Missed.push_back(Key.Handle);
  }
  for (auto Handle : Missed) {
    dequeue(Handle);
    enqueue(Jobs_.at(Handle), Now);
  }
}

} // namespace cornellift::kernel
