#include "Libraries/LibCore/Log.h"
#include "Services/PoolDaemon/PoolDaemon.h"

#include <cstdint>
#include <initializer_list>
#include <utility>

namespace cornellift::pool {
namespace {

/// Registers one metric for several counters of the structure that Read returns, told apart by a
/// label. Each item is the label's value and the counter.
template <typename Counters, typename Number = std::uint64_t, typename Reader>
void registerCounters(core::MetricsRegistry &Metrics, const char *Name, const char *Label,
                      Reader Read,
                      std::initializer_list<std::pair<const char *, Number Counters::*>> Items) {
  for (const auto &[Value, Member] : Items)
    Metrics.gauge(Name, [Read, Member = Member] { return static_cast<double>(Read().*Member); },
                  {{Label, Value}});
}

} // namespace

void PoolDaemon::serveMetrics(const std::shared_ptr<reactor::HttpExchange> &Exchange) {
  if (isWhereQuestion(Exchange->target()))
    return serveWhere(Exchange);
  Exchange->reply({200, Metrics_.renderText(), {}});
}

void PoolDaemon::registerMetrics() {
  auto Value = [this](const char *Name, auto Read) {
    Metrics_.gauge(Name, [this, Read] { return static_cast<double>(Read(*this)); });
  };
  Value("cornellift_open_jobs", [](auto &Self) { return Self.Ingress_.openJobs(); });
  Value("cornellift_worker_connections_total",
        [](auto &Self) { return Self.WorkerClient_.connectionsMade(); });
  Value("cornellift_configuration_version",
        [](auto &Self) { return Self.Configuration_.version(); });
  Value("cornellift_configuration_age_milliseconds",
        [](auto &Self) { return Self.millisecondsSince(Self.ConfigurationReceivedAt_); });
  Value("cornellift_evacuated_data_centres",
        [](auto &Self) { return Self.Evacuations_.state().DataCentres.size(); });
  Value("cornellift_evacuations_age_milliseconds",
        [](auto &Self) { return Self.millisecondsSince(Self.Evacuations_.learnedAt()); });
  Value("cornellift_peers", [](auto &Self) { return Self.Mesh_.connectedPeers().size(); });
  Value("cornellift_unreadable_frames_total",
        [](auto &Self) { return Self.Mesh_.unreadableFrames(); });
  Value("cornellift_messages_not_accepted_total",
        [](auto &Self) { return Self.Mesh_.messagesNotAccepted(); });
  Value("cornellift_log_lines_dropped_total", [](auto &Self) { return Self.Log_.linesDropped(); });
  Value("cornellift_log_lines_unread_total", [](auto &) { return core::unreadLogLines(); });
  Value("cornellift_log_lines_total", [](auto &Self) { return Self.Log_.linesWritten(); });
  registerClientMetrics();
  registerJobMetrics();
  registerRunMetrics();
  registerWorkerMetrics();
  registerDataWaitMetrics();
  registerStoreMetrics();
}

void PoolDaemon::registerClientMetrics() {
  Metrics_.gauge("cornellift_caller_connections",
                 [this] { return static_cast<double>(CallerServer_->connections()); });
  Metrics_.gauge("cornellift_caller_memory_bytes",
                 [this] { return static_cast<double>(CallerServer_->memoryUsed()); });
  using Counters = reactor::HttpServerCounters;
  registerCounters<Counters>(
      Metrics_, "cornellift_caller_limits_met_total",
      "cause", [this]() -> const auto & { return CallerServer_->counters(); },
      {{"shed_for_memory", &Counters::ShedForMemory},
       {"shed_for_connections", &Counters::ShedForConnections},
       {"not_accepted", &Counters::NotAccepted},
       {"refused_for_memory", &Counters::RefusedForMemory}});
}

void PoolDaemon::registerJobMetrics() {
  using Counters = kernel::PoolCounters;
  auto Read = [this]() -> const auto & { return Manager_.counters(); };
  Metrics_.gauge("cornellift_managed_jobs",
                 [this] { return static_cast<double>(Manager_.jobCount()); });
  Metrics_.gauge("cornellift_waiting_tasks",
                 [this] { return static_cast<double>(Manager_.waitingTasks()); });
  Metrics_.gauge("cornellift_overload", [this] { return Manager_.isOverloaded() ? 1.0 : 0.0; });
  Metrics_.gauge("cornellift_jobs_extended_total",
                 [Read] { return static_cast<double>(Read().JobsExtended); });
  registerCounters<Counters>(Metrics_, "cornellift_managed_jobs_total", "end", Read,
                             {{"completed", &Counters::JobsCompleted},
                              {"failed", &Counters::JobsFailed},
                              {"rejected", &Counters::JobsRejected},
                              {"given_up", &Counters::JobsGivenUp},
                              {"abandoned", &Counters::JobsAbandoned},
                              {"cancelled", &Counters::JobsCancelled}});
  registerCounters<Counters>(Metrics_, "cornellift_refusals_total", "cause", Read,
                             {{"arrival", &Counters::RefusedAtArrival},
                              {"room", &Counters::RefusedForRoom},
                              {"waiting", &Counters::RefusedInWaiting}});
}

void PoolDaemon::registerRunMetrics() {
  using Counters = kernel::PoolCounters;
  auto Read = [this]() -> const auto & { return Manager_.counters(); };
  Metrics_.gauge("cornellift_running_tasks",
                 [this] { return static_cast<double>(Manager_.fleet().runCount()); });
  Metrics_.gauge("cornellift_foreign_runs_stopped_total",
                 [this] { return static_cast<double>(Manager_.fleet().foreignRunsStopped()); });
  Metrics_.gauge("cornellift_runs_started_again_total",
                 [this] { return static_cast<double>(Manager_.fleet().startedAgain()); });
  auto Count = [&](const char *Name, std::uint64_t Counters::*Member) {
    Metrics_.gauge(Name, [Read, Member] { return static_cast<double>(Read().*Member); });
  };
  Count("cornellift_starts_total", &Counters::StartsSent);
  Count("cornellift_starts_refused_total", &Counters::StartsRefused);
  Count("cornellift_tasks_delegated_total", &Counters::TasksDelegated);
  Count("cornellift_delegations_refused_total", &Counters::DelegationsRefused);
  Count("cornellift_stragglers_moved_total", &Counters::StragglersMoved);
  Count("cornellift_moves_avoided_total", &Counters::MovesAvoided);
  Count("cornellift_noticed_runs_moved_total", &Counters::NoticedRunsMoved);
  Count("cornellift_cold_runs_done_total", &Counters::ColdRunsDone);
  registerCounters<Counters>(Metrics_, "cornellift_runs_total", "end", Read,
                             {{"done", &Counters::RunsDone},
                              {"failed", &Counters::RunsFailed},
                              {"stopped", &Counters::RunsStopped},
                              {"lost", &Counters::RunsLost}});
}

void PoolDaemon::registerWorkerMetrics() {
  Metrics_.gauge("cornellift_worker_entries_left_out",
                 [this] { return static_cast<double>(Directory_.leftOut()); });
  Metrics_.gauge("cornellift_workers_held",
                 [this] { return static_cast<double>(Manager_.fleet().heldCount()); });
  Metrics_.gauge("cornellift_worker_restarts_total",
                 [this] { return static_cast<double>(Manager_.fleet().restartCount()); });
  Metrics_.gauge("cornellift_cold_slowdown", [this] { return Manager_.coldSlowdown(); });
  auto Workers = [this](const char *Name, kernel::LeaseState State) {
    Metrics_.gauge("cornellift_workers",
                   [this, State] { return static_cast<double>(Manager_.fleet().countIn(State)); },
                   {{"lease", Name}});
  };
  Workers("absent", kernel::LeaseState::Absent);
  Workers("claiming", kernel::LeaseState::Claiming);
  Workers("held", kernel::LeaseState::Held);
  Workers("fenced", kernel::LeaseState::Fenced);
}

void PoolDaemon::registerDataWaitMetrics() {
  using Counters = kernel::PoolCounters;
  auto Read = [this]() -> const auto & { return Manager_.counters(); };
  registerCounters<Counters>(Metrics_, "cornellift_data_waits_total", "end", Read,
                             {{"near", &Counters::DataWaitsNear},
                              {"expired", &Counters::DataWaitsExpired},
                              {"useless", &Counters::DataWaitsUseless},
                              {"job_ended", &Counters::DataWaitsJobEnded}});
  Metrics_.gauge("cornellift_data_wait_milliseconds_total",
                 [Read] { return Read().DataWaitMilliseconds; });
  registerCounters<Counters, double>(
      Metrics_, "cornellift_data_wait_gain_milliseconds", "kind", Read,
      {{"expected", &Counters::DataWaitExpectedGain}, {"reached", &Counters::DataWaitGain}});
}

void PoolDaemon::registerStoreMetrics() {
  using Counters = store::StoreCounters;
  registerCounters<Counters>(Metrics_, "cornellift_store_calls_total",
                             "kind", [this]() -> const auto & { return Store_->counters(); },
                             {{"range", &Counters::Ranges},
                              {"watch", &Counters::Watches},
                              {"write", &Counters::Writes},
                              {"lease", &Counters::Leases},
                              {"renewal", &Counters::Renewals}});
  Metrics_.gauge("cornellift_store_failures_total",
                 [this] { return static_cast<double>(Store_->counters().Failures); });
  Metrics_.gauge("cornellift_store_answer_age_milliseconds",
                 [this] { return millisecondsSince(Store_->lastAnsweredAt()); });
}

double PoolDaemon::millisecondsSince(core::TimePoint Moment) const {
  return core::toMilliseconds(core::MonotonicClock::now() - Moment);
}

} // namespace cornellift::pool
