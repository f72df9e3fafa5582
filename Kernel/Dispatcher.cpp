#include "Kernel/Dispatcher.h"

#include "Kernel/DispatcherState.h"

namespace cornellift::kernel {
namespace {

/// Jobs whose expected end is compared with their deadline per tick. At 100 ticks/s this covers
/// 6,400 jobs a second.
constexpr std::size_t LatenessChecksPerTick = 64;

constexpr const char *OverdueText = "the entry process stopped before the job had ended; resubmit "
                                    "the tasks that have not run with a new identifier";

} // namespace

Dispatcher::Dispatcher(Incarnation Own, std::unique_ptr<Scheduler> TaskScheduler)
    : State_(std::make_unique<State>(Own, std::move(TaskScheduler))) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::handle(Event Next, core::TimePoint Now, ActionSink &Sink) {
  State_->handle(Next, Now, Sink);
}

const Scheduler &Dispatcher::scheduler() const { return State_->scheduler(); }

DispatcherCounters Dispatcher::counters() const { return State_->counters(); }

Dispatcher::State::State(Incarnation Own, std::unique_ptr<Scheduler> TaskScheduler)
    : Own_(Own), Scheduler_(std::move(TaskScheduler)) {
  Issuers_.emplace(Own, IdentifierIssuer(Own));
}

void Dispatcher::State::handle(Event &Next, core::TimePoint Now, ActionSink &Sink) {
  Now_ = Now;
  Sink_ = &Sink;
  if (std::visit([this](auto &Content) { return on(Content); }, Next) == Rescheduling::Needed)
    startTasks();
  checkDrained();
}

DispatcherCounters Dispatcher::State::counters() const {
  auto Result = Counters_;
  Result.ActiveJobs = Jobs_.size();
  Result.RunningTasks = Running_.size();
  Result.WaitingRequests = Requests_.size() + HeldSubmissions_.size();
  Result.KeptOutcomes = Outcomes_.size();
  Result.KeptOutcomeBytes = Outcomes_.bytes();
  return Result;
}

auto Dispatcher::State::on(ConfigurationApplied &Next) -> Rescheduling {
  Configuration_ = Next.Configuration;
  Scheduler_->applyConfiguration(std::move(Next.Configuration), Now_);
  return Rescheduling::Needed;
}

auto Dispatcher::State::on(StopRequested &) -> Rescheduling {
  if (Lifecycle_ == Lifecycle::Serving)
    Lifecycle_ = Lifecycle::Stopping;
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(StopOverdue &) -> Rescheduling {
  if (Lifecycle_ == Lifecycle::Serving)
    return Rescheduling::NotNeeded;
  Lifecycle_ = Lifecycle::Overdue;
  for (auto Id : Jobs_.sortedIds())
    endEarly(*Jobs_.find(Id), core::ErrorKind::Unavailable, OverdueText);
  return Rescheduling::NotNeeded;
}

auto Dispatcher::State::on(Tick &) -> Rescheduling {
  checkDueRequests();
  checkDueTasks();
  checkDeadlines();
  for (auto Job : Jobs_.nextLatenessChecks(LatenessChecksPerTick))
    if (auto *Found = Jobs_.find(Job))
      flagIfExpectedLate(*Found);
  while (auto Endpoint = Scheduler_->nextProbe(Now_))
    emit(ProbeEndpoint{*Endpoint});
  Outcomes_.evict(Now_, limits().MaximumOutcomeBytes);
  Delegated_.evict(Now_);
  Staging_.dropOld(Now_);
  if (!hasTransferBegun())
    for (auto &[Issuer, Identifiers] : Issuers_)
      Identifiers.evictExpired(Now_);
  return Rescheduling::Needed;
}

const LimitsConfiguration &Dispatcher::State::limits() const {
  static const LimitsConfiguration Defaults;
  return Configuration_ ? Configuration_->Limits : Defaults;
}

} // namespace cornellift::kernel
