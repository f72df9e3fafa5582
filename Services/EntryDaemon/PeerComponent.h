#pragma once

#include "Libraries/LibPeer/PeerClient.h"
#include "Libraries/LibPeer/PeerServer.h"
#include "Services/EntryDaemon/ConfigurationSource.h"
#include "Services/EntryDaemon/Daemon.h"
#include "Services/EntryDaemon/DelegationClient.h"
#include "Services/EntryDaemon/GrpcPeerNetwork.h"
#include "Services/EntryDaemon/MembershipMonitor.h"
#include "Services/EntryDaemon/PeerService.h"
#include "Services/EntryDaemon/SlotLenderDriver.h"
#include "Services/EntryDaemon/StateTransfer.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace cornellift::entry {

/// Everything in an entry process that talks to peers: server, failure detector, slot lending,
/// delegation and state transfer.
class PeerComponent : public Component {
public:
  /// Store may be null. Makes the daemon use this network; add it before the components that need
  /// peers.
  PeerComponent(Daemon &Owner, platform::PlatformStore *Store);
  ~PeerComponent() override;

  /// Sets the configuration that peers can fetch from this process; without it they get none. Set
  /// before start().
  void setConfiguration(ConfigurationSource *Source);

  PeerNetwork &network() { return Network_; }
  MembershipMonitor &members() { return Members_; }

  /// Returns false with Malformed or Unavailable when the peer address cannot be used.
  bool start() override;
  void beginStop() override;
  bool isDrained() const override;
  void stop() override;

  /// Port of the peer server.
  int port() const { return Server_.port(); }

private:
  MembershipMonitor::SelfReport report() const;
  void attachToKernel();

  Daemon &Owner_;
  std::vector<std::string> Seeds_;
  peer::PeerClient Client_;
  LeavingEndpoints LeavingEndpoints_;
  MembershipMonitor Members_;
  SlotLenderDriver Slots_;
  DelegationClient Delegation_;
  StateTransfer Transfer_;
  GrpcPeerNetwork Network_;
  PeerService Service_;
  peer::PeerServer Server_;
  std::atomic<bool> TransferBegun_{false};
};

} // namespace cornellift::entry
