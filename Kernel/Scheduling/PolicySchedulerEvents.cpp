// What the scheduler learns from ends, refusals and observations.

#include "Kernel/Scheduling/PolicyScheduler.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

constexpr core::Duration InitialBackoff = std::chrono::milliseconds(20);
constexpr std::uint32_t MaximumBackoffDoublings = 6;
constexpr double RetryMilliseconds = 100;
/// An endpoint that was marked as leaving, by its own refusal or by the platform's list, may still
/// call itself live, as may a list that lags.
constexpr core::Duration LeavingHoldTime = std::chrono::seconds(10);
constexpr double MeanShare = 0.01;

} // namespace

std::optional<PolicyScheduler::RunningTask> PolicyScheduler::release(TaskId Id,
                                                                     EndpointIndex Endpoint) {
  auto Found = Running_.find(Id);
  if (Found == Running_.end() || Found->second.Endpoint != Endpoint)
    return std::nullopt;
  std::erase(activity(Endpoint).Running, &Found->second);
  auto Task = Found->second;
  Running_.erase(Found);
  Endpoints_.vacate(Endpoint, Task.Task.need());
  Quotas_.ended(Task.Team);
  if (auto *Job = Waiting_.find(Id.Job))
    --Job->Running;
  return Task;
}

void PolicyScheduler::forgetIfDone(JobId Job) {
  const auto *Known = Waiting_.find(Job);
  if (Known && Known->Running == 0 && Known->Delayed == 0 && Known->Tasks.empty())
    Waiting_.erase(Job);
}

void PolicyScheduler::startRefused(TaskId Task, EndpointIndex Endpoint, StartRefusal Cause,
                                   core::TimePoint Now) {
  auto Refused = release(Task, Endpoint);
  if (Cause == StartRefusal::Leaving) {
    activity(Endpoint).LeavingReportedAt = Now;
    Endpoints_.setLeaving(Endpoint, true);
  } else if (Cause == StartRefusal::NotSent) {
    Health_.unreachable(Endpoint, Now);
    updateTaskLimit(Endpoint, Now);
  } else if (Cause == StartRefusal::NoSlot) {
    backOff(Endpoint, Now);
  }
  auto *Job = Waiting_.find(Task.Job);
  if (!Refused || !Job)
    return;
  if (Retries_.take(Now)) {
    Waiting_.requeue(*Job, Refused->Task);
    return;
  }
  ++Job->Delayed;
  std::uniform_real_distribution<double> Factor(0.5, 1.5);
  Delayed_.emplace(Now + core::fromMilliseconds(RetryMilliseconds * Factor(Random_)),
                   DelayedTask{Task, Refused->Task});
}

void PolicyScheduler::learn(const RunningTask &Task, const TaskEnded &Ended, core::TimePoint Now) {
  auto Measured = Ended.RunTime.count() > 0 ? Ended.RunTime : Now - Task.Start;
  double LogRunTime = std::log(std::max(0.1, core::toMilliseconds(Measured)));
  double LogSpeed = Speeds_.logSpeed(Task.Endpoint);
  RunTimes_.learn(Task.Service, Task.Kind, Task.Task.Declared, LogRunTime + LogSpeed, Now);
  Speeds_.learn(Task.Endpoint, Task.Estimate.LogMean - LogRunTime, Task.Estimate.LogDeviation, Now);
  ResourceNeeds_.learn(Task.Service, Task.Kind, Ended.Used);
  Endpoints_.setLogSpeed(Task.Endpoint, Speeds_.logSpeed(Task.Endpoint));
  MeanRunTime_ += MeanShare * (std::exp(LogRunTime + LogSpeed) - MeanRunTime_);
}

void PolicyScheduler::taskEnded(const TaskEnded &Ended, core::TimePoint Now) {
  auto Task = release(Ended.Task, Ended.Endpoint);
  if (!Task)
    return;
  activity(Ended.Endpoint).Refusals = 0;
  if (Ended.Verdict == TaskVerdict::Finished) {
    learn(*Task, Ended, Now);
    Health_.succeeded(Ended.Endpoint, Task->Service, Task->Kind);
  } else {
    for (auto Readmitted :
         Health_.failed(Ended.Endpoint, Ended.Task.Job, Task->Service, Task->Kind, Now))
      updateTaskLimit(Readmitted, Now);
  }
  updateTaskLimit(Ended.Endpoint, Now);
  forgetIfDone(Ended.Task.Job);
}

void PolicyScheduler::taskLost(TaskId Task, EndpointIndex Endpoint, core::TimePoint Now) {
  release(Task, Endpoint);
  Health_.unreachable(Endpoint, Now);
  updateTaskLimit(Endpoint, Now);
  forgetIfDone(Task.Job);
}

void PolicyScheduler::dropJob(JobId Job, core::TimePoint /*Now*/) { Waiting_.erase(Job); }

void PolicyScheduler::endpointObserved(const EndpointObserved &Observed, core::TimePoint Now) {
  if (static_cast<std::size_t>(Observed.Endpoint) >= Endpoints_.size())
    return;
  bool Leaving = Observed.State == EndpointObserved::Standing::Leaving;
  auto &Mark = activity(Observed.Endpoint).LeavingReportedAt;
  if (Leaving)
    Mark = Now;
  if (Leaving || Mark == core::TimePoint{} || Now - Mark > LeavingHoldTime)
    Endpoints_.setLeaving(Observed.Endpoint, Leaving);
  if (Observed.Reachability == EndpointObserved::Reach::Reachable)
    Health_.answered(Observed.Endpoint, Now);
  else if (Observed.Reachability == EndpointObserved::Reach::Unreachable)
    Health_.unreachable(Observed.Endpoint, Now);
  updateTaskLimit(Observed.Endpoint, Now);
}

void PolicyScheduler::slotsChanged(EndpointIndex Endpoint, std::uint32_t Slots,
                                   core::TimePoint Now) {
  if (static_cast<std::size_t>(Endpoint) >= Endpoints_.size())
    return;
  Endpoints_.setSlots(Endpoint, Slots);
  Health_.setHeld(Endpoint, Slots > 0);
  updateTaskLimit(Endpoint, Now);
}

void PolicyScheduler::backOff(EndpointIndex Endpoint, core::TimePoint Now) {
  auto &Known = activity(Endpoint);
  auto Doublings = std::min(Known.Refusals++, MaximumBackoffDoublings);
  Known.BackoffUntil = Now + InitialBackoff * (1U << Doublings);
  Backoffs_.emplace(Known.BackoffUntil, Endpoint);
  updateTaskLimit(Endpoint, Now);
}

void PolicyScheduler::endBackoffs(core::TimePoint Now) {
  while (!Backoffs_.empty() && Backoffs_.begin()->first <= Now) {
    auto Endpoint = Backoffs_.begin()->second;
    Backoffs_.erase(Backoffs_.begin());
    updateTaskLimit(Endpoint, Now);
  }
}

void PolicyScheduler::updateTaskLimit(EndpointIndex Endpoint, core::TimePoint Now) {
  bool Paused = Now < activity(Endpoint).BackoffUntil;
  Endpoints_.setTaskLimit(Endpoint, Paused ? 0 : Health_.taskLimit(Endpoint),
                          Health_.isOnProbation(Endpoint));
}

} // namespace cornellift::kernel
