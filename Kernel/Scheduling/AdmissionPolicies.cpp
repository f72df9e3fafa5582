#include "Kernel/Scheduling/AdmissionPolicy.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Backlog beyond which a team above its entitled part is refused. At 95% load a backlog of 20 s
/// takes 400 s to drain, within the 10 minutes that are allowed after a burst.
constexpr double MaximumBacklogMilliseconds = 20000;

/// Bounds of the wait until a refused job may be sent again. Estimates of a long wait are rough,
/// and slots may come back at any time.
constexpr double ShortestWaitMilliseconds = 1000;
constexpr double LongestWaitMilliseconds = 600000;

NotRun overloaded(std::string Reason, double WaitMilliseconds, core::TimePoint Now) {
  return {core::ErrorKind::Overloaded, std::move(Reason),
          Now + core::fromMilliseconds(std::clamp(WaitMilliseconds, ShortestWaitMilliseconds,
                                                  LongestWaitMilliseconds))};
}

/// Bounds on queued tasks and bytes only.
std::optional<NotRun> checkBounds(const JobSpec &Spec, const AdmissionView &View,
                                  const LimitsConfiguration &Limits, core::TimePoint Now) {
  auto Count = static_cast<std::uint32_t>(Spec.Tasks.size());
  double Drain = View.TotalWork / std::max(1.0, View.TotalSlotSpeed) / 2;
  if (View.QueuedTasks + Count > Limits.MaximumQueuedTasks)
    return overloaded("the queue of tasks is full; retry at the given time", Drain, Now);
  if (View.QueuedBytes + View.JobBytes > Limits.MaximumQueuedBytes)
    return overloaded("the queue is full of payload bytes; retry at the given time", Drain, Now);
  if (View.TeamMaximumTasks > 0 && View.TeamQueuedTasks + Count > View.TeamMaximumTasks)
    return overloaded("the team's queue of tasks is full; retry at the given time", Drain, Now);
  return std::nullopt;
}

class QueueBoundAdmission final : public AdmissionPolicy {
public:
  std::optional<NotRun> check(const JobSpec &Spec, const AdmissionView &View,
                              const LimitsConfiguration &Limits,
                              core::TimePoint Now) const override {
    return checkBounds(Spec, View, Limits, Now);
  }
};

/// Also refuses jobs that would miss their deadline, and sheds load of teams above their entitled
/// part when the backlog is long.
class QuotaDeadlineAdmission final : public AdmissionPolicy {
public:
  std::optional<NotRun> check(const JobSpec &Spec, const AdmissionView &View,
                              const LimitsConfiguration &Limits,
                              core::TimePoint Now) const override {
    if (auto Refusal = checkBounds(Spec, View, Limits, Now))
      return Refusal;
    if (View.TotalSlotSpeed <= 0)
      return std::nullopt;
    double Backlog = View.TotalWork / View.TotalSlotSpeed;
    double TeamBacklog = View.TeamWork / std::max(1e-9, View.TeamSpeed);
    if (Backlog > MaximumBacklogMilliseconds && TeamBacklog > MaximumBacklogMilliseconds)
      return overloaded("the backlog is too long; retry at the given time",
                        Backlog - MaximumBacklogMilliseconds / 2, Now);
    auto End = Now + core::fromMilliseconds(View.ExpectedEnd);
    if (Spec.Deadline && End > *Spec.Deadline)
      return overloaded("the job would miss its deadline; give a later one or retry at the given "
                        "time",
                        core::toMilliseconds(End - *Spec.Deadline), Now);
    return std::nullopt;
  }
};

const AdmissionRegistration<QuotaDeadlineAdmission> RegisteredQuota("quota-deadline");
const AdmissionRegistration<QueueBoundAdmission> RegisteredBound("queue-bound");

} // namespace
} // namespace cornellift::kernel
