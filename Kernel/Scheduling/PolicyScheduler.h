#pragma once

#include "Kernel/Scheduler.h"
#include "Kernel/Scheduling/AdmissionPolicy.h"
#include "Kernel/Scheduling/EndpointTable.h"
#include "Kernel/Scheduling/HealthTracker.h"
#include "Kernel/Scheduling/OrderingPolicy.h"
#include "Kernel/Scheduling/PlacementPolicy.h"
#include "Kernel/Scheduling/QuotaLedger.h"
#include "Kernel/Scheduling/ResourceEstimator.h"
#include "Kernel/Scheduling/RetryBudget.h"
#include "Kernel/Scheduling/RunTimeEstimator.h"
#include "Kernel/Scheduling/SpeedEstimator.h"
#include "Kernel/Scheduling/WaitingJobs.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// Scheduler of the daemon and the replay tool. Combines the policies that the configuration names
/// with shared estimators, queues and quota accounting.
class PolicyScheduler final : public Scheduler {
public:
  explicit PolicyScheduler(std::uint64_t Seed);

  void applyConfiguration(std::shared_ptr<const KernelConfiguration> Configuration,
                          core::TimePoint Now) override;
  std::optional<NotRun> admit(JobId Job, const JobSpec &Spec, core::TimePoint Now) override;
  std::optional<Placement> next(core::TimePoint Now) override;
  std::optional<EndpointIndex> placeDelegated(TaskId Task, ServiceIndex Service, KindIndex Kind,
                                              TeamIndex Team, const TaskSpec &Spec,
                                              core::TimePoint Now) override;
  void startRefused(TaskId Task, EndpointIndex Endpoint, StartRefusal Cause,
                    core::TimePoint Now) override;
  void taskEnded(const TaskEnded &Ended, core::TimePoint Now) override;
  void taskLost(TaskId Task, EndpointIndex Endpoint, core::TimePoint Now) override;
  void dropJob(JobId Job, core::TimePoint Now) override;
  void endpointObserved(const EndpointObserved &Observed, core::TimePoint Now) override;
  void slotsChanged(EndpointIndex Endpoint, std::uint32_t Slots, core::TimePoint Now) override;
  std::optional<core::TimePoint> expectedEnd(JobId Job, core::TimePoint Now) const override;
  core::TimePoint statusQueryAt(TaskId Task, EndpointIndex Endpoint,
                                core::TimePoint Now) const override;
  std::optional<EndpointIndex> nextProbe(core::TimePoint Now) override;
  SchedulerLoad load() const override;
  EndpointUsage usage(EndpointIndex Endpoint) const override;
  std::vector<TeamDemand> teamDemands() const override;
  std::vector<ServiceIndex> waitingServices() const override { return Waiting_.services(); }
  void setTeamTargets(std::vector<double> Targets) override {
    Quotas_.setTargets(std::move(Targets));
  }

  /// For reports and tests.
  const EndpointTable &endpoints() const { return Endpoints_; }
  const HealthTracker &health() const { return Health_; }

private:
  struct RunningTask {
    WaitingTask Task;
    EndpointIndex Endpoint{};
    TeamIndex Team{};
    ServiceIndex Service{};
    KindIndex Kind{};
    core::TimePoint Start;
    RunTimeEstimate Estimate;       ///< On a worker of typical speed.
    double LogSpeed = 0;            ///< Logarithm of the endpoint's speed when the task started.
    double MedianRunTime = 0;       ///< Median on this endpoint, in milliseconds.
    double RunTimePercentile95 = 0; ///< 95% quantile on this endpoint, in milliseconds.
  };

  struct EndpointActivity {
    std::vector<const RunningTask *> Running;
    std::uint32_t Refusals = 0; ///< Consecutive starts that were refused for lack of a slot.
    core::TimePoint BackoffUntil;
    core::TimePoint LeavingReportedAt;
  };

  struct DelayedTask {
    TaskId Id;
    WaitingTask Task;
  };

  void choosePolicies(const PolicyConfiguration &Policy);
  WaitingTask makeWaitingTask(const JobSpec &Spec, std::uint32_t Index,
                              const DeclaredRunTime &Declared) const;
  std::optional<NotRun> checkFit(const JobSpec &Spec, const std::vector<WaitingTask> &Tasks) const;
  NotRun jitter(NotRun Refusal, core::TimePoint Now);
  AdmissionView admissionView(const ActiveJob &Job) const;
  double teamSpeed(TeamIndex Team) const;
  double waitingEnd(const ActiveJob &Job) const;

  void retryDelayed(core::TimePoint Now);
  std::optional<std::size_t> pickQueue() const;
  /// Returns the candidate with the longest task if that is much longer than the mean, or null.
  ActiveJob *longTaskJob() const;
  std::optional<Placement> tryJob(ActiveJob &Job, std::uint32_t TasksAhead, core::TimePoint Now);
  std::optional<Placement> tryTask(ActiveJob &Job, TaskChoice Choice, std::uint32_t TasksAhead,
                                   core::TimePoint Now);
  std::optional<EndpointIndex> chooseEndpoint(PlacementRequest &Request, core::TimePoint Now);
  PlacementRequest placementRequest(const ActiveJob &Job, const WaitingTask &Task,
                                    std::uint32_t TasksAhead, core::TimePoint Now) const;
  bool lowerSpeedIfOverdue(EndpointIndex Endpoint, core::TimePoint Now);
  void start(TaskId Id, RunningTask Task, core::TimePoint Now);
  /// Frees the slot and returns the record of the task; empty when it does not run on the endpoint.
  std::optional<RunningTask> release(TaskId Id, EndpointIndex Endpoint);
  void learn(const RunningTask &Task, const TaskEnded &Ended, core::TimePoint Now);
  void backOff(EndpointIndex Endpoint, core::TimePoint Now);
  void updateTaskLimit(EndpointIndex Endpoint, core::TimePoint Now);
  void endBackoffs(core::TimePoint Now);
  void forgetIfDone(JobId Job);
  double messageCost(ServiceIndex Service) const;
  EndpointActivity &activity(EndpointIndex Endpoint);

  std::shared_ptr<const KernelConfiguration> Configuration_;
  std::unique_ptr<PlacementPolicy> Placement_;
  std::unique_ptr<OrderingPolicy> Ordering_;
  std::unique_ptr<AdmissionPolicy> Admission_;
  EndpointTable Endpoints_;
  WaitingJobs Waiting_;
  RunTimeEstimator RunTimes_;
  SpeedEstimator Speeds_;
  ResourceEstimator ResourceNeeds_;
  HealthTracker Health_;
  QuotaLedger Quotas_;
  RetryBudget Retries_;
  std::unordered_map<TaskId, RunningTask> Running_;
  std::vector<EndpointActivity> Activity_;
  std::multimap<core::TimePoint, DelayedTask> Delayed_;
  std::multimap<core::TimePoint, EndpointIndex> Backoffs_;
  double MeanRunTime_ = 300; ///< Milliseconds at typical speed, of recent tasks.
  std::uint64_t Seed_;
  std::mt19937_64 Random_;
  std::vector<ActiveJob *> Candidates_;    ///< Kept between calls to reuse its memory.
  std::vector<std::uint8_t> QueueVisited_; ///< Likewise.
};

/// Creates a PolicyScheduler, which places no task before the first applyConfiguration. The seed
/// determines the jitter of retry times and the random choices of policies; equal seeds and equal
/// calls give equal decisions.
std::unique_ptr<Scheduler> makePolicyScheduler(std::uint64_t Seed);

} // namespace cornellift::kernel
