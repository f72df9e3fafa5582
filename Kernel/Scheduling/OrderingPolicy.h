#pragma once

#include "Libraries/LibCore/PluginRegistry.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>

namespace cornellift::kernel {

/// Properties of a job that determine its place in the order.
struct JobView {
  double WaitingWork = 0; ///< Expected milliseconds of its waiting tasks at typical speed.
  core::TimePoint Arrival;
};

enum class TeamOrder {
  FairShare, ///< The team that uses the smallest part of its share goes first.
  None       ///< Teams are ignored; all jobs are in one queue.
};

/// Orders the jobs of a team in a multilevel queue. Jobs of one level are served in order of
/// arrival, so that only the first job of each level has to be compared.
class OrderingPolicy {
public:
  static constexpr std::uint32_t Levels = 64;

  virtual ~OrderingPolicy() = default;

  virtual TeamOrder teamOrder() const = 0;
  /// Queue level of the job, below Levels. Work in lower levels goes first, except for ageing.
  virtual std::uint32_t level(const JobView &Job) const = 0;
  /// Compares the first jobs of the levels; the smallest key goes first.
  virtual double sortKey(const JobView &Job, core::TimePoint Now) const = 0;
};

/// The argument is the ageing per second.
using OrderingRegistry = core::PluginRegistry<OrderingPolicy, double>;
template <typename Implementation>
using OrderingRegistration = core::PluginRegistration<OrderingPolicy, Implementation, double>;

} // namespace cornellift::kernel
