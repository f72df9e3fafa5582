#pragma once

#include "Kernel/Job.h"
#include "Kernel/KernelConfiguration.h"
#include "Kernel/Outcome.h"
#include "Libraries/LibCore/PluginRegistry.h"

#include <cstdint>
#include <optional>

namespace cornellift::kernel {

/// What admission knows of the queues. Work and times are in milliseconds at typical speed.
struct AdmissionView {
  std::uint32_t QueuedTasks = 0;
  std::uint64_t QueuedBytes = 0;
  std::uint32_t TeamQueuedTasks = 0;
  std::uint32_t TeamMaximumTasks = 0;
  std::uint64_t JobBytes = 0;
  double TotalWork = 0;      ///< Of all waiting tasks.
  double TeamWork = 0;       ///< Of the team's waiting tasks.
  double TotalSlotSpeed = 0; ///< Typical-speed slots of all usable endpoints.
  double TeamSpeed = 0;      ///< The team's entitled part of TotalSlotSpeed.
  double ExpectedEnd = 0;    ///< Of this job, from now.
};

/// Accepts or refuses a job. A job that fits no worker has been refused already.
class AdmissionPolicy {
public:
  virtual ~AdmissionPolicy() = default;

  /// Returns the refusal, with RetryAt before jitter.
  virtual std::optional<NotRun> check(const JobSpec &Spec, const AdmissionView &View,
                                      const LimitsConfiguration &Limits,
                                      core::TimePoint Now) const = 0;
};

using AdmissionRegistry = core::PluginRegistry<AdmissionPolicy>;
template <typename Implementation>
using AdmissionRegistration = core::PluginRegistration<AdmissionPolicy, Implementation>;

} // namespace cornellift::kernel
