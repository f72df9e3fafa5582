#pragma once

#include "Kernel/Pool/ClaimSchedule.h"
#include "Kernel/Pool/ConfigurationFetch.h"
#include "Kernel/Pool/Evacuations.h"
#include "Kernel/Pool/PoolElection.h"
#include "Kernel/Pool/PoolManager.h"
#include "Kernel/Pool/TokenSource.h"
#include "Libraries/LibCore/MetricsRegistry.h"
#include "Libraries/LibMesh/MeshNode.h"
#include "Libraries/LibPlatform/PlatformFormats.h"
#include "Libraries/LibReactor/HttpServer.h"
#include "Libraries/LibStore/KeyMirror.h"
#include "Libraries/LibStore/StoreClient.h"
#include "Services/PoolDaemon/ActiveConfiguration.h"
#include "Services/PoolDaemon/DaemonSettings.h"
#include "Services/PoolDaemon/DecisionLogWriter.h"
#include "Services/PoolDaemon/Ingress.h"
#include "Services/PoolDaemon/VmRegistration.h"
#include "Services/PoolDaemon/WorkerClient.h"
#include "Services/PoolDaemon/WorkerDirectory.h"

#include <boost/asio/signal_set.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace cornellift::pool {

/// The entry process for leased workers: one thread that serves callers, other entry processes,
/// workers and the store from one reactor.
class PoolDaemon final : private mesh::MeshListener {
public:
  /// Returns null with the reason if the platform is unknown or an address is in use.
  static std::unique_ptr<PoolDaemon> make(DaemonSettings Settings,
                                          std::span<const char *const> Arguments);

  PoolDaemon(DaemonSettings Settings, std::unique_ptr<platform::PlatformFormats> Formats,
             std::span<const char *const> Arguments);
  ~PoolDaemon() override;

  /// Serves until a planned stop is complete.
  void run();

private:
  /// A version that a peer receives part by part, whatever is in force meanwhile.
  struct SentDocument {
    std::shared_ptr<const kernel::PoolConfiguration> Configuration;
    core::TimePoint Deadline; ///< For the peer's next request.
  };

  /// The moments of a planned stop.
  struct StopSchedule {
    core::TimePoint BalancerDetectedAt; ///< Earliest end.
    core::TimePoint AnswerBy;           ///< All requests are answered by then.
    core::TimePoint EndBy;              ///< The process ends, whatever is open.
  };

  bool listen();
  /// Sets what clients may make the process hold.
  void limitClients();
  void watchSignals();
  void reload();
  /// Reloads the settings if their file has changed, without waiting for a signal.
  void reloadIfChanged(core::TimePoint Now);
  void beginStop();
  void stopIfDone(core::TimePoint Now);
  void tick();
  void scheduleTick();

  void applyElection(core::TimePoint Now);
  void workersChanged();
  /// Managed data centres whose workers may be used. Excludes data centres that were taken over
  /// with a listing that is too old to show which workers are draining.
  std::set<std::string> usableDataCentres(core::TimePoint Now);
  void workerDropped(kernel::EndpointIndex Worker);
  /// Claims workers that their former manager has released.
  void workersReleased(kernel::PeerIndex From, const kernel::ReleaseWorkers &Released,
                       core::TimePoint Now);
  /// Tells the managers that have taken over in place of the expected ones, which may be lost,
  /// which workers this process has released so far.
  void tellSuccessors();
  void reportReleased(core::TimePoint Now);
  void operatorKeysChanged(const store::KeyMirror::Items &Items);
  void configurationChanged(const std::shared_ptr<const kernel::PoolConfiguration> &Configuration);
  /// Reads the evacuations anew from the copy of the operators' keys.
  void readEvacuations(core::TimePoint Now);
  void learnEvacuations(const kernel::EvacuationState &Told, std::string_view Source,
                        core::TimePoint Now);
  void forgetRemovedVms(core::TimePoint Now);
  /// Decides which other entry processes this one needs links to.
  void planLinks(core::TimePoint Now);
  void send(kernel::PeerIndex Peer, kernel::PoolMessage Message);
  /// Requests a newer configuration from a peer if that is due.
  void requestConfiguration(core::TimePoint Now);
  void sendConfiguration(const mesh::MeshPeer &Peer, const mesh::FetchConfiguration &Request);
  void configurationReceived(const mesh::MeshPeer &Peer, const mesh::Configuration &Message);
  void deliver(kernel::PeerIndex From, const kernel::PoolMessage &Message);
  void cancelJob(kernel::PeerIndex From, kernel::JobKey Key, core::TimePoint Now);
  void cancelBelatedly(const kernel::CancelledJobs &Cancelled, core::TimePoint Now);
  ReachableProcesses reachableProcesses();
  void sendBacklog(core::TimePoint Now);
  bool isReady() const;
  /// Returns whether this process knows what it needs to start tasks.
  bool isReadyToManage() const;
  void registerMetrics();
  void registerClientMetrics();
  void registerJobMetrics();
  void registerRunMetrics();
  void registerWorkerMetrics();
  void registerDataWaitMetrics();
  void registerStoreMetrics();
  double millisecondsSince(core::TimePoint Moment) const;
  void serveReadiness(const std::shared_ptr<reactor::HttpExchange> &Exchange);
  void serveMetrics(const std::shared_ptr<reactor::HttpExchange> &Exchange);
  /// Returns whether the target of a request at the metrics' address asks where a job would go.
  static bool isWhereQuestion(std::string_view Target);
  void serveWhere(const std::shared_ptr<reactor::HttpExchange> &Exchange);
  std::string vmName(kernel::PeerIndex Peer) const;

