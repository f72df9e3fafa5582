#include "Kernel/Dispatcher.h"

#include "Kernel/DispatcherState.h"

namespace cornellift::kernel {
namespace {

/// Jobs whose expected end is compared with their deadline per tick. At 100 ticks/s this covers
/// 6,400 jobs a second.
constexpr std::size_t JobsForeseenPerTick = 64;

constexpr const char *OverdueText = "the entry process stopped before the job had ended; resubmit "
                                    "the tasks that have not run with a new identifier";

} // namespace

Dispatcher::Dispatcher(Incarnation Own, std::unique_ptr<Scheduler> Policy)
    : State_(std::make_unique<State>(Own, std::move(Policy))) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::handle(Event Next, core::TimePoint Now, ActionSink &Sink) {
  State_->handle(Next, Now, Sink);
}

const Scheduler &Dispatcher::scheduler() const { return State_->scheduler(); }

DispatcherCounters Dispatcher::counters() const { return State_->counters(); }

Dispatcher::State::State(Incarnation Own, std::unique_ptr<Scheduler> Policy)
    : Own_(Own), Policy_(std::move(Policy)) {
  Issuers_.emplace(Own, IdentifierIssuer(Own));
}

void Dispatcher::State::handle(Event &Next, core::TimePoint Now, ActionSink &Sink) {
  Now_ = Now;
  Sink_ = &Sink;
  if (std::visit([this](auto &Content) { return on(Content); }, Next) == Starts::Possible)
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

auto Dispatcher::State::on(ConfigurationApplied &Next) -> Starts {
  Configuration_ = Next.Configuration;
  Policy_->applyConfiguration(std::move(Next.Configuration), Now_);
  return Starts::Possible;
}

auto Dispatcher::State::on(StopRequested &) -> Starts {
  if (Life_ == Life::Serving)
    Life_ = Life::Stopping;
  return Starts::Unchanged;
}

auto Dispatcher::State::on(StopOverdue &) -> Starts {
  if (Life_ == Life::Serving)
    return Starts::Unchanged;
  Life_ = Life::Overdue;
  for (auto Id : Jobs_.sortedIds())
    endEarly(*Jobs_.find(Id), core::ErrorKind::Unavailable, OverdueText);
  return Starts::Unchanged;
}

auto Dispatcher::State::on(Tick &) -> Starts {
  checkDueRequests();
  checkDueTasks();
  checkDeadlines();
  for (auto Job : Jobs_.nextToForesee(JobsForeseenPerTick))
    if (auto *Found = Jobs_.find(Job))
      foresee(*Found);
  while (auto Endpoint = Policy_->nextProbe(Now_))
    emit(ProbeEndpoint{*Endpoint});
  Outcomes_.evict(Now_, limits().MaximumOutcomeBytes);
  Delegated_.evict(Now_);
  Staging_.dropOld(Now_);
  if (!frozen())
    for (auto &[Issuer, Identifiers] : Issuers_)
      Identifiers.forgetExpired(Now_);
  return Starts::Possible;
}

const LimitsConfiguration &Dispatcher::State::limits() const {
  static const LimitsConfiguration Defaults;
  return Configuration_ ? Configuration_->Limits : Defaults;
}

} // namespace cornellift::kernel
