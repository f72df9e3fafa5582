#include "Services/PoolDaemon/PoolDaemon.h"

#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibMesh/MeshCoding.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace cornellift::pool {
namespace {

constexpr core::Duration TickTime = std::chrono::milliseconds(10);
/// Operators' keys change some thousand times a day; a change ends the watch at once.
constexpr store::MirrorPace OperatorPace = {std::chrono::seconds(8), std::chrono::milliseconds(0)};
/// Time kept at the end of a planned stop for the last replies.
constexpr core::Duration StopReserve = std::chrono::milliseconds(700);
/// A stopping process goes on for at least this time: the balancer needs two checks of one second
/// each to notice.
constexpr core::Duration BalancerTime = std::chrono::milliseconds(2300);
constexpr core::Duration BacklogTime = std::chrono::milliseconds(500);

std::uint64_t randomIncarnation() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

mesh::MeshIdentity identityOf(const DaemonSettings &Settings) {
  return {Settings.VmName, Settings.DataCentre, Settings.AdvertisedAddress, randomIncarnation(),
          Settings.Weight};
}

kernel::CandidateState candidateOf(const DaemonSettings &Settings) {
  kernel::CandidateState State;
  State.Vm = Settings.VmName;
  State.DataCentre = Settings.DataCentre;
  State.Weight = Settings.Weight;
  return State;
}

} // namespace

std::unique_ptr<PoolDaemon> PoolDaemon::make(DaemonSettings Settings,
                                             std::span<const char *const> Arguments) {
  auto Formats = platform::PlatformFormatsRegistry::instance().create(Settings.Platform);
  if (!Formats)
    return nullptr;
  auto Daemon = std::make_unique<PoolDaemon>(std::move(Settings), std::move(*Formats), Arguments);
  if (!Daemon->listen())
    return nullptr;
  return Daemon;
}

PoolDaemon::PoolDaemon(DaemonSettings Settings, std::unique_ptr<platform::PlatformFormats> Formats,
                       std::span<const char *const> Arguments)
    : Settings_(std::move(Settings)), Arguments_(Arguments.begin(), Arguments.end()),
      Formats_(std::move(Formats)), Signals_(Reactor_), Timer_(Reactor_),
      Log_(Settings_.LogLinesPerSecond), Store_(std::make_shared<store::StoreClient>(
                                             Reactor_, Settings_.StoreAddress, Formats_->store())),
      Configuration_(Formats_->store(), Log_,
                     [this](const auto &Changed) { configurationChanged(Changed); }),
      Workers_(
          Reactor_, Formats_->workers(),
          [this](kernel::PeerIndex Peer, kernel::PoolMessage Message) {
            send(Peer, std::move(Message));
          },
          [this](kernel::EndpointIndex Worker) { workerDropped(Worker); }),
      Manager_({Settings_.RemoteFactor}, Workers_, Tokens_, Log_),
      Election_(candidateOf(Settings_), core::MonotonicClock::now()),
      Mesh_(Reactor_, identityOf(Settings_), *this),
      Ingress_(Formats_->callers(), Log_, Metrics_,
               [this](kernel::PeerIndex Peer, kernel::PoolMessage Message) {
                 send(Peer, std::move(Message));
               }),
      Directory_(Reactor_, Store_, Formats_->workers(), Log_, [this] { workersChanged(); }),
      OperatorKeys_(std::make_shared<store::KeyMirror>(
          Reactor_, Store_, std::string(Formats_->store().operatorPrefix()), OperatorPace,
          [this](const store::KeyMirror::Items &Items) { operatorKeysChanged(Items); })),
      Registration_(std::make_shared<VmRegistration>(
          Reactor_, Store_, Settings_.VmName, Settings_.AdvertisedAddress,
          [this](const std::string &Vm, const std::string &Address) {
            Mesh_.learn(Vm, Address);
          })) {
  Workers_.setManager(Manager_);
  Election_.setDataCentres(Settings_.DataCentres);
  registerMetrics();
}

PoolDaemon::~PoolDaemon() = default;

bool PoolDaemon::listen() {
  Callers_ =
      reactor::HttpServer::listen(Reactor_, Settings_.CallerAddress,
                                  [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) {
                                    Ingress_.handle(Exchange);
                                  });
  if (!Callers_)
    return false;
  Readiness_ = reactor::HttpServer::listen(
      Reactor_, Settings_.ReadinessAddress,
      [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) { serveReadiness(Exchange); });
  if (!Readiness_)
    return false;
  MetricsServer_ = reactor::HttpServer::listen(
      Reactor_, Settings_.MetricsAddress,
      [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) { serveMetrics(Exchange); });
  if (!MetricsServer_)
    return false;
  return Mesh_.listen(Settings_.MeshAddress);
}

