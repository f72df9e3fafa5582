#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Libraries/LibCore/MetricsRegistry.h"
#include "Libraries/LibHttp/HttpServer.h"
#include "Services/EntryDaemon/ActionRouter.h"
#include "Services/EntryDaemon/CallerApi.h"
#include "Services/EntryDaemon/Component.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/DaemonSettings.h"
#include "Services/EntryDaemon/EndpointDispatcher.h"
#include "Services/EntryDaemon/IssuerNames.h"
#include "Services/EntryDaemon/KernelThread.h"
#include "Services/EntryDaemon/RequestTable.h"

#include <atomic>
#include <memory>
#include <vector>

namespace cornellift::entry {

/// One entry process: owns the kernel's thread, the HTTP server and the other components, and
/// starts and stops them.
///
/// Further components are added with addComponent() before start(). They use the accessors: they
/// post events to kernel(), wait for responses with requests(), add routes to http(), and pass new
/// configurations to applyConfiguration().
class Daemon {
public:
  explicit Daemon(DaemonSettings Settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  void addComponent(std::unique_ptr<Component> Added) { Components_.push_back(std::move(Added)); }

  /// Makes requests for jobs of other issuers go to their owners. Without peers this process uses
  /// all slots of its data centre's endpoints; with peers, their component posts SlotsChanged.
  void setPeers(PeerNetwork &Peers);

  /// Returns false and sets the last reason when a component cannot start.
  bool start();

  /// Performs a planned stop: refuses new sessions, lets accepted jobs end within the stop time,
  /// and returns when all threads have ended.
  void stop();

  /// Puts a configuration in force. The caller must ensure that versions do not decrease.
  /// Thread-safe.
  void applyConfiguration(const std::shared_ptr<const kernel::KernelConfiguration> &Next);

  const DaemonSettings &settings() const { return Settings_; }
  kernel::Incarnation incarnation() const { return Incarnation_; }
  KernelThread &kernel() { return Kernel_; }
  RequestTable &requests() { return Requests_; }
  ActionRouter &router() { return Router_; }
  IssuerNames &issuerNames() { return Names_; }
  http::HttpServer &http() { return Http_; }
  CallerApi &callerApi() { return CallerApi_; }
  core::MetricsRegistry &metrics() { return Metrics_; }
  CurrentConfiguration &configuration() { return CurrentConfiguration_; }

  bool isStopping() const { return Stopping_.load(); }

  /// True when a configuration is in force and no stop has begun.
  bool isReady() const { return !isStopping() && CurrentConfiguration_.get() != nullptr; }

private:
  void addRoutes();
  bool loadConfigurationFile();
  void grantAllSlots(const kernel::KernelConfiguration &Configuration);
  void awaitDrained();

  DaemonSettings Settings_;
  const kernel::Incarnation Incarnation_;
  core::MetricsRegistry Metrics_;
  CurrentConfiguration CurrentConfiguration_;
  IssuerNames Names_;
  KernelThread Kernel_;
  RequestTable Requests_;
  EndpointDispatcher Endpoints_;
  ActionRouter Router_;
  CallerApi CallerApi_;
  http::HttpServer Http_;
  std::vector<std::unique_ptr<Component>> Components_;
  PeerNetwork *Peers_ = nullptr;
  std::atomic<bool> Stopping_{false};
  bool Started_ = false;
};

} // namespace cornellift::entry
