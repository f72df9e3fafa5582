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

/// What experience says of the workers: how fast each one is, and whether its tasks fail. Answers
/// workers of different and changing speed, and workers that look healthy and fail what they run.
class WorkerRatings {
public:
  /// Makes room for the worker; called when it is first seen or its entry has changed.
  void addOrUpdateWorker(EndpointIndex Worker, const WorkerEntry &Entry);

  /// Relative to a typical worker.
  double speed(EndpointIndex Worker) const;

  /// Bound on the tasks that the worker may run; zero while it is left out.
  std::uint32_t taskLimit(EndpointIndex Worker) const { return Health_.taskLimit(Worker); }

  /// A task ran to its end. Ratio is the time that was expected on a typical worker over the time
  /// that it took, Deviation the spread of such ratios in natural logarithms.
  void recordSuccess(EndpointIndex Worker, KindIndex Kind, double Ratio, double Deviation,
                     core::TimePoint Now);

  /// A task failed, or stood still.
  void recordFailure(EndpointIndex Worker, KindIndex Kind, JobKey Job, core::TimePoint Now);

  /// Lets workers that have been left out for long enough take a task on trial.
  void tick(core::TimePoint Now);

private:
  KernelConfiguration Configuration_;
  HealthTracker Health_;
  SpeedEstimator Speeds_;
  std::unordered_map<std::string, std::uint32_t> GroupBySize_;
};

} // namespace cornellift::kernel
