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

constexpr core::Duration TickInterval = std::chrono::milliseconds(10);
/// Time between the last answers of a planned stop and the moment when the process is killed. In
/// this time it still refuses the requests that arrive.
constexpr core::Duration FinalReplyTime = std::chrono::milliseconds(700);
/// Margin between the end of a planned stop and the moment when the process is killed.
constexpr core::Duration KillMargin = std::chrono::milliseconds(200);
/// Minimum duration of a planned stop: the load balancer needs two readiness checks of one second
/// each to detect it.
constexpr core::Duration BalancerDetectionTime = std::chrono::milliseconds(2300);
constexpr core::Duration BacklogInterval = std::chrono::milliseconds(500);
/// Interval between checks of the settings file's modification time.
constexpr core::Duration FileCheckInterval = std::chrono::milliseconds(1000);

/// Limits of the readiness and of the metrics address, for the load balancer and for those who read
/// metrics.
constexpr std::size_t MonitoringConnections = 96;
constexpr std::size_t MonitoringMemoryBytes = 4U << 20;

std::uint64_t randomIncarnation() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

mesh::MeshIdentity identityOf(const DaemonSettings &Settings) {
  return {Settings.VmName, Settings.DataCentre, Settings.AdvertisedAddress, randomIncarnation(),
          Settings.Weight};
}

/// Returns whether a change takes effect only after a restart.
bool needsRestart(const DaemonSettings &Former, const DaemonSettings &Changed) {
  return Former.VmName != Changed.VmName || Former.DataCentre != Changed.DataCentre ||
         Former.CallerAddress != Changed.CallerAddress ||
         Former.ReadinessAddress != Changed.ReadinessAddress ||
         Former.MeshAddress != Changed.MeshAddress ||
         Former.MetricsAddress != Changed.MetricsAddress ||
         Former.StoreAddress != Changed.StoreAddress || Former.Platform != Changed.Platform ||
         Former.Weight != Changed.Weight || Former.CallerMemoryBytes != Changed.CallerMemoryBytes ||
         Former.ManagerMemoryBytes != Changed.ManagerMemoryBytes ||
         Former.CallerConnections != Changed.CallerConnections;
}

kernel::PoolSettings managerSettings(const DaemonSettings &Settings) {
  kernel::PoolSettings Result;
  Result.RemoteFactor = Settings.RemoteFactor;
  Result.JobBytes = Settings.ManagerMemoryBytes;
  return Result;
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
      Log_(Settings_.LogLinesPerSecond, Settings_.SuppressedLineCapacity),
      Store_(std::make_shared<store::StoreClient>(Reactor_, Settings_.StoreAddress,
                                                  Formats_->store())),
      Configuration_(Formats_->store(), Log_,
                     [this](const auto &Changed) { configurationChanged(Changed); }),
      WorkerClient_(
          Reactor_, Formats_->workers(),
          [this](kernel::PeerIndex Peer, kernel::PoolMessage Message) {
            send(Peer, std::move(Message));
          },
          [this](kernel::EndpointIndex Worker) { workerDropped(Worker); }),
      Manager_(managerSettings(Settings_), WorkerClient_, Tokens_, Log_),
      Election_(candidateOf(Settings_), core::MonotonicClock::now()),
      Mesh_(Reactor_, identityOf(Settings_), *this),
      Ingress_(
          Formats_->callers(), Log_, Metrics_,
          [this](kernel::PeerIndex Peer, kernel::PoolMessage Message) {
            send(Peer, std::move(Message));
          },
          [this] { return reachableProcesses(); }),
      Directory_(Reactor_, Store_, Formats_->workers(), Log_, [this] { workersChanged(); }),
      OperatorKeys_(std::make_shared<store::KeyMirror>(
          Reactor_, Store_, std::string(Formats_->store().operatorPrefix()),
          ConfigurationMirrorOptions,
          [this](const store::KeyMirror::Items &Items) { operatorKeysChanged(Items); })),
      Registration_(std::make_shared<VmRegistration>(
          Reactor_, Store_,
          mesh::PeerRecord{Settings_.VmName, Settings_.AdvertisedAddress, Settings_.DataCentre,
                           Settings_.Weight},
          [this](const mesh::PeerRecord &Record) {
            Mesh_.addOrUpdatePeer(Record, mesh::PeerSource::Listed, core::MonotonicClock::now());
          })) {
  WorkerClient_.setManager(Manager_);
  Manager_.setDataWaits(Settings_.HasDataWaits);
  Election_.setDataCentres(Settings_.DataCentres);
  registerMetrics();
}

PoolDaemon::~PoolDaemon() = default;

bool PoolDaemon::listen() {
  CallerServer_ =
      reactor::HttpServer::listen(Reactor_, Settings_.CallerAddress,
                                  [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) {
                                    Ingress_.handle(Exchange);
                                  });
  if (!CallerServer_)
    return false;
  ReadinessServer_ = reactor::HttpServer::listen(
      Reactor_, Settings_.ReadinessAddress,
      [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) { serveReadiness(Exchange); });
  if (!ReadinessServer_)
    return false;
  MetricsServer_ = reactor::HttpServer::listen(
      Reactor_, Settings_.MetricsAddress,
      [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) { serveMetrics(Exchange); });
  if (!MetricsServer_)
    return false;
  limitClients();
  return Mesh_.listen(Settings_.MeshAddress);
}

void PoolDaemon::limitClients() {
  auto Limits = CallerServer_->limits();
  Limits.Connections = Settings_.CallerConnections;
  Limits.MemoryBytes = Settings_.CallerMemoryBytes;
  CallerServer_->setLimits(Limits);
  CallerServer_->setBodyFilter(
      [this](const reactor::ReceivedRequest &Request) { return Ingress_.takesBody(Request); });
  // Limits of their own, so that no crowd at one address shuts out the clients of another.
  Limits.Connections = MonitoringConnections;
  Limits.MemoryBytes = MonitoringMemoryBytes;
  for (const auto &Server : {ReadinessServer_, MetricsServer_}) {
    Server->setLimits(Limits);
    Server->setBodyFilter(
        [](const reactor::ReceivedRequest &Request) { return isWhereQuestion(Request.target()); });
  }
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
    Mesh_.addSeedAddress(Address);
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
    core::logLine(core::LogLevel::Error, "pool",
                  "invalid settings; the previous ones stay in force",
                  {{"file", Settings_.File}, {"reason", core::lastReason().Message}});
    return;
  }
  core::logLine(core::LogLevel::Information, "pool", "settings read again",
                {{"file", Settings_.File},
                 {"after_restart", needsRestart(Settings_, *Changed) ? "true" : "false"}});
  Settings_.StopTimeout = Changed->StopTimeout;
  Settings_.DataCentres = Changed->DataCentres;
  Log_.setRateLimit(Changed->LogLinesPerSecond);
  Manager_.setRemoteFactor(Changed->RemoteFactor);
  Manager_.setDataWaits(Changed->HasDataWaits);
  Election_.setDataCentres(Settings_.DataCentres);
  readEvacuations(core::MonotonicClock::now());
  for (const auto &Address : Changed->SeedAddresses)
    Mesh_.addSeedAddress(Address);
}