void PoolDaemon::run() {
  core::logLine(core::LogLevel::Information, "pool", "started",
                {{"vm", Settings_.VmName},
                 {"data_centre", Settings_.DataCentre},
                 {"weight", std::to_string(Settings_.Weight)},
                 {"version", CORNELLIFT_VERSION}});
  watchSignals();
  OperatorKeys_->start();
  Registration_->start();
  Directory_.start();
  for (const auto &Address : Settings_.SeedAddresses)
    Mesh_.learnAddress(Address);
  TickDueAt_ = core::MonotonicClock::now();
  scheduleTick();
  Reactor_.run();
  core::logLine(core::LogLevel::Information, "pool", "stopped", {{"vm", Settings_.VmName}});
}

void PoolDaemon::watchSignals() {
  boost::system::error_code Ignored; // Adding a valid signal number does not fail.
  for (int Signal : {SIGTERM, SIGINT, SIGHUP})
    Signals_.add(Signal, Ignored);
  Signals_.async_wait([this](boost::system::error_code Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP)
      reload();
    else
      beginStop();
    watchSignals();
  });
}

void PoolDaemon::reload() {
  std::vector<const char *> Arguments;
  Arguments.reserve(Arguments_.size());
  for (const auto &Argument : Arguments_)
    Arguments.push_back(Argument.c_str());
  auto Changed = DaemonSettings::parse(Arguments);
  if (!Changed) {
    core::logLine(core::LogLevel::Error, "pool", "the settings are wrong; the old ones stay",
                  {{"reason", core::lastReason().Message}});
    return;
  }
  core::logLine(core::LogLevel::Information, "pool", "settings read again");
  Settings_.StopTime = Changed->StopTime;
  Settings_.DataCentres = Changed->DataCentres;
  Election_.setDataCentres(Settings_.DataCentres);
  for (const auto &Address : Changed->SeedAddresses)
    Mesh_.learnAddress(Address);
}

void PoolDaemon::beginStop() {
  if (StopBy_)
    return;
  auto Now = core::MonotonicClock::now();
  core::logLine(core::LogLevel::Information, "pool", "stopping",
                {{"open_jobs", std::to_string(Ingress_.openJobs())},
                 {"managed_jobs", std::to_string(Manager_.jobCount())}});
  StopBy_ = Now + Settings_.StopTime - StopReserve;
  Election_.setStopping();
  Registration_->stop();
  Callers_->beginDrain();
  applyElection(Now);
  Mesh_.beatNow(Now);
}

void PoolDaemon::stopIfDone(core::TimePoint Now) {
  if (!StopBy_)
    return;
  auto BalancerNoticed = *StopBy_ - (Settings_.StopTime - StopReserve) + BalancerTime;
  bool IsIdle = Callers_->openRequests() == 0 && Callers_->connections() == 0 &&
                Ingress_.openJobs() == 0 && Manager_.jobCount() == 0 &&
                Election_.managed().empty() && Election_.releasing().empty();
  if ((IsIdle && Now >= BalancerNoticed) || Now >= *StopBy_) {
    Mesh_.close();
    Reactor_.stop();
  }
}

void PoolDaemon::scheduleTick() {
  TickDueAt_ = std::max(TickDueAt_ + TickTime, core::MonotonicClock::now());
  Timer_.expires_at(reactor::timerDeadline(TickDueAt_));
  Timer_.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    tick();
    scheduleTick();
  });
}

void PoolDaemon::tick() {
  auto Now = core::MonotonicClock::now();
  // The mesh comes first: after a pause of the process, peers that were lost meanwhile count as
  // lost before anything is started for them.
  Mesh_.tick(Now);
  Tokens_.observeRevision(Directory_.revision());
  Directory_.tick(Now);
  applyElection(Now);
  Manager_.tick(Now);
  Ingress_.tick(Now);
  sendBacklog(Now);
  stopIfDone(Now);
}

bool PoolDaemon::isReady() const {
  return Configuration_.current() != nullptr && !StopBy_ && Election_.homeManager().has_value();
}

