#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Scheduling/RunTimeEstimator.h"

#include <string>
#include <unordered_map>

namespace cornellift::kernel {

/// Learned run times of the kinds of job, one kind a route.
class JobKindRunTimes {
public:
  /// All kinds belong to this one service of the estimator.
  static constexpr ServiceIndex Service{0};

  JobKindRunTimes();

  /// The kind of a route. The first job's declaration stands in until run times are learned.
  KindIndex kindOf(const std::string &Route, double DeclaredMilliseconds);

  /// Run time of the step's tasks on a worker of typical speed.
  RunTimeEstimate estimate(KindIndex Kind, const JobStep &Step) const;

  /// A task ran for that long on a worker of that speed.
  void learn(KindIndex Kind, const JobStep &Step, double Milliseconds, double Speed,
             core::TimePoint Now);

private:
  static DeclaredRunTime declarationOf(const JobStep &Step);

  KernelConfiguration Configuration_;
  RunTimeEstimator Estimator_;
  std::unordered_map<std::string, KindIndex> KindByRoute_;
};

} // namespace cornellift::kernel
