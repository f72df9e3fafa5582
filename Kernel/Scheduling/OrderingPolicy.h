#pragma once

#include "Libraries/LibCore/PluginRegistry.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>

namespace cornellift::kernel {

/// What ordering knows of a job.
struct JobView {
  double WaitingWork = 0; ///< Expected milliseconds of its waiting tasks at typical speed.
  core::TimePoint Arrival;
};

enum class TeamOrder {
  FairShare, ///< The team that uses least of its share goes first.
  None       ///< Teams are ignored; all jobs are in one queue.
};

/// Chooses which job's task goes next inside a team. Jobs of one lane are served by arrival, so
/// that only the first job of each lane has to be compared.
class OrderingPolicy {
public:
  static constexpr std::uint32_t Levels = 64;

  virtual ~OrderingPolicy() = default;

  virtual TeamOrder teamOrder() const = 0;
  /// Below Lanes. Work in lower lanes goes before work in higher ones, but for ageing.
  virtual std::uint32_t level(const JobView &Job) const = 0;
  /// The smallest goes first.
  virtual double sortKey(const JobView &Job, core::TimePoint Now) const = 0;
};

/// The argument is the ageing per second.
using OrderingRegistry = core::PluginRegistry<OrderingPolicy, double>;
template <typename Implementation>
using OrderingRegistration = core::PluginRegistration<OrderingPolicy, Implementation, double>;

} // namespace cornellift::kernel