void PoolDaemon::applyElection(core::TimePoint Now) {
  Election_.setReady(Configuration_.current() != nullptr && Directory_.isLoaded());
  Election_.setOthersExist(!Mesh_.known().empty());
  auto Changes = Election_.evaluate(Now);
  for (const auto &Begun : Changes.Begun) {
    core::logLine(core::LogLevel::Information, "pool", "managing the workers of a data centre",
                  {{"data_centre", Begun.DataCentre},
                   {"claim_in_ms", std::to_string(core::toMilliseconds(Begun.ClaimAt - Now))}});
    Successors_.erase(Begun.DataCentre);
    ClaimAt_[Begun.DataCentre] = Begun.ClaimAt;
  }
  for (const auto &Stopped : Changes.Stopped) {
    core::logLine(core::LogLevel::Information, "pool", "letting go of a data centre's workers",
                  {{"data_centre", Stopped.DataCentre}});
    Successors_[Stopped.DataCentre] = Stopped.Successor;
    ClaimAt_.erase(Stopped.DataCentre);
  }
  bool HasChanged = !Changes.Begun.empty() || !Changes.Stopped.empty();
  if (HasChanged) {
    Directory_.followClosely(!Election_.managed().empty());
    workersChanged();
  }
  for (const auto &Rest : Changes.Claims) {
    ClaimAt_[Rest.DataCentre] = Rest.ClaimAt;
    for (const auto &Entry : Directory_.listing().of({Rest.DataCentre}))
      Manager_.fleet().holdClaim(Entry.Id, Rest.ClaimAt);
  }
  Ingress_.setHome(Election_.homeManager(), Now);
  if (HasChanged) {
    reportReleased(Now);
    Mesh_.beatNow(Now);
  }
}

void PoolDaemon::workersChanged() {
  auto Now = core::MonotonicClock::now();
  auto Entries = Directory_.listing().of(Election_.managed());
  for (const auto &Entry : Entries) {
    auto ClaimAt = ClaimAt_.find(Entry.DataCentre);
    if (ClaimAt != ClaimAt_.end() && ClaimAt->second > Now)
      Manager_.fleet().holdClaim(Entry.Id, ClaimAt->second);
  }
  Manager_.setWorkers(Entries, Now);
}

void PoolDaemon::workerDropped(kernel::EndpointIndex Worker) {
  const auto &Entry = Manager_.fleet().at(Worker).Entry;
  auto Successor = Successors_.find(Entry.DataCentre);
  if (Successor != Successors_.end())
    send(Successor->second, kernel::ReleaseWorkers{{Entry.Id}});
}

void PoolDaemon::reportReleased(core::TimePoint Now) {
  auto Releasing = Election_.releasing();
  for (const auto &DataCentre : Releasing) {
    bool IsHeld = false;
    for (std::size_t Position = 0; Position < Manager_.fleet().size(); ++Position) {
      const auto &Known = Manager_.fleet().at(static_cast<kernel::EndpointIndex>(Position));
      IsHeld = IsHeld ||
               (Known.Entry.DataCentre == DataCentre && Known.Lease != kernel::LeaseState::Absent);
    }
    if (IsHeld)
      continue;
    core::logLine(core::LogLevel::Information, "pool", "let go of all workers",
                  {{"data_centre", DataCentre}});
    Election_.released(DataCentre);
    Mesh_.beatNow(Now);
  }
}

void PoolDaemon::operatorKeysChanged(const store::KeyMirror::Items &Items) {
  auto Found = Items.find(std::string(Formats_->store().configurationKey()));
  if (Found != Items.end())
    Configuration_.offer(Found->second.Value, "store");
}

void PoolDaemon::configurationChanged(
    const std::shared_ptr<const kernel::PoolConfiguration> &Configuration) {
  Ingress_.setConfiguration(Configuration);
  reactor::HttpServerLimits Limits;
  Limits.HeaderBytes = Configuration->Limits.HeaderBytes;
  Limits.BodyBytes = Configuration->Limits.BodyBytes;
  Limits.HeaderTime = Configuration->Limits.HeaderTime;
  Limits.IdleTime = Configuration->Limits.IdleTime;
  Callers_->setLimits(Limits);
  Mesh_.beatNow(core::MonotonicClock::now());
}

void PoolDaemon::send(kernel::PeerIndex Peer, kernel::PoolMessage Message) {
  if (Peer != kernel::SelfPeer)
    return Mesh_.send(Peer, mesh::encode(Message, core::MonotonicClock::now()));
  // Later, so that the manager has finished what it is doing.
  reactor::asio::post(Reactor_,
                      [this, Message = std::move(Message)] { deliver(kernel::SelfPeer, Message); });
}

void PoolDaemon::deliver(kernel::PeerIndex From, const kernel::PoolMessage &Message) {
  auto Now = core::MonotonicClock::now();
  if (const auto *Answer = std::get_if<kernel::PoolAnswer>(&Message))
    return Ingress_.answered(*Answer, Now);
  if (const auto *Released = std::get_if<kernel::ReleaseWorkers>(&Message)) {
    for (const auto &Id : Released->Ids)
      Manager_.fleet().claimNow(Id, Now);
    return;
  }
  Manager_.receive(From, Message, Now);
}

