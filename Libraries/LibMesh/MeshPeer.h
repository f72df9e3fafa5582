#pragma once

#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"
#include "Libraries/LibMesh/MeshConnection.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cornellift::mesh {

/// What a process says of itself.
struct MeshIdentity {
  std::string Vm;
  std::string DataCentre;
  std::string Address; ///< IP number and port of its mesh port.
  std::uint64_t Incarnation = 0;
  std::uint32_t Weight = 1; ///< Relative processing power.
};

enum class PeerLossReason {
  Silent,  ///< Nothing was heard for too long; the process may go on somewhere.
  Ended,   ///< Its process has ended or was replaced by a new one.
  Unneeded ///< Neither side needs the link.
};

/// How it became known that a VM exists.
enum class PeerSource : std::uint8_t {
  Listed,  ///< By the platform's store or by the settings.
  Gossiped ///< By another VM, which may not have noticed that it has gone.
};

/// What is known of an entry process before there is a link to it.
struct PeerRecord {
  std::string Vm;
  std::string Address;      ///< IP number and port of its mesh port.
  std::string DataCentre;   ///< Empty when unknown; the weight says nothing then.
  std::uint32_t Weight = 1; ///< Relative processing power.
};

class MeshPeer;

/// Whether a peer may open a connection now.
enum class DialPermission : std::uint8_t { Granted, Denied };

/// Learns what happens to the peers.
class MeshPeerOwner {
public:
  virtual ~MeshPeerOwner() = default;
  virtual const MeshIdentity &identity() const = 0;
  virtual std::uint64_t newSession() = 0;
  /// The process behind an address has told its name; the link by address has done its duty.
  virtual void peerNamed(MeshPeer &Peer, const std::string &Vm) = 0;
  virtual Heartbeat currentHeartbeat() = 0;
  virtual void peerUp(MeshPeer &Peer) = 0;
  virtual void peerDown(MeshPeer &Peer, PeerLossReason Reason) = 0;
  virtual void peerHeartbeat(MeshPeer &Peer, const Heartbeat &Message) = 0;
  virtual void peerMessage(MeshPeer &Peer, const Frame &Message) = 0;
};

/// The link to one other VM: messages arrive once and in order, over as many connections as that
/// takes. Each side connects to the other and sends on the connection that it made. A connection
/// that is reset or falls silent is replaced and unacknowledged messages are sent again; the peer
/// is lost only when nothing is heard of it on any connection, or its process has ended.
class MeshPeer : public std::enable_shared_from_this<MeshPeer> {
public:
  MeshPeer(asio::io_context &Reactor, MeshPeerOwner &Owner, std::string Vm);

  /// The address while the name is not known.
  const std::string &vm() const { return Vm_; }
  bool isNamed() const { return Vm_ != Address_; }
  const std::string &dataCentre() const { return DataCentre_; }
  const std::string &address() const { return Address_; }
  std::uint32_t weight() const { return Weight_; }
  std::uint64_t incarnation() const { return Incarnation_; }
  bool isUp() const { return IsUp_; }
  /// A connection to the peer is being opened.
  bool isDialing() const { return Outgoing_ && !IsEstablished_; }
  /// A connection to the peer is to be opened.
  bool isDialDue(core::TimePoint Now) const {
    return !Outgoing_ && Now >= NextDialAt_ && (IsNeeded_ || Incoming_);
  }
  /// Attempts to reach the peer have failed for some time.
  bool isFailing(core::TimePoint Now) const;
  /// The VM was listed or heard a short time ago, so that others may be told of it.
  bool isConfirmed(core::TimePoint Now) const;
  /// The VM has probably been removed: for a long time it was not listed, heard or told of.
  bool isExpired(core::TimePoint Now) const;
  /// When anything was heard of the peer last.
  core::TimePoint lastHeard() const { return LastHeard_; }
  /// Smoothed time from a heartbeat to its acknowledgement; empty before the first one.
  std::optional<core::Duration> roundTrip() const { return RoundTrip_; }
  /// Set by the owner when the peer comes up.
  kernel::PeerIndex Index{};

  /// An unknown data centre changes nothing.
  void setRecord(const PeerRecord &Record, PeerSource Source, core::TimePoint Now);
  void setAddress(const std::string &Address);
  /// A link that neither side needs is closed.
  void setNeeded(bool IsNeeded);
  /// Time between heartbeats to this peer.
  void setHeartbeatInterval(core::Duration Interval, core::TimePoint Now);

  /// Queues a message; it is dropped when the peer is lost before it arrives.
  void send(Frame Message);

  /// Sends a heartbeat now, because its content has changed.
  void sendHeartbeat(core::TimePoint Now);

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
  void helloReplyReceived(const HelloReply &Message, core::TimePoint Now);
  void acknowledged(std::uint64_t Received, core::TimePoint Now);
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
  bool IsUnneededByPeer_ =
      false; ///< The peer's last heartbeat said that it does not need the link.
  bool IsUnneededReported_ = false; ///< So did the last heartbeat to the peer.
  /// When the peer was last heard or first tried in vain; empty when there was no failure.
  std::optional<core::TimePoint> FailingSince_;

  core::TimePoint ListedAt_;
  core::TimePoint GossipedAt_;

  // The direction from this process to the peer.
  std::shared_ptr<MeshConnection> Outgoing_;
  bool IsEstablished_ = false; ///< The peer has accepted the session on this connection.
  std::uint64_t Session_ = 0;
  bool IsSessionAccepted_ = false;
  std::uint64_t NextSequence_ = 1;
  std::deque<std::pair<std::uint64_t, std::string>> Unacknowledged_;
  core::TimePoint NextDialAt_;
  core::TimePoint DialDeadline_;
  core::Duration DialBackoff_{0};
  core::TimePoint NextHeartbeatAt_;
  /// When the first frame was sent after which nothing was acknowledged, on any connection.
  std::optional<core::TimePoint> UnacknowledgedSince_;
  core::TimePoint EstablishedAt_;
  std::optional<core::Duration> RoundTrip_;

  // The direction from the peer to this process.
  std::shared_ptr<MeshConnection> Incoming_;
  std::uint64_t PeerSession_ = 0;
  bool IsPeerSessionOpen_ = false;
  std::uint64_t LastReceivedSequence_ = 0;
  core::TimePoint LastHeard_;
  core::Duration PeerHeartbeatInterval_{0};
};

} // namespace cornellift::mesh
