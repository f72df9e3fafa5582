#pragma once

#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"
#include "Libraries/LibMesh/MeshConnection.h"
#include "Libraries/LibMesh/PeerClock.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornellift::mesh {

/// How a process identifies itself to its peers.
struct MeshIdentity {
  std::string Vm;
  std::string DataCentre;
  std::string Address; ///< IP address and port of its mesh port.
  std::uint64_t Incarnation = 0;
  std::uint32_t Weight = 1; ///< Relative processing power.
};

enum class PeerLossReason {
  Silent,   ///< Timeout: nothing was received for too long. The process may still be running.
  Ended,    ///< The process has ended or was replaced by a new one.
  Unneeded, ///< Neither side needs the link, so that it was closed.
  Rejected  ///< One side could not read a message, so that the session was ended.
};

/// Where the knowledge that a VM exists comes from.
enum class PeerSource : std::uint8_t {
  Listed,  ///< The platform's store or the settings.
  Gossiped ///< Another VM, which may not have noticed yet that the VM is gone.
};

/// What is known about an entry process before there is a link to it.
struct PeerRecord {
  std::string Vm;
  std::string Address;      ///< IP address and port of its mesh port.
  std::string DataCentre;   ///< Empty if unknown; the weight is meaningless then.
  std::uint32_t Weight = 1; ///< Relative processing power.
};

class MeshPeer;

/// Permission for a peer to open a connection during this tick.
enum class DialPermission : std::uint8_t { Granted, Denied };

/// Owner of the peers, which receives their events.
class MeshPeerOwner {
public:
  virtual ~MeshPeerOwner() = default;
  virtual const MeshIdentity &identity() const = 0;
  virtual std::uint64_t newSession() = 0;
  /// The process at an address has reported its VM name; the peer that stands for the address is no
  /// longer needed.
  virtual void peerNamed(MeshPeer &Peer, const std::string &Vm) = 0;
  virtual Heartbeat currentHeartbeat() = 0;
  virtual void peerUp(MeshPeer &Peer) = 0;
  virtual void peerDown(MeshPeer &Peer, PeerLossReason Reason) = 0;
  virtual void peerHeartbeat(MeshPeer &Peer, const Heartbeat &Message) = 0;
  virtual void peerMessage(MeshPeer &Peer, const Frame &Message) = 0;
  /// The peer has sent a frame that cannot be read.
  virtual void unreadableFrameReceived(const MeshPeer &Peer, const UnreadableFrame &Rejected) = 0;
  /// The peer has not accepted a message, although it was sent repeatedly.
  virtual void messageNotAccepted(const MeshPeer &Peer, const std::string &Serialised) = 0;
};

/// The link to one other VM. It delivers messages exactly once and in order within a session, which
/// may span several TCP connections. Each side connects to the other and sends on the connection
/// that it opened. A connection that is reset or stops responding is replaced, and unacknowledged
/// messages are retransmitted. The peer is considered lost only if nothing is received from it on
/// any connection, if all that is received was sent long ago, or if its process has ended. A
/// message that the receiver cannot read ends the session on both sides, so that what was promised
/// in it counts as lost.
class MeshPeer : public std::enable_shared_from_this<MeshPeer> {
public:
  MeshPeer(asio::io_context &Reactor, MeshPeerOwner &Owner, std::string Vm);

  /// Name of the VM; its address as long as the name is unknown.
  const std::string &vm() const { return Vm_; }
  bool isNamed() const { return Vm_ != Address_; }
  const std::string &dataCentre() const { return DataCentre_; }
  const std::string &address() const { return Address_; }
  std::uint32_t weight() const { return Weight_; }
  std::uint64_t incarnation() const { return Incarnation_; }
  bool isUp() const { return IsUp_; }
  /// Returns whether a connection to the peer is being opened.
  bool isDialing() const { return Outgoing_ && !IsEstablished_; }
  /// Returns whether it is time to open a connection to the peer.
  bool isDialDue(core::TimePoint Now) const {
    return !Outgoing_ && Now >= NextDialAt_ && (IsNeeded_ || Incoming_);
  }
  /// Returns whether attempts to reach the peer have failed for some time.
  bool isFailing(core::TimePoint Now) const;
  /// Returns whether the VM was listed or sent a frame recently, so that it may be included in
  /// gossip to other VMs.
  bool isConfirmed(core::TimePoint Now) const;
  /// Returns whether the VM has probably been removed: for a long time it wasn't listed, sent no
  /// frame and was not mentioned in gossip.
  bool isExpired(core::TimePoint Now) const;
  /// Latest time at which the peer is known to have been running. It depends on when a frame was
  /// sent, not on when this process has read it.
  core::TimePoint lastHeard() const { return LastHeard_; }
  /// Moving average of the time from a heartbeat to its acknowledgement; empty before the first
  /// one.
  std::optional<core::Duration> roundTrip() const { return RoundTrip_; }
  /// Assigned by the owner each time the link comes up.
  kernel::PeerIndex Index{};

