#include "Utilities/Replay/TimedScheduler.h"

#include <chrono>
#include <limits>

namespace cornellift::replay {
namespace {

/// Adds the nanoseconds of its lifetime to a total.
class Stopwatch {
public:
  explicit Stopwatch(std::uint64_t &Total) : Total_(Total) {}
  ~Stopwatch() { Total_ += elapsed(); }
  Stopwatch(const Stopwatch &) = delete;
  Stopwatch &operator=(const Stopwatch &) = delete;

  std::uint64_t elapsed() const {
    auto Span = std::chrono::steady_clock::now() - Start_;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(Span).count());
  }

private:
  std::uint64_t &Total_;
  std::chrono::steady_clock::time_point Start_ = std::chrono::steady_clock::now();
};

} // namespace

void TimedScheduler::applyConfiguration(
    std::shared_ptr<const kernel::KernelConfiguration> Configuration, core::TimePoint Now) {
  Inner_.applyConfiguration(std::move(Configuration), Now);
}

std::optional<kernel::NotRun> TimedScheduler::admit(kernel::JobId Job, const kernel::JobSpec &Spec,
                                                    core::TimePoint Now) {
  Stopwatch Watch(Times_.Total);
  return Inner_.admit(Job, Spec, Now);
}

std::optional<kernel::Placement> TimedScheduler::next(core::TimePoint Now) {
  Stopwatch Watch(Times_.Total);
  auto Result = Inner_.next(Now);
  auto Longest = std::uint64_t{std::numeric_limits<std::uint32_t>::max()};
  Times_.Next.push_back(static_cast<std::uint32_t>(std::min(Watch.elapsed(), Longest)));
  Times_.Placements += Result ? 1 : 0;
  return Result;
}

std::optional<kernel::EndpointIndex>
TimedScheduler::placeDelegated(kernel::TaskId Task, kernel::ServiceIndex Service,
                               kernel::KindIndex Kind, kernel::TeamIndex Team,
                               const kernel::TaskSpec &Spec, core::TimePoint Now) {
  Stopwatch Watch(Times_.Total);
  return Inner_.placeDelegated(Task, Service, Kind, Team, Spec, Now);
}

void TimedScheduler::startRefused(kernel::TaskId Task, kernel::EndpointIndex Endpoint,
                                  kernel::StartRefusal Cause, core::TimePoint Now) {
  Stopwatch Watch(Times_.Total);
  Inner_.startRefused(Task, Endpoint, Cause, Now);
}

void TimedScheduler::taskEnded(const kernel::TaskEnded &Ended, core::TimePoint Now) {
  Stopwatch Watch(Times_.Total);
  Inner_.taskEnded(Ended, Now);
}

void TimedScheduler::taskLost(kernel::TaskId Task, kernel::EndpointIndex Endpoint,
                              core::TimePoint Now) {
  Stopwatch Watch(Times_.Total);
  Inner_.taskLost(Task, Endpoint, Now);
}

void TimedScheduler::dropJob(kernel::JobId Job, core::TimePoint Now) {
  Stopwatch Watch(Times_.Total);
  Inner_.dropJob(Job, Now);
}

void TimedScheduler::endpointObserved(const kernel::EndpointObserved &Observed,
                                      core::TimePoint Now) {
  Inner_.endpointObserved(Observed, Now);
}

void TimedScheduler::slotsChanged(kernel::EndpointIndex Endpoint, std::uint32_t Slots,
                                  core::TimePoint Now) {
  Inner_.slotsChanged(Endpoint, Slots, Now);
}

std::optional<core::TimePoint> TimedScheduler::expectedEnd(kernel::JobId Job,
                                                           core::TimePoint Now) const {
  Stopwatch Watch(Times_.Total);
  return Inner_.expectedEnd(Job, Now);
}

core::TimePoint TimedScheduler::statusQueryAt(kernel::TaskId Task, kernel::EndpointIndex Endpoint,
                                              core::TimePoint Now) const {
  Stopwatch Watch(Times_.Total);
  return Inner_.statusQueryAt(Task, Endpoint, Now);
}

std::optional<kernel::EndpointIndex> TimedScheduler::nextProbe(core::TimePoint Now) {
  Stopwatch Watch(Times_.Total);
  return Inner_.nextProbe(Now);
}

} // namespace cornellift::replay
