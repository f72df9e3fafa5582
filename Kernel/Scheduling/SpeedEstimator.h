#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <vector>

namespace cornellift::kernel {

/// Learns the speed of each endpoint relative to the others; 1 is typical.
///
/// Estimates of run times may be wrong by a common factor, and are learned from run times that were
/// scaled by these speeds. Without the comparison with the others, such a factor would stay as the
/// speed of the endpoints that are used most, and the others would look slow.
class SpeedEstimator {
public:
  void resize(std::size_t Endpoints);

  /// Zero without evidence.
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

  /// Mean over the samples of all endpoints.
  double typicalLog() const;

  std::vector<Evidence> Endpoints_;
  double TotalWeight_ = 0;
  double TotalSum_ = 0;
};

} // namespace cornellift::kernel
