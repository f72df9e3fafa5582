#pragma once

#include "Kernel/Scheduler.h"

#include <deque>
#include <map>

namespace cornellift::kernel {

/// Starts waiting tasks in order of arrival on the next endpoint with a free slot, in rotation.
class RoundRobinScheduler : public Scheduler {
public:
  static constexpr core::Duration StatusQueryDelay = std::chrono::milliseconds(500);

  void applyConfiguration(std::shared_ptr<const KernelConfiguration> Configuration,
                          core::TimePoint) override {
    for (std::uint32_t Index = 0; Index < Configuration->Endpoints.size(); ++Index)
      Slots_.emplace(EndpointIndex{Index}, Configuration->Endpoints[Index].Slots);
  }

  std::optional<NotRun> admit(JobId Job, const JobSpec &Spec, core::TimePoint) override {
    if (AdmissionLimit && Waiting_.size() + Spec.Tasks.size() > *AdmissionLimit)
      return NotRun{core::ErrorKind::Overloaded, "the test's queue is full", std::nullopt};
    for (std::uint32_t Index = 0; Index < Spec.Tasks.size(); ++Index)
      Waiting_.push_back({Job, Index});
    return std::nullopt;
  }

  std::optional<Placement> next(core::TimePoint) override {
    auto Free = Waiting_.empty() ? std::nullopt : freeEndpoint(EndpointIndex{~0U});
    if (!Free)
      return std::nullopt;
    auto Task = Waiting_.front();
    Waiting_.pop_front();
    occupy(Task, *Free, AfterRefusal::Requeue);
    return Placement{Task, *Free};
  }

  std::optional<EndpointIndex> placeDelegated(TaskId Task, ServiceIndex, KindIndex, TeamIndex,
                                              const TaskSpec &, core::TimePoint) override {
    auto Free = freeEndpoint(LocalEndpoints);
    if (Free)
      occupy(Task, *Free, AfterRefusal::Drop);
    return Free;
  }

  void startRefused(TaskId Task, EndpointIndex Endpoint, StartRefusal, core::TimePoint) override {
    if (release(Task, Endpoint) == AfterRefusal::Requeue)
      Waiting_.push_back(Task);
  }

  void taskEnded(const TaskEnded &Ended, core::TimePoint) override {
    release(Ended.Task, Ended.Endpoint);
  }

  void taskLost(TaskId Task, EndpointIndex Endpoint, core::TimePoint) override {
    release(Task, Endpoint);
  }

  void dropJob(JobId Job, core::TimePoint) override {
    std::erase_if(Waiting_, [Job](TaskId Task) { return Task.Job == Job; });
    for (auto &[Task, Refusal] : Running_)
      if (Task.Job == Job)
        Refusal = AfterRefusal::Drop;
  }

  void endpointObserved(const EndpointObserved &, core::TimePoint) override {}

  void slotsChanged(EndpointIndex Endpoint, std::uint32_t Slots, core::TimePoint) override {
    Slots_[Endpoint] = Slots;
  }

  std::optional<core::TimePoint> expectedEnd(JobId, core::TimePoint) const override {
    return ExpectedEnd;
  }

  core::TimePoint statusQueryAt(TaskId, EndpointIndex, core::TimePoint Now) const override {
    return Now + StatusQueryDelay;
  }

  std::optional<EndpointIndex> nextProbe(core::TimePoint) override { return std::nullopt; }

  SchedulerLoad load() const override {
    return {static_cast<std::uint32_t>(Waiting_.size()),
            static_cast<std::uint32_t>(Running_.size()), 0};
  }

  std::optional<std::size_t> AdmissionLimit;
  std::optional<core::TimePoint> ExpectedEnd;
  EndpointIndex LocalEndpoints{~0U}; ///< Delegated tasks go to endpoints below this one.

private:
  enum class AfterRefusal { Requeue, Drop };

  std::optional<EndpointIndex> freeEndpoint(EndpointIndex Bound) {
    auto Next = Slots_.upper_bound(Last_);
    for (std::size_t Left = Slots_.size(); Left > 0; --Left, ++Next) {
      if (Next == Slots_.end())
        Next = Slots_.begin();
      if (Next->first < Bound && Next->second > Used_[Next->first])
        return Last_ = Next->first;
    }
    return std::nullopt;
  }

  void occupy(TaskId Task, EndpointIndex Endpoint, AfterRefusal Refusal) {
    ++Used_[Endpoint];
    Running_[Task] = Refusal;
  }

  AfterRefusal release(TaskId Task, EndpointIndex Endpoint) {
    --Used_[Endpoint];
    auto Refusal = Running_.at(Task);
    Running_.erase(Task);
    return Refusal;
  }

  EndpointIndex Last_{~0U};
  std::map<EndpointIndex, std::uint32_t> Slots_;
  std::map<EndpointIndex, std::uint32_t> Used_;
  std::map<TaskId, AfterRefusal> Running_;
  std::deque<TaskId> Waiting_;
};

} // namespace cornellift::kernel
