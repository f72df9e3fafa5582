#pragma once

#include "Libraries/LibMesh/MeshPeer.h"
#include "Libraries/LibReactor/Asio.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::mesh {

/// Learns of the peers of a MeshNode. Calls come on the reactor's thread.
class MeshListener {
public:
  virtual ~MeshListener() = default;
  virtual Heartbeat makeHeartbeat() = 0;
  /// Whether work is shared with the VM, so that its loss has to be noticed soon.
  virtual bool sharesWorkWith(const MeshPeer &Peer) = 0;
  /// Whether this process needs a link to the VM. A link stays while either side needs it.
  virtual bool isNeeded(const MeshPeer &Peer) = 0;
  virtual void peerUp(const MeshPeer &Peer) = 0;
  virtual void peerDown(const MeshPeer &Peer, PeerLossReason Reason) = 0;
  virtual void heartbeatReceived(const MeshPeer &Peer, const Heartbeat &Message) = 0;
  virtual void messageReceived(const MeshPeer &Peer, const Frame &Message) = 0;
};

/// All links of this process to other entry processes.
class MeshNode final : private MeshPeerOwner {
public:
  MeshNode(asio::io_context &Reactor, MeshIdentity Identity, MeshListener &Listener);
  ~MeshNode() override;

  /// Returns false with Unavailable when the port cannot be bound.
  bool listen(const Tcp::endpoint &Address);

  /// A VM exists, or existed a short time ago.
  void addOrUpdatePeer(const PeerRecord &Record, PeerSource Source, core::TimePoint Now);

  /// An address without a name, such as one of the settings; its process tells its name.
  void addSeedAddress(const std::string &Address);

  void send(kernel::PeerIndex Peer, Frame Message);

  /// Sends heartbeats to all peers now, because their content has changed.
  void sendHeartbeats(core::TimePoint Now);

  void tick(core::TimePoint Now);
  void close();

  /// Links that are up.
  std::vector<const MeshPeer *> connectedPeers() const;
  /// Asks the listener again which links are needed.
  void updateNeededLinks();

  /// Drops the VMs that have probably been removed.
  void removeExpiredPeers(core::TimePoint Now);

  /// All VMs that are known by name, reachable or not.
  std::vector<const MeshPeer *> knownPeers() const;
  bool hasKnownPeers() const;
  /// Links, up or not.
  std::size_t size() const { return Peers_.size(); }
  const MeshPeer *find(kernel::PeerIndex Index) const;
  const MeshIdentity &identity() const override { return Identity_; }

private:
  using PeerList = std::vector<std::shared_ptr<MeshPeer>>;

  /// The peers as they are now; the list stays as it is while peers come and go.
  std::shared_ptr<const PeerList> peerList();
  void acceptNext();
  void helloReceived(const std::shared_ptr<MeshConnection> &Connection, const Frame &Message);
  void updateNeeded(MeshPeer &Peer);
  std::shared_ptr<MeshPeer> findOrCreatePeer(const std::string &Vm);
  std::uint64_t newSession() override;
  void peerNamed(MeshPeer &Peer, const std::string &Vm) override;
  Heartbeat currentHeartbeat() override;
  void peerUp(MeshPeer &Peer) override;
  void peerDown(MeshPeer &Peer, PeerLossReason Reason) override;
  void peerHeartbeat(MeshPeer &Peer, const Heartbeat &Message) override;
  void peerMessage(MeshPeer &Peer, const Frame &Message) override;

  asio::io_context &Reactor_;
  MeshIdentity Identity_;
  MeshListener &Listener_;
  Tcp::acceptor Acceptor_;
  std::mt19937_64 Random_;
  std::map<std::string, std::shared_ptr<MeshPeer>> Peers_;
  std::unordered_map<kernel::PeerIndex, MeshPeer *> ByIndex_;
  std::uint32_t NextIndex_ = 1;
  std::shared_ptr<const PeerList> List_; ///< Of Peers_; empty when these have changed.
  std::size_t FirstDialPosition_ = 0;    ///< Position of the peer that may dial first.
  /// The heartbeat of the round under way, which is the same for all peers.
  std::optional<Heartbeat> TickHeartbeat_;
};

} // namespace cornellift::mesh
