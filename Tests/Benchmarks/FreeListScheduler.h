#pragma once

#include "Kernel/Scheduler.h"

#include <deque>
#include <vector>

namespace cornellift::kernel {

/// Takes constant time per call, so that a benchmark shows the cost of the Dispatcher alone.
class FreeListScheduler : public Scheduler {
public:
  void applyConfiguration(std::shared_ptr<const KernelConfiguration> Configuration,
                          core::TimePoint) override {
    for (std::uint32_t Index = 0; Index < Configuration->Endpoints.size(); ++Index)
      Free_.insert(Free_.end(), Configuration->Endpoints[Index].Slots, EndpointIndex{Index});
  }

  std::optional<NotRun> admit(JobId Job, const JobSpec &Spec, core::TimePoint) override {
    for (std::uint32_t Index = 0; Index < Spec.Tasks.size(); ++Index)
      Waiting_.push_back({Job, Index});
    return std::nullopt;
  }

  std::optional<Placement> next(core::TimePoint) override {
    if (Waiting_.empty() || Free_.empty())
      return std::nullopt;
    Placement Choice{Waiting_.front(), Free_.back()};
    Waiting_.pop_front();
    Free_.pop_back();
    return Choice;
  }

  std::optional<EndpointIndex> placeDelegated(TaskId, ServiceIndex, KindIndex, TeamIndex,
                                              const TaskSpec &, core::TimePoint) override {
    return std::nullopt;
  }

  void startRefused(TaskId, EndpointIndex, StartRefusal, core::TimePoint) override {}
  void taskEnded(const TaskEnded &Ended, core::TimePoint) override {
    Free_.push_back(Ended.Endpoint);
  }
  void taskLost(TaskId, EndpointIndex, core::TimePoint) override {}
  void dropJob(JobId, core::TimePoint) override {}
  void endpointObserved(const EndpointObserved &, core::TimePoint) override {}
  void slotsChanged(EndpointIndex, std::uint32_t, core::TimePoint) override {}
  std::optional<core::TimePoint> expectedEnd(JobId, core::TimePoint) const override { return {}; }
  core::TimePoint statusQueryAt(TaskId, EndpointIndex, core::TimePoint Now) const override {
    return Now + std::chrono::seconds(2);
  }
  std::optional<EndpointIndex> nextProbe(core::TimePoint) override { return std::nullopt; }
  SchedulerLoad load() const override { return {}; }

private:
  std::vector<EndpointIndex> Free_;
  std::deque<TaskId> Waiting_;
};

} // namespace cornellift::kernel