void PoolDaemon::sendBacklog(core::TimePoint Now) {
  if (Now < BacklogAt_)
    return;
  BacklogAt_ = Now + BacklogTime;
  reportReleased(Now);
  auto Backlog = Manager_.backlog();
  Ingress_.setBacklog(kernel::SelfPeer, Backlog);
  if (Backlog.empty() && !std::exchange(HadBacklog_, !Backlog.empty()))
    return;
  mesh::Frame Message;
  for (const auto &Entry : Backlog) {
    Message.mutable_backlog()->add_routes(Entry.Route);
    Message.mutable_backlog()->add_jobs(Entry.Jobs);
  }
  Message.mutable_backlog();
  for (const auto *Peer : Mesh_.peers())
    Mesh_.send(Peer->Index, Message);
}

mesh::Heartbeat PoolDaemon::heartbeatFor() {
  mesh::Heartbeat Message;
  Message.set_ready(Configuration_.current() != nullptr && Directory_.isLoaded());
  Message.set_stopping(StopBy_.has_value());
  for (const auto &Name : Election_.managed())
    Message.add_managed(Name);
  for (const auto &Name : Election_.releasing())
    Message.add_released(Name);
  for (const auto &Name : Election_.seen())
    Message.add_seen(Name);
  Message.set_takes_part(!Election_.managed().empty() || !Election_.releasing().empty() ||
                         Manager_.jobCount() > 0);
  Message.set_configuration_version(Configuration_.version());
  Message.set_highest_token(Tokens_.highest());
  return Message;
}

bool PoolDaemon::isClose(const mesh::MeshPeer &Peer) {
  return Peer.dataCentre() == Settings_.DataCentre || !Election_.managed().empty() ||
         Election_.homeManager() == Peer.Index;
}

void PoolDaemon::peerUp(const mesh::MeshPeer &Peer) {
  core::logLine(core::LogLevel::Information, "mesh", "peer reached",
                {{"vm", Peer.vm()},
                 {"address", Peer.address()},
                 {"index", std::to_string(static_cast<std::uint32_t>(Peer.Index))}});
  mesh::Frame Message;
  for (const auto *Known : Mesh_.known()) {
    Message.mutable_peers()->add_vms(Known->vm());
    Message.mutable_peers()->add_addresses(Known->address());
  }
  Mesh_.send(Peer.Index, Message);
}

void PoolDaemon::peerDown(const mesh::MeshPeer &Peer, mesh::PeerLoss How) {
  auto Now = core::MonotonicClock::now();
  core::logLine(core::LogLevel::Warning, "mesh", "peer lost",
                {{"vm", Peer.vm()},
                 {"ended", How == mesh::PeerLoss::Ended ? "true" : "false"},
                 {"silent_ms", std::to_string(core::toMilliseconds(Now - Peer.lastHeard()))}});
  AskedVersions_.erase(Peer.Index);
  Election_.peerLost(Peer.Index, How == mesh::PeerLoss::Ended, Now);
  Manager_.peerLost(Peer.Index, Peer.lastHeard(), Now);
  Ingress_.peerLost(Peer.Index, Now);
  for (auto Entry = Successors_.begin(); Entry != Successors_.end();)
    Entry = Entry->second == Peer.Index ? Successors_.erase(Entry) : std::next(Entry);
  applyElection(Now);
}

void PoolDaemon::heartbeatReceived(const mesh::MeshPeer &Peer, const mesh::Heartbeat &Message) {
  auto Now = core::MonotonicClock::now();
  kernel::CandidateState State;
  State.Vm = Peer.vm();
  State.DataCentre = Peer.dataCentre();
  State.Weight = Peer.weight();
  State.IsReady = Message.ready();
  State.IsStopping = Message.stopping();
  State.Managed.insert(Message.managed().begin(), Message.managed().end());
  State.Released.insert(Message.released().begin(), Message.released().end());
  State.Seen.insert(Message.seen().begin(), Message.seen().end());
  Election_.peerChanged(Peer.Index, std::move(State), Now);
  Tokens_.observe(Message.highest_token());
  Manager_.setManager(Peer.Index, Message.takes_part(), Now);
  if (Message.configuration_version() > Configuration_.version()) {
    auto &Asked = AskedVersions_[Peer.Index];
    if (Asked != Message.configuration_version()) {
      Asked = Message.configuration_version();
      mesh::Frame Request;
      Request.mutable_fetch_configuration()->set_above_version(Configuration_.version());
      Mesh_.send(Peer.Index, Request);
    }
  }
  applyElection(Now);
}

