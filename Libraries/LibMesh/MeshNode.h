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

/// Receives the events of a MeshNode. All functions are called on the reactor's thread.
class MeshListener {
public:
  virtual ~MeshListener() = default;
  /// Returns the content of the next heartbeat; the node fills in the fields about the link.
  virtual Heartbeat makeHeartbeat() = 0;
  /// Returns whether this process shares work with the VM, so that its loss must be detected
  /// quickly.
  virtual bool sharesWorkWith(const MeshPeer &Peer) = 0;
  /// Returns whether this process needs a link to the VM. A link is kept while either side needs
  /// it.
  virtual bool isNeeded(const MeshPeer &Peer) = 0;
  virtual void peerUp(const MeshPeer &Peer) = 0;
  virtual void peerDown(const MeshPeer &Peer, PeerLossReason Reason) = 0;
  virtual void heartbeatReceived(const MeshPeer &Peer, const Heartbeat &Message) = 0;
  virtual void messageReceived(const MeshPeer &Peer, const Frame &Message) = 0;
};

/// Maintains the links from this process to the other entry processes.
class MeshNode final : private MeshPeerOwner {
public:
  MeshNode(asio::io_context &Reactor, MeshIdentity Identity, MeshListener &Listener);
  ~MeshNode() override;

  /// Starts accepting connections. Returns false with Unavailable if the port cannot be bound.
  bool listen(const Tcp::endpoint &Address);

  /// Adds a VM that exists, or existed a short time ago, or updates its record.
  void addOrUpdatePeer(const PeerRecord &Record, PeerSource Source, core::TimePoint Now);

  /// Adds an address whose VM name is not known, such as a seed address of the settings. The
  /// process there replies with its name.
  void addSeedAddress(const std::string &Address);

  void send(kernel::PeerIndex Peer, Frame Message);

  /// Sends a heartbeat to every peer at once, because the content has changed.
  void sendHeartbeats(core::TimePoint Now);

  void tick(core::TimePoint Now);
  void close();

  /// Peers whose link is up.
  std::vector<const MeshPeer *> connectedPeers() const;
  /// Queries the listener again for the links that are needed.
  void updateNeededLinks();

  /// Removes VMs that have not been confirmed for so long that they probably no longer exist.
  void removeExpiredPeers(core::TimePoint Now);

  /// All VMs whose name is known, reachable or not.
  std::vector<const MeshPeer *> knownPeers() const;
  bool hasKnownPeers() const;
  /// Number of links, up or down.
  std::size_t size() const { return Peers_.size(); }
  const MeshPeer *find(kernel::PeerIndex Index) const;
  const MeshIdentity &identity() const override { return Identity_; }
  /// Number of received frames that could not be read.
  std::uint64_t unreadableFrames() const { return UnreadableFrames_; }
  /// Number of messages that a peer has not accepted although they were sent repeatedly.
  std::uint64_t messagesNotAccepted() const { return MessagesNotAccepted_; }

private:
  using PeerList = std::vector<std::shared_ptr<MeshPeer>>;

  /// Returns an immutable snapshot of the peers, safe to iterate while peers are added and removed.
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
  void unreadableFrameReceived(const MeshPeer &Peer, const UnreadableFrame &Rejected) override;
  void messageNotAccepted(const MeshPeer &Peer, const std::string &Serialised) override;

  asio::io_context &Reactor_;
  MeshIdentity Identity_;
  MeshListener &Listener_;
  Tcp::acceptor Acceptor_;
  std::mt19937_64 Random_;
  std::map<std::string, std::shared_ptr<MeshPeer>> Peers_;
  std::unordered_map<kernel::PeerIndex, MeshPeer *> ByIndex_;
  std::uint32_t NextIndex_ = 1;
  std::uint64_t UnreadableFrames_ = 0;
  std::uint64_t MessagesNotAccepted_ = 0;
  std::shared_ptr<const PeerList> List_; ///< Snapshot of Peers_; empty when outdated.
  std::size_t FirstDialPosition_ = 0;    ///< Position of the peer that may dial first.
  /// Heartbeat of the current tick, which is the same for all peers.
  std::optional<Heartbeat> TickHeartbeat_;
};

} // namespace cornellift::mesh
