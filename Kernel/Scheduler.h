#pragma once

#include "Kernel/Event.h"
#include "Kernel/Identifiers.h"
#include "Kernel/Job.h"
#include "Kernel/KernelConfiguration.h"
#include "Kernel/Outcome.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cornellift::kernel {

/// A waiting task and the endpoint with a free slot that it goes to.
struct Placement {
  TaskId Task;
  EndpointIndex Endpoint{};
};

/// Totals that peers use to lend slots and to delegate tasks.
struct SchedulerLoad {
  std::uint32_t WaitingTasks = 0;
  std::uint32_t RunningTasks = 0;
  std::uint32_t FreeSlots = 0; ///< On endpoints that are live, reachable and not ejected.
};

/// Usage of one endpoint by this process.
struct EndpointUsage {
  std::uint32_t Used = 0; ///< Slots with a task.
  std::uint32_t Free = 0; ///< Slots that may take a task now; zero while the endpoint is unusable.
  /// Tasks that the endpoint can take in addition to Used, regardless of how many of its slots this
  /// process holds; zero while the endpoint is unusable or on probation.
  std::uint32_t AdditionalCapacity = 0;
  double LogSpeed = 0;
};

/// Tasks of a team on one entry VM, waiting and running.
struct TeamDemand {
  TeamIndex Team{};
  std::uint32_t Tasks = 0;
};

/// Decides which jobs are accepted, which task starts next, and on which endpoint. The Dispatcher
/// enforces which tasks may start; the Scheduler only chooses among waiting tasks and free slots.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  virtual void applyConfiguration(std::shared_ptr<const KernelConfiguration> Configuration,
                                  core::TimePoint Now) = 0;

  /// Returns the refusal, or an empty optional when the job's tasks are now waiting.
  virtual std::optional<NotRun> admit(JobId Job, const JobSpec &Spec, core::TimePoint Now) = 0;

  /// Returns the next start and counts its slot as used, or an empty optional when nothing should
  /// start now. Called until it returns an empty optional.
  virtual std::optional<Placement> next(core::TimePoint Now) = 0;

  /// Chooses an endpoint for a delegated task, which does not wait, and counts its slot as used.
  virtual std::optional<EndpointIndex> placeDelegated(TaskId Task, ServiceIndex Service,
                                                      KindIndex Kind, TeamIndex Team,
                                                      const TaskSpec &Spec,
                                                      core::TimePoint Now) = 0;

  /// The task did not start: frees the slot. The task waits again unless its job was dropped.
  virtual void startRefused(TaskId Task, EndpointIndex Endpoint, StartRefusal Cause,
                            core::TimePoint Now) = 0;

  /// The task ended on the endpoint: frees the slot and updates the estimates from its run time and
  /// resource use.
  virtual void taskEnded(const TaskEnded &Ended, core::TimePoint Now) = 0;

  /// The end of the task will never be known: frees the slot.
  virtual void taskLost(TaskId Task, EndpointIndex Endpoint, core::TimePoint Now) = 0;

  /// Removes the job's waiting tasks. Running ones are still reported with taskEnded or taskLost.
  virtual void dropJob(JobId Job, core::TimePoint Now) = 0;

  virtual void endpointObserved(const EndpointObserved &Observed, core::TimePoint Now) = 0;
  virtual void slotsChanged(EndpointIndex Endpoint, std::uint32_t Slots, core::TimePoint Now) = 0;

  /// When the job's last task is expected to end; empty when the job is unknown.
  virtual std::optional<core::TimePoint> expectedEnd(JobId Job, core::TimePoint Now) const = 0;

  /// When to query the status of a running task that has not answered; later than nearly all tasks
  /// of its kind end.
  virtual core::TimePoint statusQueryAt(TaskId Task, EndpointIndex Endpoint,
                                        core::TimePoint Now) const = 0;

  /// Returns an endpoint that is due for a status probe now, or an empty optional. Called until it
  /// returns an empty optional.
  virtual std::optional<EndpointIndex> nextProbe(core::TimePoint Now) = 0;

  virtual SchedulerLoad load() const = 0;

  /// Decides which slots may be lent to peers. The default lends none.
  virtual EndpointUsage usage(EndpointIndex /*Endpoint*/) const { return {}; }

  /// Teams with waiting or running tasks.
  virtual std::vector<TeamDemand> teamDemands() const { return {}; }

  /// Services of the waiting tasks. Empty means any.
  virtual std::vector<ServiceIndex> waitingServices() const { return {}; }

  /// Sets the slots that each team is entitled to on this entry VM in overload, indexed by team;
  /// when empty, the configured shares apply.
  // NOLINTNEXTLINE(performance-unnecessary-value-param): implementations keep the vector.
  virtual void setTeamTargets(std::vector<double> /*Targets*/) {}
};

} // namespace cornellift::kernel
