#pragma once

#include "Libraries/LibPlatform/PlatformStore.h"
#include "Services/EntryDaemon/ConfigurationDuty.h"
#include "Services/EntryDaemon/Daemon.h"
#include "Services/EntryDaemon/OperatorApi.h"
#include "Services/EntryDaemon/StandalonePeerNetwork.h"

#include <memory>

namespace cornellift::entry {

/// The platform side of one entry process: store, configuration and the operators' routes.
class ConfigurationService : public Duty {
public:
  /// Adds its routes to the daemon's server. Without setPeers() the process has no peers.
  ConfigurationService(Daemon &Owner, std::unique_ptr<platform::PlatformStore> Store);

  /// Makes the service for the settings of the daemon; empty with NotFound when the build has no
  /// client for the platform.
  static std::unique_ptr<ConfigurationService> make(Daemon &Owner);

  ConfigurationSource &source() { return Configuration_; }
  platform::PlatformStore &store() { return *Store_; }

  /// Call before start().
  void setPeers(PeerNetwork &Peers);

  bool start() override { return Configuration_.start(); }
  void stop() override { Configuration_.stop(); }

private:
  std::unique_ptr<platform::PlatformStore> Store_;
  ConfigurationDuty Configuration_;
  StandalonePeerNetwork NoPeers_;
  OperatorApi Operators_;
};

} // namespace cornellift::entry