void PoolDaemon::messageReceived(const mesh::MeshPeer &Peer, const mesh::Frame &Message) {
  if (Message.has_peers()) {
    auto Count = std::min(Message.peers().vms_size(), Message.peers().addresses_size());
    for (int Position = 0; Position < Count; ++Position)
      Mesh_.learn(Message.peers().vms(Position), Message.peers().addresses(Position));
    return;
  }
  if (Message.has_fetch_configuration()) {
    if (Configuration_.version() <= Message.fetch_configuration().above_version())
      return;
    mesh::Frame Reply;
    Reply.mutable_configuration()->set_version(Configuration_.version());
    Reply.mutable_configuration()->set_document(Configuration_.current()->Document);
    return Mesh_.send(Peer.Index, Reply);
  }
  if (Message.has_configuration())
    return Configuration_.offer(Message.configuration().document(), Peer.vm());
  if (Message.has_backlog()) {
    std::vector<kernel::RouteBacklog> Backlog;
    auto Count = std::min(Message.backlog().routes_size(), Message.backlog().jobs_size());
    Backlog.reserve(static_cast<std::size_t>(Count));
    for (int Position = 0; Position < Count; ++Position)
      Backlog.push_back({Message.backlog().routes(Position), Message.backlog().jobs(Position)});
    return Ingress_.setBacklog(Peer.Index, Backlog);
  }
  if (auto Content = mesh::decode(Message, core::MonotonicClock::now()))
    deliver(Peer.Index, *Content);
}

void PoolDaemon::serveReadiness(const std::shared_ptr<reactor::HttpExchange> &Exchange) {
  bool IsCheck = Exchange->target() == Formats_->callers().readinessPath();
  if (!IsCheck)
    return Exchange->reply({404, {}, {}});
  Exchange->reply({isReady() ? 200U : 503U, {}, {}});
}

void PoolDaemon::serveMetrics(const std::shared_ptr<reactor::HttpExchange> &Exchange) {
  Exchange->reply({200, Metrics_.renderText(), {}});
}

void PoolDaemon::registerMetrics() {
  auto Counter = [this](const char *Name, auto Read) {
    Metrics_.gauge(Name, [this, Read] { return static_cast<double>(Read(*this)); });
  };
  Counter("cornellift_open_jobs", [](auto &Self) { return Self.Ingress_.openJobs(); });
  Counter("cornellift_managed_jobs", [](auto &Self) { return Self.Manager_.jobCount(); });
  Counter("cornellift_waiting_tasks", [](auto &Self) { return Self.Manager_.waitingTasks(); });
  Counter("cornellift_workers_held", [](auto &Self) { return Self.Manager_.fleet().held(); });
  Counter("cornellift_running_tasks", [](auto &Self) { return Self.Manager_.fleet().runCount(); });
  Counter("cornellift_starts_total",
          [](auto &Self) { return Self.Manager_.counters().StartsOrdered; });
  Counter("cornellift_starts_refused_total",
          [](auto &Self) { return Self.Manager_.counters().StartsRefused; });
  Counter("cornellift_runs_failed_total",
          [](auto &Self) { return Self.Manager_.counters().RunsFailed; });
  Counter("cornellift_runs_lost_total",
          [](auto &Self) { return Self.Manager_.counters().RunsLost; });
  Counter("cornellift_tasks_delegated_total",
          [](auto &Self) { return Self.Manager_.counters().TasksDelegated; });
  Counter("cornellift_delegations_refused_total",
          [](auto &Self) { return Self.Manager_.counters().DelegationsRefused; });
  Counter("cornellift_stragglers_moved_total",
          [](auto &Self) { return Self.Manager_.counters().StragglersMoved; });
  Counter("cornellift_worker_connections_total",
          [](auto &Self) { return Self.Workers_.connectionsMade(); });
  Counter("cornellift_configuration_version",
          [](auto &Self) { return Self.Configuration_.version(); });
  Counter("cornellift_peers", [](auto &Self) { return Self.Mesh_.peers().size(); });
  Counter("cornellift_store_failures_total",
          [](auto &Self) { return Self.Store_->counters().Failures; });
  Counter("cornellift_store_watches_total",
          [](auto &Self) { return Self.Store_->counters().Watches; });
  Counter("cornellift_log_lines_dropped_total",
          [](auto &Self) { return Self.Log_.linesDropped(); });
}

} // namespace cornellift::pool
