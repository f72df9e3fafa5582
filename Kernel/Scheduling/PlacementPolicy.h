#pragma once

#include "Kernel/Scheduling/EndpointTable.h"
#include "Libraries/LibCore/PluginRegistry.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace cornellift::kernel {

/// A task to be placed. Times are in milliseconds.
struct PlacementRequest {
  ServiceIndex Service{};
  Resources Need;
  double RunTime = 0;            ///< Expected, on a worker of typical speed.
  double MeanRunTime = 0;        ///< Mean of all recent tasks, on a worker of typical speed.
  double Slack = 0;              ///< A completion within this time does not delay the job.
  std::uint32_t TasksAhead = 0;  ///< Tasks that wait for a faster slot before this one.
  bool AcceptsProbation = false; ///< The task may be placed on an endpoint on probation.

  bool accepts(const EndpointState &Endpoint) const {
    return Endpoint.fits(Need) && (AcceptsProbation || !Endpoint.OnProbation);
  }
};

/// Chooses the endpoint for a task.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;

  /// Returns a free endpoint that fits the task, or an empty optional when waiting is better.
  virtual std::optional<EndpointIndex> choose(const PlacementRequest &Request,
                                              const EndpointTable &Endpoints) = 0;
};

/// The argument is the seed of the policy's random choices.
using PlacementRegistry = core::PluginRegistry<PlacementPolicy, std::uint64_t>;
template <typename Implementation>
using PlacementRegistration =
    core::PluginRegistration<PlacementPolicy, Implementation, std::uint64_t>;

} // namespace cornellift::kernel
