#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/KernelConfiguration.h"
#include "Kernel/Pool/JobKey.h"
#include "Kernel/Pool/Worker.h"
#include "Kernel/Scheduling/HealthTracker.h"
#include "Kernel/Scheduling/SpeedEstimator.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// Learns from past runs how fast each worker is and whether its tasks fail. Handles workers of
/// different and changing speed, and workers that report to be healthy but fail their tasks.
class WorkerRatings {
public:
  /// Adds a worker; to be called when it is first seen or its entry has changed.
  void addOrUpdateWorker(EndpointIndex Worker, const WorkerEntry &Entry);

  /// Speed relative to a typical worker.
  double speed(EndpointIndex Worker) const;

  /// Maximum number of tasks that the worker may run; zero while it is excluded.
  std::uint32_t taskLimit(EndpointIndex Worker) const { return Health_.taskLimit(Worker); }

  /// Records a successful run. Ratio is the expected time on a typical worker divided by the actual
  /// time, Deviation the standard deviation of the natural logarithm of such ratios.
  void recordSuccess(EndpointIndex Worker, KindIndex Kind, double Ratio, double Deviation,
                     core::TimePoint Now);

  /// The same for a run whose time does not show the worker's speed, as on a cold worker.
  void recordSuccess(EndpointIndex Worker, KindIndex Kind);

  /// Records a task that failed or made no progress.
  void recordFailure(EndpointIndex Worker, KindIndex Kind, JobKey Job, core::TimePoint Now);

  /// Readmits workers that have been excluded for long enough, on probation.
  void tick(core::TimePoint Now);

private:
  /// What a worker's speed depends on, from its entry.
  static std::string machineTypeOf(const WorkerEntry &Entry);

  KernelConfiguration Configuration_;
  HealthTracker Health_;
  SpeedEstimator Speeds_;
  std::unordered_map<std::string, std::uint32_t> GroupBySize_;
  std::vector<std::string> MachineTypes_; ///< By worker.
};

} // namespace cornellift::kernel
