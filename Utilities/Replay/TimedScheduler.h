#pragma once

#include "Kernel/Scheduling/PolicyScheduler.h"

#include <cstdint>
#include <vector>

namespace cornellift::replay {

/// Time spent in the scheduler, in nanoseconds.
struct DecisionTimes {
  std::vector<std::uint32_t> Next; ///< One entry per call of next().
  std::uint64_t Placements = 0;    ///< Calls of next() that returned a placement.
  std::uint64_t Total = 0;         ///< Over all measured calls.
};

/// Forwards every call to a PolicyScheduler and measures the time of the calls for jobs, tasks and
/// probes.
class TimedScheduler final : public kernel::Scheduler {
public:
  /// Times must outlive the scheduler.
  TimedScheduler(std::uint64_t Seed, DecisionTimes &Times) : Inner_(Seed), Times_(Times) {}

  void applyConfiguration(std::shared_ptr<const kernel::KernelConfiguration> Configuration,
                          core::TimePoint Now) override;
  std::optional<kernel::NotRun> admit(kernel::JobId Job, const kernel::JobSpec &Spec,
                                      core::TimePoint Now) override;
  std::optional<kernel::Placement> next(core::TimePoint Now) override;
  std::optional<kernel::EndpointIndex>
  placeDelegated(kernel::TaskId Task, kernel::ServiceIndex Service, kernel::KindIndex Kind,
                 kernel::TeamIndex Team, const kernel::TaskSpec &Spec,
                 core::TimePoint Now) override;
  void startRefused(kernel::TaskId Task, kernel::EndpointIndex Endpoint, kernel::StartRefusal Cause,
                    core::TimePoint Now) override;
  void taskEnded(const kernel::TaskEnded &Ended, core::TimePoint Now) override;
  void taskLost(kernel::TaskId Task, kernel::EndpointIndex Endpoint, core::TimePoint Now) override;
  void dropJob(kernel::JobId Job, core::TimePoint Now) override;
  void endpointObserved(const kernel::EndpointObserved &Observed, core::TimePoint Now) override;
  void slotsChanged(kernel::EndpointIndex Endpoint, std::uint32_t Slots,
                    core::TimePoint Now) override;
  std::optional<core::TimePoint> expectedEnd(kernel::JobId Job, core::TimePoint Now) const override;
  core::TimePoint statusQueryAt(kernel::TaskId Task, kernel::EndpointIndex Endpoint,
                                core::TimePoint Now) const override;
  std::optional<kernel::EndpointIndex> nextProbe(core::TimePoint Now) override;
  kernel::SchedulerLoad load() const override { return Inner_.load(); }
  kernel::EndpointUsage usage(kernel::EndpointIndex Endpoint) const override {
    return Inner_.usage(Endpoint);
  }
  std::vector<kernel::TeamDemand> teamDemands() const override { return Inner_.teamDemands(); }
  std::vector<kernel::ServiceIndex> waitingServices() const override {
    return Inner_.waitingServices();
  }
  void setTeamTargets(std::vector<double> Targets) override {
    Inner_.setTeamTargets(std::move(Targets));
  }

  const kernel::PolicyScheduler &inner() const { return Inner_; }

private:
  kernel::PolicyScheduler Inner_;
  DecisionTimes &Times_;
};

} // namespace cornellift::replay
