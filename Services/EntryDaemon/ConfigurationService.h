#pragma once

#include "Libraries/LibPlatform/PlatformStore.h"
#include "Services/EntryDaemon/ConfigurationUpdater.h"
#include "Services/EntryDaemon/Daemon.h"
#include "Services/EntryDaemon/OperatorApi.h"
#include "Services/EntryDaemon/StandalonePeerNetwork.h"

#include <memory>

namespace cornellift::entry {

/// Parts of an entry process that depend on the platform: the store client, configuration updates
/// and the routes for operators.
class ConfigurationService : public Component {
public:
  /// Adds the operators' routes to the daemon's server. Without setPeers() the process has no
  /// peers.
  ConfigurationService(Daemon &Owner, std::unique_ptr<platform::PlatformStore> Store);

  /// Creates the service from the daemon's settings. Returns null with NotFound when the build has
  /// no client for the platform.
  static std::unique_ptr<ConfigurationService> make(Daemon &Owner);

  ConfigurationSource &source() { return Configuration_; }
  platform::PlatformStore &store() { return *Store_; }

  /// Call before start().
  void setPeers(PeerNetwork &Peers);

  bool start() override { return Configuration_.start(); }
  void stop() override { Configuration_.stop(); }

private:
  std::unique_ptr<platform::PlatformStore> Store_;
  ConfigurationUpdater Configuration_;
  StandalonePeerNetwork NoPeers_;
  OperatorApi Operators_;
};

} // namespace cornellift::entry
