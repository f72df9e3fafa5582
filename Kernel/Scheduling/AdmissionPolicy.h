#pragma once

#include "Kernel/Job.h"
#include "Kernel/KernelConfiguration.h"
#include "Kernel/Outcome.h"
#include "Libraries/LibCore/PluginRegistry.h"

#include <cstdint>
#include <optional>

namespace cornellift::kernel {

/// State of the queues that an admission decision is based on. Work and times are in milliseconds
/// on a worker of typical speed.
struct AdmissionView {
  std::uint32_t QueuedTasks = 0;
  std::uint64_t QueuedBytes = 0;
  std::uint32_t TeamQueuedTasks = 0;
  std::uint32_t TeamMaximumTasks = 0;
  std::uint64_t JobBytes = 0;
  double TotalWork = 0;      ///< Work of all waiting tasks.
  double TeamWork = 0;       ///< Work of the team's waiting tasks.
  double TotalSlotSpeed = 0; ///< Sum of the relative speeds of all usable slots.
  double TeamSpeed = 0;      ///< The team's share of TotalSlotSpeed.
  double ExpectedEnd = 0;    ///< Time until this job is expected to end.
};

/// Decides whether a job is accepted. Jobs with a task that fits no worker were refused before.
class AdmissionPolicy {
public:
  virtual ~AdmissionPolicy() = default;

  /// Returns the refusal, with RetryAt before jitter, or an empty optional when the job is
  /// accepted.
  virtual std::optional<NotRun> check(const JobSpec &Spec, const AdmissionView &View,
                                      const LimitsConfiguration &Limits,
                                      core::TimePoint Now) const = 0;
};

using AdmissionRegistry = core::PluginRegistry<AdmissionPolicy>;
template <typename Implementation>
using AdmissionRegistration = core::PluginRegistration<AdmissionPolicy, Implementation>;

} // namespace cornellift::kernel