  mesh::Heartbeat makeHeartbeat() override;
  bool sharesWorkWith(const mesh::MeshPeer &Peer) override;
  bool isNeeded(const mesh::MeshPeer &Peer) override;
  void peerUp(const mesh::MeshPeer &Peer) override;
  void peerDown(const mesh::MeshPeer &Peer, mesh::PeerLossReason Reason) override;
  void heartbeatReceived(const mesh::MeshPeer &Peer, const mesh::Heartbeat &Message) override;
  void messageReceived(const mesh::MeshPeer &Peer, const mesh::Frame &Message) override;

  DaemonSettings Settings_;
  std::vector<std::string> Arguments_;
  std::unique_ptr<platform::PlatformFormats> Formats_;
  reactor::asio::io_context Reactor_;
  reactor::asio::signal_set Signals_;
  reactor::asio::steady_timer Timer_;
  core::MetricsRegistry Metrics_;
  DecisionLogWriter Log_;
  kernel::TokenSource Tokens_;
  std::shared_ptr<store::StoreClient> Store_;
  ActiveConfiguration Configuration_;
  WorkerClient WorkerClient_;
  kernel::PoolManager Manager_;
  kernel::PoolElection Election_;
  mesh::MeshNode Mesh_;
  Ingress Ingress_;
  WorkerDirectory Directory_;
  std::shared_ptr<store::KeyMirror> OperatorKeys_;
  std::shared_ptr<VmRegistration> Registration_;
  std::shared_ptr<reactor::HttpServer> CallerServer_;
  std::shared_ptr<reactor::HttpServer> ReadinessServer_;
  std::shared_ptr<reactor::HttpServer> MetricsServer_;

  std::minstd_rand Random_{std::random_device()()};
  /// The manager that gets the jobs of this process's callers, as of the election's last
  /// evaluation.
  std::optional<kernel::PeerIndex> AssignedManager_;
  std::map<std::string, kernel::PeerIndex> Successors_; ///< By data centre that is being released.
  /// Since when a data centre is being released, for the log.
  std::map<std::string, core::TimePoint> ReleasingSince_;
  kernel::ClaimSchedule Claims_;
  /// Until when to wait for a fresh listing, by data centre.
  std::map<std::string, core::TimePoint> FreshListingDeadlines_;
  kernel::ConfigurationFetch ConfigurationFetch_{std::random_device()()};
  /// Configurations of which peers have received some parts.
  std::map<kernel::PeerIndex, SentDocument> DocumentsBeingSent_;
  kernel::Evacuations Evacuations_;
  std::set<std::string> UnknownEvacuations_; ///< Names in keys that are no data centre's.
  bool NeedsAllLinks_ = true;
  std::set<std::string> Hubs_; ///< Empty in a full mesh, where all links are needed.
  core::TimePoint LinksPlannedAt_;
  core::TimePoint LastForgetAt_;     ///< Last check for removed VMs.
  std::optional<StopSchedule> Stop_; ///< Of the planned stop that has begun, if any.
  core::TimePoint TickDueAt_;
  core::TimePoint NextBacklogAt_;
  core::TimePoint NextFileCheckAt_; ///< Next check of the settings file.
  std::filesystem::file_time_type FileModifiedAt_;
  core::TimePoint ConfigurationReceivedAt_; ///< When the configuration in force was received.
  bool HadBacklog_ = false;
};

} // namespace cornellift::pool
