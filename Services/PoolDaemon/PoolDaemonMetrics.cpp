#include "Libraries/LibCore/Log.h"
#include "Services/PoolDaemon/PoolDaemon.h"

namespace cornellift::pool {

void PoolDaemon::serveMetrics(const std::shared_ptr<reactor::HttpExchange> &Exchange) {
  if (isWhereQuestion(Exchange->target()))
    return serveWhere(Exchange);
  Exchange->reply({200, Metrics_.renderText(), {}});
}

void PoolDaemon::registerMetrics() {
  auto Counter = [this](const char *Name, auto Read) {
    Metrics_.gauge(Name, [this, Read] { return static_cast<double>(Read(*this)); });
  };
  Counter("cornellift_open_jobs", [](auto &Self) { return Self.Ingress_.openJobs(); });
  Counter("cornellift_managed_jobs", [](auto &Self) { return Self.Manager_.jobCount(); });
  Counter("cornellift_waiting_tasks", [](auto &Self) { return Self.Manager_.waitingTasks(); });
  Counter("cornellift_running_tasks", [](auto &Self) { return Self.Manager_.fleet().runCount(); });
  Counter("cornellift_starts_total",
          [](auto &Self) { return Self.Manager_.counters().StartsSent; });
  Counter("cornellift_starts_refused_total",
          [](auto &Self) { return Self.Manager_.counters().StartsRefused; });
  Counter("cornellift_tasks_delegated_total",
          [](auto &Self) { return Self.Manager_.counters().TasksDelegated; });
  Counter("cornellift_delegations_refused_total",
          [](auto &Self) { return Self.Manager_.counters().DelegationsRefused; });
  Counter("cornellift_stragglers_moved_total",
          [](auto &Self) { return Self.Manager_.counters().StragglersMoved; });
  Counter("cornellift_moves_avoided_total",
          [](auto &Self) { return Self.Manager_.counters().MovesAvoided; });
  Counter("cornellift_jobs_extended_total",
          [](auto &Self) { return Self.Manager_.counters().JobsExtended; });
  Counter("cornellift_noticed_runs_moved_total",
          [](auto &Self) { return Self.Manager_.counters().NoticedRunsMoved; });
  Counter("cornellift_overload", [](auto &Self) { return Self.Manager_.isOverloaded() ? 1 : 0; });
  auto Refused = [this](const char *Cause, std::uint64_t kernel::PoolCounters::*Count) {
    Metrics_.gauge("cornellift_refusals_total",
                   [this, Count] { return static_cast<double>(Manager_.counters().*Count); },
                   {{"cause", Cause}});
  };
  Refused("arrival", &kernel::PoolCounters::RefusedAtArrival);
  Refused("room", &kernel::PoolCounters::RefusedForRoom);
  Refused("waiting", &kernel::PoolCounters::RefusedInWaiting);
  Counter("cornellift_worker_connections_total",
          [](auto &Self) { return Self.WorkerClient_.connectionsMade(); });
  Counter("cornellift_configuration_version",
          [](auto &Self) { return Self.Configuration_.version(); });
  Counter("cornellift_evacuated_data_centres",
          [](auto &Self) { return Self.Evacuations_.state().DataCentres.size(); });
  Counter("cornellift_evacuations_age_milliseconds",
          [](auto &Self) { return Self.millisecondsSince(Self.Evacuations_.learnedAt()); });
  Counter("cornellift_peers", [](auto &Self) { return Self.Mesh_.connectedPeers().size(); });
  Counter("cornellift_unreadable_frames_total",
          [](auto &Self) { return Self.Mesh_.unreadableFrames(); });
  Counter("cornellift_messages_not_accepted_total",
          [](auto &Self) { return Self.Mesh_.messagesNotAccepted(); });
  Counter("cornellift_log_lines_dropped_total",
          [](auto &Self) { return Self.Log_.linesDropped(); });
  Counter("cornellift_log_lines_unread_total", [](auto &) { return core::unreadLogLines(); });
  Counter("cornellift_log_lines_total", [](auto &Self) { return Self.Log_.linesWritten(); });
  Counter("cornellift_configuration_age_milliseconds",
          [](auto &Self) { return Self.millisecondsSince(Self.ConfigurationReceivedAt_); });
  registerClientMetrics();
  registerWorkerMetrics();
  registerDataWaitMetrics();
  registerStoreMetrics();
}

void PoolDaemon::registerClientMetrics() {
  Metrics_.gauge("cornellift_caller_connections",
                 [this] { return static_cast<double>(CallerServer_->connections()); });
  Metrics_.gauge("cornellift_caller_memory_bytes",
                 [this] { return static_cast<double>(CallerServer_->memoryUsed()); });
  auto Limits = [this](const char *Cause, std::uint64_t reactor::HttpServerCounters::*Count) {
    Metrics_.gauge("cornellift_caller_limits_met_total",
                   [this, Count] { return static_cast<double>(CallerServer_->counters().*Count); },
                   {{"cause", Cause}});
  };
  Limits("shed_for_memory", &reactor::HttpServerCounters::ShedForMemory);
  Limits("shed_for_connections", &reactor::HttpServerCounters::ShedForConnections);
  Limits("not_accepted", &reactor::HttpServerCounters::NotAccepted);
  Limits("refused_for_memory", &reactor::HttpServerCounters::RefusedForMemory);
}

void PoolDaemon::registerWorkerMetrics() {
  Metrics_.gauge("cornellift_worker_entries_left_out",
                 [this] { return static_cast<double>(Directory_.leftOut()); });
  Metrics_.gauge("cornellift_workers_held",
                 [this] { return static_cast<double>(Manager_.fleet().heldCount()); });
  Metrics_.gauge("cornellift_worker_restarts_total",
                 [this] { return static_cast<double>(Manager_.fleet().restartCount()); });
  Metrics_.gauge("cornellift_foreign_runs_stopped_total",
                 [this] { return static_cast<double>(Manager_.fleet().foreignRunsStopped()); });
  Metrics_.gauge("cornellift_runs_started_again_total",
                 [this] { return static_cast<double>(Manager_.fleet().startedAgain()); });
  Metrics_.gauge("cornellift_cold_runs_done_total",
                 [this] { return static_cast<double>(Manager_.counters().ColdRunsDone); });
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
  auto Runs = [this](const char *End, std::uint64_t kernel::PoolCounters::*Count) {
    Metrics_.gauge("cornellift_runs_total",
                   [this, Count] { return static_cast<double>(Manager_.counters().*Count); },
                   {{"end", End}});
  };
  Runs("done", &kernel::PoolCounters::RunsDone);
  Runs("failed", &kernel::PoolCounters::RunsFailed);
  Runs("stopped", &kernel::PoolCounters::RunsStopped);
  Runs("lost", &kernel::PoolCounters::RunsLost);
  auto Jobs = [this](const char *End, std::uint64_t kernel::PoolCounters::*Count) {
    Metrics_.gauge("cornellift_managed_jobs_total",
                   [this, Count] { return static_cast<double>(Manager_.counters().*Count); },
                   {{"end", End}});
  };
  Jobs("completed", &kernel::PoolCounters::JobsCompleted);
  Jobs("failed", &kernel::PoolCounters::JobsFailed);
  Jobs("rejected", &kernel::PoolCounters::JobsRejected);
  Jobs("given_up", &kernel::PoolCounters::JobsGivenUp);
  Jobs("abandoned", &kernel::PoolCounters::JobsAbandoned);
  Jobs("cancelled", &kernel::PoolCounters::JobsCancelled);
}

void PoolDaemon::registerDataWaitMetrics() {
  auto Waits = [this](const char *End, std::uint64_t kernel::PoolCounters::*Count) {
    Metrics_.gauge("cornellift_data_waits_total",
                   [this, Count] { return static_cast<double>(Manager_.counters().*Count); },
                   {{"end", End}});
  };
  Waits("near", &kernel::PoolCounters::DataWaitsNear);
  Waits("expired", &kernel::PoolCounters::DataWaitsExpired);
  Waits("useless", &kernel::PoolCounters::DataWaitsUseless);
  Waits("job_ended", &kernel::PoolCounters::DataWaitsJobEnded);
  Metrics_.gauge("cornellift_data_wait_milliseconds_total",
                 [this] { return Manager_.counters().DataWaitMilliseconds; });
  auto Gain = [this](const char *Kind, double kernel::PoolCounters::*Sum) {
    Metrics_.gauge("cornellift_data_wait_gain_milliseconds",
                   [this, Sum] { return Manager_.counters().*Sum; }, {{"kind", Kind}});
  };
  Gain("expected", &kernel::PoolCounters::DataWaitExpectedGain);
  Gain("reached", &kernel::PoolCounters::DataWaitGain);
}

void PoolDaemon::registerStoreMetrics() {
  auto Calls = [this](const char *Kind, std::uint64_t store::StoreCounters::*Count) {
    Metrics_.gauge("cornellift_store_calls_total",
                   [this, Count] { return static_cast<double>(Store_->counters().*Count); },
                   {{"kind", Kind}});
  };
  Calls("range", &store::StoreCounters::Ranges);
  Calls("watch", &store::StoreCounters::Watches);
  Calls("write", &store::StoreCounters::Writes);
  Calls("lease", &store::StoreCounters::Leases);
  Calls("renewal", &store::StoreCounters::Renewals);
  Metrics_.gauge("cornellift_store_failures_total",
                 [this] { return static_cast<double>(Store_->counters().Failures); });
  Metrics_.gauge("cornellift_store_answer_age_milliseconds",
                 [this] { return millisecondsSince(Store_->lastAnsweredAt()); });
}

double PoolDaemon::millisecondsSince(core::TimePoint Moment) const {
  return core::toMilliseconds(core::MonotonicClock::now() - Moment);
}

} // namespace cornellift::pool