void PoolDaemon::reloadIfChanged(core::TimePoint Now) {
  if (Settings_.File.empty() || Now < NextFileCheckAt_)
    return;
  NextFileCheckAt_ = Now + FileCheckInterval;
  std::error_code Error;
  auto Time = std::filesystem::last_write_time(Settings_.File, Error);
  if (Error || Time == FileModifiedAt_)
    return; // A file that is being replaced exists at the next check.
  bool IsFirst = FileModifiedAt_ == std::filesystem::file_time_type();
  FileModifiedAt_ = Time;
  if (!IsFirst)
    reload();
}

void PoolDaemon::beginStop() {
  if (Stop_)
    return;
  auto Now = core::MonotonicClock::now();
  core::logLine(core::LogLevel::Information, "pool", "stopping",
                {{"open_jobs", std::to_string(Ingress_.openJobs())},
                 {"managed_jobs", std::to_string(Manager_.jobCount())}});
  auto KilledAt = Now + Settings_.StopTimeout;
  Stop_ = {Now + BalancerDetectionTime, KilledAt - FinalReplyTime, KilledAt - KillMargin};
  Ingress_.answerAllBy(Stop_->AnswerBy);
  Election_.setStopping();
  Registration_->stop();
  CallerServer_->beginDrain();
  applyElection(Now);
  Mesh_.sendHeartbeats(Now);
}

void PoolDaemon::stopIfDone(core::TimePoint Now) {
  if (!Stop_)
    return;
  bool IsIdle = CallerServer_->openRequests() == 0 && CallerServer_->connections() == 0 &&
                Ingress_.openJobs() == 0 && Manager_.jobCount() == 0 &&
                Election_.managed().empty() && Election_.releasing().empty();
  if ((IsIdle && Now >= Stop_->BalancerDetectedAt) || Now >= Stop_->EndBy) {
    Mesh_.close();
    Reactor_.stop();
  }
}

void PoolDaemon::scheduleTick() {
  TickDueAt_ = std::max(TickDueAt_ + TickInterval, core::MonotonicClock::now());
  Timer_.expires_at(reactor::timerDeadline(TickDueAt_));
  Timer_.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    Metrics_.histogram("cornellift_loop_delay_milliseconds").add(millisecondsSince(TickDueAt_));
    tick();
    scheduleTick();
  });
}

