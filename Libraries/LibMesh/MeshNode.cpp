#include "Libraries/LibMesh/MeshNode.h"

#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <utility>

namespace cornellift::mesh {
namespace {

/// Heartbeat intervals for peers that this process shares work with, and for all others.
constexpr core::Duration ActivePeerHeartbeatInterval = std::chrono::milliseconds(120);
constexpr core::Duration IdlePeerHeartbeatInterval = std::chrono::milliseconds(700);
/// Connections that may be opened at the same time. Without a limit, some hundred processes that
/// start together overload each other, so that connection attempts time out.
constexpr std::ptrdiff_t MaximumConcurrentDials = 16;

} // namespace

MeshNode::MeshNode(asio::io_context &Reactor, MeshIdentity Identity, MeshListener &Listener)
    : Reactor_(Reactor), Identity_(std::move(Identity)), Listener_(Listener), Acceptor_(Reactor),
      Random_(Identity_.Incarnation) {}

MeshNode::~MeshNode() = default;

bool MeshNode::listen(const Tcp::endpoint &Address) {
  boost::system::error_code Error;
  Acceptor_.open(Address.protocol(), Error);
  if (!Error)
    Acceptor_.set_option(Tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(Address, Error);
  if (!Error)
    Acceptor_.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return core::failFalse(core::ErrorKind::Unavailable,
                           "cannot listen on " + reactor::formatAddress(Address) + ": " +
                               Error.message() + "; give a free mesh address");
  acceptNext();
  return true;
}

void MeshNode::acceptNext() {
  Acceptor_.async_accept([this](boost::system::error_code Error, Tcp::socket Socket) {
    if (!Acceptor_.is_open())
      return;
    if (!Error) {
      auto Connection = std::make_shared<MeshConnection>(Reactor_, std::move(Socket));
      Connection->setHandlers(
          {[this, Connection](const Frame &Message) { helloReceived(Connection, Message); }, {}});
      Connection->start();
    }
    acceptNext();
  });
}

void MeshNode::helloReceived(const std::shared_ptr<MeshConnection> &Connection,
                             const Frame &Message) {
  if (!Message.has_hello() || Message.hello().vm() == Identity_.Vm)
    return Connection->close();
  if (Message.hello().session() == 0) {
    Frame Reply;
    Reply.mutable_hello_reply()->set_vm(Identity_.Vm);
    return Connection->send(Reply);
  }
  findOrCreatePeer(Message.hello().vm())
      ->accept(Connection, Message.hello(), core::MonotonicClock::now());
}

std::shared_ptr<MeshPeer> MeshNode::findOrCreatePeer(const std::string &Vm) {
  auto &Peer = Peers_[Vm];
  if (Peer)
    return Peer;
  Peer = std::make_shared<MeshPeer>(Reactor_, static_cast<MeshPeerOwner &>(*this), Vm);
  List_.reset();
  return Peer;
}

void MeshNode::addOrUpdatePeer(const PeerRecord &Record, PeerSource Source, core::TimePoint Now) {
  if (Record.Vm == Identity_.Vm || Record.Address == Identity_.Address)
    return;
  auto Peer = findOrCreatePeer(Record.Vm);
  Peer->setRecord(Record, Source, Now);
  updateNeeded(*Peer);
}

void MeshNode::updateNeeded(MeshPeer &Peer) {
  Peer.setNeeded(!Peer.isNamed() || Listener_.isNeeded(Peer));
}

void MeshNode::updateNeededLinks() {
  for (const auto &[Vm, Peer] : Peers_)
    updateNeeded(*Peer);
}

void MeshNode::removeExpiredPeers(core::TimePoint Now) {
  for (auto Entry = Peers_.begin(); Entry != Peers_.end();) {
    auto Peer = Entry->second;
    if (!Peer->isNamed() || !Peer->isExpired(Now)) {
      ++Entry;
      continue;
    }
    core::logLine(core::LogLevel::Information, "mesh", "removing an expired VM from the peer list",
                  {{"vm", Peer->vm()}, {"address", Peer->address()}});
    Entry = Peers_.erase(Entry);
    List_.reset();
    Peer->shutDown();
  }
}

void MeshNode::addSeedAddress(const std::string &Address) {
  if (Address == Identity_.Address)
    return;
  bool IsKnown = std::any_of(Peers_.begin(), Peers_.end(),
                             [&](const auto &Entry) { return Entry.second->address() == Address; });
  if (!IsKnown)
    findOrCreatePeer(Address)->setAddress(Address);
}

void MeshNode::send(kernel::PeerIndex Peer, Frame Message) {
  auto Found = ByIndex_.find(Peer);
  if (Found != ByIndex_.end())
    Found->second->send(std::move(Message));
}

std::shared_ptr<const MeshNode::PeerList> MeshNode::peerList() {
  if (List_)
    return List_;
  PeerList Now;
  Now.reserve(Peers_.size());
  for (const auto &[Vm, Peer] : Peers_)
    Now.push_back(Peer);
  List_ = std::make_shared<const PeerList>(std::move(Now));
  return List_;
}

void MeshNode::sendHeartbeats(core::TimePoint Now) {
  auto List = peerList();
  TickHeartbeat_ = Listener_.makeHeartbeat();
  for (const auto &Peer : *List)
    Peer->sendHeartbeat(Now);
  TickHeartbeat_.reset();
}

void MeshNode::tick(core::TimePoint Now) {
  auto List = peerList(); // A copy, since the loss of a peer may add further ones.
  TickHeartbeat_ = Listener_.makeHeartbeat();
  auto Dialing =
      std::count_if(List->begin(), List->end(), [](const auto &Peer) { return Peer->isDialing(); });
  // The next tick begins with the first peer that was denied a connection attempt, so that peers
  // that do not answer cannot starve the others.
  std::optional<std::size_t> FirstWaiting;
  for (std::size_t Offset = 0; Offset < List->size(); ++Offset) {
    auto Position = (FirstDialPosition_ + Offset) % List->size();
    const auto &Peer = (*List)[Position];
    if (Peer->isUp())
      Peer->setHeartbeatInterval(Listener_.sharesWorkWith(*Peer) ? ActivePeerHeartbeatInterval
                                                                 : IdlePeerHeartbeatInterval,
                                 Now);
    Dialing -= Peer->isDialing() ? 1 : 0;
    Peer->tick(Now,
               Dialing < MaximumConcurrentDials ? DialPermission::Granted : DialPermission::Denied);
    Dialing += Peer->isDialing() ? 1 : 0;
    if (!FirstWaiting && Peer->isDialDue(Now))
      FirstWaiting = Position;
  }
  FirstDialPosition_ = FirstWaiting.value_or(FirstDialPosition_);
  TickHeartbeat_.reset();
}

void MeshNode::close() {
  boost::system::error_code Ignored; // An error while closing has no consequences.
  Acceptor_.close(Ignored);
  for (const auto &[Vm, Peer] : Peers_)
    Peer->shutDown();
}

std::vector<const MeshPeer *> MeshNode::connectedPeers() const {
  std::vector<const MeshPeer *> Result;
  for (const auto &[Vm, Peer] : Peers_)
    if (Peer->isUp())
      Result.push_back(Peer.get());
  return Result;
}

std::vector<const MeshPeer *> MeshNode::knownPeers() const {
  std::vector<const MeshPeer *> Result;
  for (const auto &[Vm, Peer] : Peers_)
    if (Peer->isNamed())
      Result.push_back(Peer.get());
  return Result;
}

bool MeshNode::hasKnownPeers() const {
  return std::any_of(Peers_.begin(), Peers_.end(),
                     [](const auto &Entry) { return Entry.second->isNamed(); });
}

const MeshPeer *MeshNode::find(kernel::PeerIndex Index) const {
  auto Found = ByIndex_.find(Index);
  return Found == ByIndex_.end() ? nullptr : Found->second;
}

std::uint64_t MeshNode::newSession() { return Random_(); }

void MeshNode::peerNamed(MeshPeer &Peer, const std::string &Vm) {
  const auto &Address = Peer.address(); // Valid as long as Self, which owns the peer.
  auto Known = Peers_.find(Peer.vm());
  auto Self = Known->second;
  Peers_.erase(Known);
  List_.reset();
  Self->shutDown();
  addOrUpdatePeer({Vm, Address, {}}, PeerSource::Listed, core::MonotonicClock::now());
}

Heartbeat MeshNode::currentHeartbeat() {
  return TickHeartbeat_ ? *TickHeartbeat_ : Listener_.makeHeartbeat();
}

void MeshNode::peerUp(MeshPeer &Peer) {
  Peer.Index = static_cast<kernel::PeerIndex>(NextIndex_++);
  ByIndex_[Peer.Index] = &Peer;
  Listener_.peerUp(Peer);
}

void MeshNode::peerDown(MeshPeer &Peer, PeerLossReason Reason) {
  ByIndex_.erase(Peer.Index);
  Listener_.peerDown(Peer, Reason);
  TickHeartbeat_.reset(); // The set of managed data centres may have changed.
}

void MeshNode::peerHeartbeat(MeshPeer &Peer, const Heartbeat &Message) {
  Listener_.heartbeatReceived(Peer, Message);
}

void MeshNode::peerMessage(MeshPeer &Peer, const Frame &Message) {
  Listener_.messageReceived(Peer, Message);
}

void MeshNode::unreadableFrameReceived(const MeshPeer &Peer, const UnreadableFrame &Rejected) {
  ++UnreadableFrames_;
  core::logLine(core::LogLevel::Warning, "mesh", "unreadable frame received; ending the session",
                {{"vm", Peer.vm()},
                 {"sequence", std::to_string(Rejected.Sequence)},
                 {"content_field", std::to_string(Rejected.ContentField)},
                 {"bytes", std::to_string(Rejected.Bytes)}});
}

void MeshNode::messageNotAccepted(const MeshPeer &Peer, const std::string &Serialised) {
  ++MessagesNotAccepted_;
  auto Message = describeFrame(Serialised);
  core::logLine(core::LogLevel::Warning, "mesh", "message not accepted; ending the session",
                {{"vm", Peer.vm()},
                 {"sequence", std::to_string(Message.Sequence)},
                 {"content_field", std::to_string(Message.ContentField)},
                 {"bytes", std::to_string(Message.Bytes)}});
}

} // namespace cornellift::mesh