  /// Updates the address, and data centre and weight if the record has them and the link is down.
  void setRecord(const PeerRecord &Record, PeerSource Source, core::TimePoint Now);
  void setAddress(const std::string &Address);
  /// Sets whether this side needs the link; a link that neither side needs is closed.
  void setNeeded(bool IsNeeded);
  /// Sets the time between heartbeats to this peer.
  void setHeartbeatInterval(core::Duration Interval, core::TimePoint Now);

  /// Queues a message. It is dropped if the peer is lost before the message arrives.
  void send(Frame Message);

  /// Sends a heartbeat at once if the link's session is established.
  void sendHeartbeat(core::TimePoint Now);

  /// Handles the Hello on a connection that the peer has opened.
  void accept(const std::shared_ptr<MeshConnection> &Connection, const Hello &Message,
              core::TimePoint Now);
  void tick(core::TimePoint Now, DialPermission Permission);
  void shutDown();

private:
  void dial(core::TimePoint Now);
  void sendHello();
  void outgoingFrame(const Frame &Message);
  void outgoingClosed(const boost::system::error_code &Error);
  void incomingFrame(const Frame &Message);
  void incomingClosed(const std::shared_ptr<MeshConnection> &Connection);
  void messageReceived(const Frame &Message);
  void deliverEarlyMessages();
  void helloReplyReceived(const HelloReply &Message, core::TimePoint Now);
  void acknowledged(std::uint64_t Received, core::TimePoint Now);
  void heartbeatAcknowledged(const Acknowledge &Message, core::TimePoint Now);
  bool isSilent(core::TimePoint Now) const;
  /// How long ago the peer may have been heard last while the link is up.
  core::Duration maximumHeardAge() const;
  /// Counts the connections on which the oldest message is sent. Returns whether it may be sent on
  /// another one.
  bool mayRepeatOldest();
  void rejectSession(core::TimePoint Now);
  void observeRoundTrip(core::Duration Taken);
  void dropOutgoing(core::TimePoint NextDialAt);
  void updateIncarnation(std::uint64_t Incarnation, core::TimePoint Now);
  void markUpIfEstablished(core::TimePoint Now);
  void markDown(PeerLossReason Reason, core::TimePoint Now);
  void beginSession();

  asio::io_context &Reactor_;
  MeshPeerOwner &Owner_;
  std::string Vm_;
  std::string DataCentre_;
  std::string Address_;
  std::uint32_t Weight_ = 1;
  std::uint64_t Incarnation_ = 0;
  core::Duration HeartbeatInterval_ = std::chrono::milliseconds(600);
  bool IsUp_ = false;
  bool IsNeeded_ = true;
  bool IsUnneededByPeer_ = false; ///< The peer's last heartbeat says that it doesn't need the link.
  bool IsUnneededReported_ = false; ///< The last heartbeat to the peer says the same.
  /// Since when the peer is unreachable: the time of the last frame from it, or of the first failed
  /// attempt. Empty if there was no failure.
  std::optional<core::TimePoint> FailingSince_;

  core::TimePoint ListedAt_;
  core::TimePoint GossipedAt_;

  // State of the direction from this process to the peer.
  std::shared_ptr<MeshConnection> Outgoing_;
  bool IsEstablished_ = false; ///< The peer has accepted the session on this connection.
  std::uint64_t Session_ = 0;
  bool IsSessionAccepted_ = false;
  std::uint64_t NextSequence_ = 1;
  std::deque<std::pair<std::uint64_t, std::string>> Unacknowledged_;
  std::uint64_t RepeatedSequence_ = 0; ///< Oldest message at the last change of connection.
  std::uint32_t Repetitions_ = 0;      ///< Connections in succession on which it was sent again.
  core::TimePoint NextDialAt_;
  core::TimePoint DialDeadline_;
  core::Duration DialBackoff_{0};
  core::TimePoint NextHeartbeatAt_;
  core::TimePoint HelloSentAt_;
  /// When the oldest frame was sent since which nothing was acknowledged on any connection.
  std::optional<core::TimePoint> UnacknowledgedSince_;
  core::TimePoint EstablishedAt_;
  std::optional<core::Duration> RoundTrip_;

  // State of the direction from the peer to this process.
  std::shared_ptr<MeshConnection> Incoming_;
  core::TimePoint NextSessionAt_; ///< New sessions are refused until then.
  std::uint64_t PeerSession_ = 0;
  bool IsPeerSessionOpen_ = false;
  std::uint64_t LastReceivedSequence_ = 0;
  /// Messages of the session that arrived before the link was up on this side.
  std::vector<Frame> EarlyMessages_;
  core::TimePoint LastFrameAt_; ///< When the last frame was read, however long ago it was sent.
  core::TimePoint LastHeard_;
  PeerClock Clock_;
  core::Duration PeerHeartbeatInterval_{0};
};

} // namespace cornellift::mesh