void PoolDaemon::tick() {
  auto Now = core::MonotonicClock::now();
  // The mesh comes first: after a pause of the process, peers that were lost in the meantime are
  // recognised as lost before anything is started for them.
  forgetRemovedVms(Now);
  planLinks(Now);
  Mesh_.tick(Now);
  if (OperatorKeys_->revision() > Evacuations_.state().Revision)
    readEvacuations(Now); // Replies without a change of these keys confirm them, too.
  Tokens_.observeRevision(Directory_.revision());
  Directory_.tick(Now);
  applyElection(Now);
  Manager_.tick(Now);
  Ingress_.tick(Now);
  requestConfiguration(Now);
  sendBacklog(Now);
  reloadIfChanged(Now);
  stopIfDone(Now);
}

bool PoolDaemon::isReadyToManage() const {
  return Configuration_.current() != nullptr && Directory_.isLoaded() && Evacuations_.isKnown();
}

bool PoolDaemon::isReady() const {
  return Configuration_.current() != nullptr && !Stop_ && AssignedManager_.has_value();
}

void PoolDaemon::send(kernel::PeerIndex Peer, kernel::PoolMessage Message) {
  if (Peer != kernel::SelfPeer)
    return Mesh_.send(Peer, mesh::encode(Message, core::MonotonicClock::now()));
  // Posted, so that the manager completes its current call before it receives the message.
  reactor::asio::post(Reactor_,
                      [this, Message = std::move(Message)] { deliver(kernel::SelfPeer, Message); });
}

void PoolDaemon::deliver(kernel::PeerIndex From, const kernel::PoolMessage &Message) {
  auto Now = core::MonotonicClock::now();
  if (const auto *Answer = std::get_if<kernel::PoolAnswer>(&Message))
    return Ingress_.answered(*Answer, Now);
  if (const auto *Cancelled = std::get_if<kernel::CancelJob>(&Message))
    return cancelJob(From, Cancelled->Job, Now);
  if (const auto *Reply = std::get_if<kernel::CancelReply>(&Message))
    return Ingress_.cancelReplied(From, *Reply);
  if (const auto *Belated = std::get_if<kernel::CancelledJobs>(&Message))
    return cancelBelatedly(*Belated, Now);
  if (const auto *Released = std::get_if<kernel::ReleaseWorkers>(&Message))
    return workersReleased(From, *Released, Now);
  Manager_.receive(From, Message, Now);
}

void PoolDaemon::cancelJob(kernel::PeerIndex From, kernel::JobKey Key, core::TimePoint Now) {
  bool IsAwaited = Ingress_.cancelOpenJob(Key, Now);
  bool IsManaged = Manager_.cancel(Key, Now);
  send(From, kernel::CancelReply{Key, IsAwaited || IsManaged});
}

void PoolDaemon::cancelBelatedly(const kernel::CancelledJobs &Cancelled, core::TimePoint Now) {
  for (const auto &Each : Cancelled.Jobs) {
    Ingress_.cancelOpenJob(Each.Job, Now);
    Manager_.cancelBelatedly(Each, Now);
  }
}

ReachableProcesses PoolDaemon::reachableProcesses() {
  ReachableProcesses Reached{{kernel::SelfPeer}, true};
  for (const auto *Peer : Mesh_.connectedPeers())
    Reached.Indexes.push_back(Peer->Index);
  for (const auto *Peer : Mesh_.knownPeers())
    if (!Peer->vm().empty() && !Peer->isUp() && isNeeded(*Peer))
      Reached.AreAll = false;
  return Reached;
}

void PoolDaemon::sendBacklog(core::TimePoint Now) {
  if (Now < NextBacklogAt_)
    return;
  NextBacklogAt_ = Now + BacklogInterval;
  reportReleased(Now);
  auto Backlog = Manager_.backlog();
  Ingress_.setBacklog(kernel::SelfPeer, Backlog);
  bool HadBacklog = std::exchange(HadBacklog_, !Backlog.empty());
  if (Backlog.empty() && !HadBacklog)
    return;
  mesh::Frame Message;
  for (const auto &Entry : Backlog) {
    Message.mutable_backlog()->add_routes(Entry.Route);
    Message.mutable_backlog()->add_jobs(Entry.Jobs);
  }
  Message.mutable_backlog();
  for (const auto *Peer : Mesh_.connectedPeers())
    Mesh_.send(Peer->Index, Message);
}

void PoolDaemon::serveReadiness(const std::shared_ptr<reactor::HttpExchange> &Exchange) {
  bool IsCheck = Exchange->target() == Formats_->callers().readinessPath();
  if (!IsCheck)
    return Exchange->reply({404, {}, {}});
  Exchange->reply({isReady() ? 200U : 503U, {}, {}});
}

} // namespace cornellift::pool
