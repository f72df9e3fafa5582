#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <vector>

namespace cornellift::kernel {

/// Learns the speed of each endpoint relative to the estimate of run times; 1 is typical.
class SpeedEstimator {
public:
  void resize(std::size_t Endpoints);

  double logSpeed(EndpointIndex Endpoint) const;

  /// LogRatio is the logarithm of the expected run time over the measured one. Deviation is the
  /// spread of such ratios on a worker of constant speed.
  void learn(EndpointIndex Endpoint, double LogRatio, double Deviation, core::TimePoint Now);

private:
  struct Evidence {
    double Weight = 0;
    double Sum = 0;
    double Recent = 0; ///< Mean of the last few samples, to notice a sudden change.
    double RecentWeight = 0;
    core::TimePoint LastDecay;
  };

  std::vector<Evidence> Endpoints_;
};

} // namespace cornellift::kernel
