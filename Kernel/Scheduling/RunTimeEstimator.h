#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Libraries/LibCore/Time.h"

#include <span>
#include <vector>

namespace cornellift::kernel {

/// Log-normal run time on a worker of typical speed.
struct RunTimeEstimate {
  double LogMean = 0; ///< Natural logarithm of milliseconds.
  double LogDeviation = 0;

  double medianMilliseconds() const;
  double meanMilliseconds() const;
  /// Run time that is exceeded with the probability of a normal variable above Score.
  double quantileMilliseconds(double Score) const;
};

/// A task's declared run time, split into what its whole job declares and how the task differs from
/// it. Natural logarithms of milliseconds.
struct DeclaredRunTime {
  float Job = 0;    ///< Mean over the job's tasks that declare a run time.
  float Within = 0; ///< The task's own minus Job.
  bool IsDeclared = false;
};

/// Splits the declarations of a job; one entry per task.
std::vector<DeclaredRunTime> splitDeclarations(std::span<const TaskSpec> Tasks);

/// Learns run times per service and kind. The estimate is linear in the two parts of the declared
/// run time, fitted by least squares over decaying evidence. Declarations that say nothing get a
/// slope of zero; when a caller is wrong by one factor for whole jobs, the differences inside each
/// job are still believed.
class RunTimeEstimator {
public:
  void configure(const KernelConfiguration &Configuration);

  RunTimeEstimate estimate(ServiceIndex Service, KindIndex Kind,
                           const DeclaredRunTime &Declared) const;

  /// LogMilliseconds is the measured run time scaled to a worker of typical speed.
  void learn(ServiceIndex Service, KindIndex Kind, const DeclaredRunTime &Declared,
             double LogMilliseconds, core::TimePoint Now);

private:
  /// Decaying sums; Y is the measured logarithm.
  struct Evidence {
    double PriorLog = 0;
    double Weight = 0;
    double SumY = 0;
    double SumJob = 0;
    double SumJobJob = 0;
    double SumJobY = 0;
    double SumWithinWithin = 0;
    double SumWithinY = 0; ///< Y less its mean at the time.
    double SumError = 0;   ///< Squares of the errors of the estimates at the time.
    core::TimePoint LastDecay;
  };

  /// The fitted line.
  struct Line {
    double MeanY = 0;
    double MeanJob = 0;
    double JobSlope = 0;
    double WithinSlope = 0;
  };

  const Evidence *find(ServiceIndex Service, KindIndex Kind) const;
  static Line fit(const Evidence &Kind);
  static double predict(const Line &Fitted, const DeclaredRunTime &Declared);
  void decay(Evidence &Kind, core::TimePoint Now) const;

  std::vector<std::vector<Evidence>> Kinds_; ///< By service, then kind.
  double HalfLifeSeconds_ = 300;
};

} // namespace cornellift::kernel
