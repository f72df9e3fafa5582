#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornellift::kernel {

/// Estimates the speed of each endpoint relative to the others; 1 is typical.
///
/// Run time estimates may be wrong by a common factor, and are learned from run times that were
/// scaled by these speeds. Without the comparison with the other endpoints, such a factor would
/// persist as the speed of the endpoints that are used most, and the others would look slow.
class SpeedEstimator {
public:
  void resize(std::size_t Endpoints);

  /// Endpoints of one group tend to be equally fast, so an endpoint without evidence of its own
  /// gets the speed of its group. All endpoints start in group zero.
  void assignGroup(EndpointIndex Endpoint, std::uint32_t Group);

  /// Drops the evidence for an endpoint that has been replaced by another machine.
  void forget(EndpointIndex Endpoint);

  /// Returns the natural logarithm of the speed; zero without any evidence.
  double logSpeed(EndpointIndex Endpoint) const;

  /// LogRatio is the natural logarithm of the expected run time over the measured one. Deviation is
  /// the standard deviation of such ratios on a worker of constant speed.
  void learn(EndpointIndex Endpoint, double LogRatio, double Deviation, core::TimePoint Now);

private:
  struct Evidence {
    double Weight = 0;
    double Sum = 0;
    double Recent = 0; ///< Mean of the last few samples, to detect a sudden change.
    double RecentWeight = 0;
    core::TimePoint LastDecay;
    std::uint32_t Group = 0;
  };

  /// Sums over the endpoints of a group.
  struct GroupEvidence {
    double Weight = 0;
    double Sum = 0;
  };

  /// Mean over the samples of all endpoints.
  double meanLogRatio() const;
  /// Mean over the samples of the group, shrunk towards that over all endpoints.
  double groupMeanLogRatio(const GroupEvidence &Group) const;
  void removeFromTotals(const Evidence &Known);
  void addToTotals(const Evidence &Known);

  std::vector<Evidence> Endpoints_;
  std::vector<GroupEvidence> Groups_{1};
  double TotalWeight_ = 0;
  double TotalSum_ = 0;
};

} // namespace cornellift::kernel
