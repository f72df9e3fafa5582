#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Libraries/LibCore/Time.h"

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

/// Learns run times per service and kind. The estimate is a line in the logarithm of the declared
/// run time, fitted by least squares over decaying evidence: declarations that say nothing get a
/// slope of zero, and declarations that are all wrong by one factor are corrected by it.
class RunTimeEstimator {
public:
  void configure(const KernelConfiguration &Configuration);

  RunTimeEstimate estimate(ServiceIndex Service, KindIndex Kind, core::Duration Declared) const;

  /// LogMilliseconds is the measured run time scaled to a worker of typical speed.
  void learn(ServiceIndex Service, KindIndex Kind, core::Duration Declared, double LogMilliseconds,
             core::TimePoint Now);

private:
  struct Evidence {
    double PriorLog = 0;
    double Weight = 0;
    double SumX = 0;
    double SumY = 0;
    double SumXX = 0;
    double SumXY = 0;
    double SumYY = 0;
    core::TimePoint LastDecay;
  };

  const Evidence *find(ServiceIndex Service, KindIndex Kind) const;
  void decay(Evidence &Kind, core::TimePoint Now) const;

  std::vector<std::vector<Evidence>> Kinds_; ///< By service, then kind.
  double HalfLifeSeconds_ = 300;
};

} // namespace cornellift::kernel
