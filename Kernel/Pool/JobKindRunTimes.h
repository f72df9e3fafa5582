#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Scheduling/RunTimeEstimator.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// Learned run times by kind of job; each route is one kind.
class JobKindRunTimes {
public:
  /// The estimator groups kinds by service; all kinds belong to this single one.
  static constexpr ServiceIndex Service{0};

  JobKindRunTimes();

  /// Returns the kind of a route and adds it if it is new. The declared run time of its first job
  /// is the estimate until run times have been learned.
  KindIndex kindOf(const std::string &Route, double DeclaredMilliseconds);

  /// Estimates the run time of the step's tasks on a worker of typical speed.
  RunTimeEstimate estimate(KindIndex Kind, const JobStep &Step) const;

  /// Learns from a finished task, given its run time and the relative speed of its worker.
  void learn(KindIndex Kind, const JobStep &Step, double Milliseconds, double Speed,
             core::TimePoint Now);

  /// Counts a new job.
  void jobCame(KindIndex Kind);
  /// Counts one of these jobs whose tasks were found to take several times as long as expected
  /// (OverlongFactor).
  void jobIsOverlong(KindIndex Kind);
  /// Share of the kind's recent jobs that were found to be overlong. Known as soon as their runs
  /// show it, while estimates follow only when these have ended.
  double overlongShare(KindIndex Kind) const;

private:
  struct RecentCounts {
    double Jobs = 0;
    double Overlong = 0;
  };

  static DeclaredRunTime declarationOf(const JobStep &Step);

  KernelConfiguration Configuration_;
  RunTimeEstimator Estimator_;
  std::unordered_map<std::string, KindIndex> KindByRoute_;
  std::vector<RecentCounts> Recent_; ///< By kind.
};

} // namespace cornellift::kernel
