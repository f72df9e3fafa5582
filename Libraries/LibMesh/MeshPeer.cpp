#include "Libraries/LibMesh/MeshPeer.h"

#include <boost/asio/error.hpp>

#include <algorithm>
#include <utility>

namespace cornellift::mesh {
namespace {

/// A peer that this process shares work with is considered lost when nothing was received from it
/// for this time. A manager must stop the tasks of a lost entry process before that process's
/// clients resubmit their jobs, which they do 1.3 s later.
constexpr core::Duration MinimumPeerTimeout = std::chrono::milliseconds(600);
/// Consecutive heartbeats that may be missed before a peer is considered lost.
constexpr int MaximumMissedHeartbeats = 4;
/// A peer whose frames arrive, but were all sent longer ago than this, is considered lost, too. The
/// runs of its jobs end by then.
constexpr core::Duration MinimumHeardAge = std::chrono::milliseconds(1000);
/// A connection is replaced if sent frames stay unacknowledged for this time.
constexpr core::Duration AcknowledgementTimeout = std::chrono::milliseconds(250);
constexpr core::Duration DialTimeout = std::chrono::milliseconds(300);
constexpr core::Duration InitialDialBackoff = std::chrono::milliseconds(40);
constexpr core::Duration MaximumDialBackoff = std::chrono::milliseconds(500);
/// A peer counts as failing after unsuccessful attempts to reach it for this time, about three.
constexpr core::Duration FailingThreshold = std::chrono::milliseconds(1000);
/// A VM is removed if it was not listed, sent no frame and was not mentioned in gossip for this
/// time. Its lease in the store expires after 10 s, and listed VMs are confirmed once a minute.
constexpr core::Duration PeerExpiryTime = std::chrono::minutes(5);

/// A message that the peer has not acknowledged on this many connections in succession cannot be
/// delivered: the peer closes the connection because of it, or it never arrives.
constexpr std::uint32_t MaximumRepetitions = 3;
/// How long no session is opened after one that ended because of a message. The cause, such as a
/// message that is sent whenever the link comes up, may persist.
constexpr core::Duration RejectionBackoff = std::chrono::seconds(1);
/// Messages that are kept until the link is up on this side. It takes the time of one frame, unless
/// that is lost; then the peer connects again and repeats what was not acknowledged.
constexpr std::size_t MaximumEarlyMessages = 256;

/// Divisor of the moving average of the round-trip time; it covers about one second of heartbeats.
constexpr int RoundTripSamples = 8;

std::uint64_t microseconds(core::TimePoint Time) {
  auto Elapsed = std::chrono::duration_cast<std::chrono::microseconds>(Time.time_since_epoch());
  return static_cast<std::uint64_t>(Elapsed.count());
}

core::Duration peerTimeout(core::Duration Interval) {
  return std::max(MinimumPeerTimeout, Interval * MaximumMissedHeartbeats);
}

} // namespace

MeshPeer::MeshPeer(asio::io_context &Reactor, MeshPeerOwner &Owner, std::string Vm)
    : Reactor_(Reactor), Owner_(Owner), Vm_(std::move(Vm)) {
  beginSession();
}

void MeshPeer::setRecord(const PeerRecord &Record, PeerSource Source, core::TimePoint Now) {
  (Source == PeerSource::Listed ? ListedAt_ : GossipedAt_) = Now;
  if (!IsUp_ && !Record.DataCentre.empty()) {
    DataCentre_ = Record.DataCentre;
    Weight_ = std::max(1U, Record.Weight);
  }
  setAddress(Record.Address);
}

void MeshPeer::setNeeded(bool IsNeeded) {
  if (IsNeeded && !IsNeeded_)
    IsUnneededReported_ = false;
  IsNeeded_ = IsNeeded;
}

bool MeshPeer::isFailing(core::TimePoint Now) const {
  return FailingSince_ && Now - *FailingSince_ >= FailingThreshold;
}

bool MeshPeer::isConfirmed(core::TimePoint Now) const {
  return Now - std::max(ListedAt_, LastFrameAt_) <= PeerExpiryTime;
}

bool MeshPeer::isExpired(core::TimePoint Now) const {
  return !IsUp_ && !isConfirmed(Now) && Now - GossipedAt_ > PeerExpiryTime;
}

void MeshPeer::setAddress(const std::string &Address) {
  if (Address.empty() || Address == Address_)
    return;
  Address_ = Address;
  DialBackoff_ = core::Duration(0);
  dropOutgoing({});
}

void MeshPeer::setHeartbeatInterval(core::Duration Interval, core::TimePoint Now) {
  if (Interval < HeartbeatInterval_)
    NextHeartbeatAt_ = std::min(NextHeartbeatAt_, Now);
  HeartbeatInterval_ = Interval;
}

void MeshPeer::beginSession() {
  Session_ = Owner_.newSession();
  IsSessionAccepted_ = false;
  NextSequence_ = 1;
  Unacknowledged_.clear();
  UnacknowledgedSince_.reset();
  RepeatedSequence_ = 0;
  Repetitions_ = 0;
}

void MeshPeer::send(Frame Message) {
  Message.set_sequence(NextSequence_++);
  auto Bytes = Message.SerializeAsString();
  if (!UnacknowledgedSince_)
    UnacknowledgedSince_ = core::MonotonicClock::now();
  if (IsEstablished_)
    Outgoing_->sendBytes(Bytes);
  Unacknowledged_.emplace_back(Message.sequence(), std::move(Bytes));
}

void MeshPeer::sendHeartbeat(core::TimePoint Now) {
  if (!IsEstablished_)
    return;
  Frame Message;
  *Message.mutable_heartbeat() = Owner_.currentHeartbeat();
  Message.mutable_heartbeat()->set_interval_ms(
      static_cast<std::uint32_t>(core::toMilliseconds(HeartbeatInterval_)));
  Message.mutable_heartbeat()->set_spare_link(!IsNeeded_);
  Message.mutable_heartbeat()->set_sent_us(microseconds(Now));
  IsUnneededReported_ = !IsNeeded_;
  Outgoing_->send(Message);
  NextHeartbeatAt_ = Now + HeartbeatInterval_;
  if (!UnacknowledgedSince_)
    UnacknowledgedSince_ = Now;
}

void MeshPeer::dial(core::TimePoint Now) {
  auto Remote = reactor::parseAddress(Address_);
  DialDeadline_ = Now + DialTimeout;
  NextDialAt_ = DialDeadline_;
  if (!FailingSince_)
    FailingSince_ = Now;
  if (!Remote)
    return;
  Outgoing_ = std::make_shared<MeshConnection>(Reactor_, Tcp::socket(Reactor_));
  auto Weak = weak_from_this();
  Outgoing_->setHandlers({[Weak](const Frame &Message) {
                            if (auto Self = Weak.lock())
                              Self->outgoingFrame(Message);
                          },
                          [Weak](const boost::system::error_code &Error) {
                            if (auto Self = Weak.lock())
                              Self->outgoingClosed(Error);
                          }});
  Outgoing_->connect(*Remote, [Weak] {
    if (auto Self = Weak.lock())
      Self->sendHello();
  });
}

void MeshPeer::sendHello() {
  const auto &Identity = Owner_.identity();
  Frame Message;
  auto &Greeting = *Message.mutable_hello();
  Greeting.set_vm(Identity.Vm);
  Greeting.set_data_centre(Identity.DataCentre);
  Greeting.set_address(Identity.Address);
  Greeting.set_incarnation(Identity.Incarnation);
  Greeting.set_weight(Identity.Weight);
  Greeting.set_session(isNamed() ? Session_ : 0);
  Greeting.set_resumes(IsSessionAccepted_);
  HelloSentAt_ = core::MonotonicClock::now();
  Outgoing_->send(Message);
}

void MeshPeer::outgoingFrame(const Frame &Message) {
  auto Now = core::MonotonicClock::now();
  if (Message.has_hello_reply())
    return helloReplyReceived(Message.hello_reply(), Now);
  if (!Message.has_acknowledge() || !IsEstablished_)
    return;
  acknowledged(Message.acknowledge().received(), Now);
  heartbeatAcknowledged(Message.acknowledge(), Now);
}

void MeshPeer::heartbeatAcknowledged(const Acknowledge &Message, core::TimePoint Now) {
  if (Message.echoed_us() == 0 || Message.echoed_us() > microseconds(Now))
    return;
  core::TimePoint SentAt{core::Duration(Message.echoed_us())};
  observeRoundTrip(Now - SentAt);
  LastHeard_ = std::max(LastHeard_, SentAt);
  if (Message.sent_us() != 0) // Absent from a peer of a former release.
    Clock_.observe(SentAt, Message.sent_us(), Now);
}

void MeshPeer::observeRoundTrip(core::Duration Taken) {
  // Limits the effect of outliers: a paused process says nothing about the network latency.
  Taken = std::min(Taken, AcknowledgementTimeout);
  RoundTrip_ = RoundTrip_ ? *RoundTrip_ + (Taken - *RoundTrip_) / RoundTripSamples : Taken;
}

void MeshPeer::helloReplyReceived(const HelloReply &Message, core::TimePoint Now) {
  if (!isNamed())
    return Owner_.peerNamed(*this, Message.vm());
  updateIncarnation(Message.incarnation(), Now);
  if (!Outgoing_)
    return; // Learning the new incarnation has reset the link.
  if (!Message.accepted()) {
    if (IsUp_)
      return markDown(PeerLossReason::Silent, Now);
    beginSession();
    return dropOutgoing(Now);
  }
  IsEstablished_ = true;
  IsSessionAccepted_ = true;
  EstablishedAt_ = Now;
  LastHeard_ = std::max(LastHeard_, HelloSentAt_);
  DialBackoff_ = core::Duration(0);
  acknowledged(Message.received(), Now);
  if (!mayRepeatOldest()) {
    Owner_.messageNotAccepted(*this, Unacknowledged_.front().second);
    return rejectSession(Now);
  }
  for (const auto &[Sequence, Bytes] : Unacknowledged_)
    Outgoing_->sendBytes(Bytes);
  sendHeartbeat(Now);
  markUpIfEstablished(Now);
}

void MeshPeer::acknowledged(std::uint64_t Received, core::TimePoint Now) {
  while (!Unacknowledged_.empty() && Unacknowledged_.front().first <= Received)
    Unacknowledged_.pop_front();
  UnacknowledgedSince_.reset();
  if (!Unacknowledged_.empty())
    UnacknowledgedSince_ = Now;
}

bool MeshPeer::mayRepeatOldest() {
  auto Oldest = Unacknowledged_.empty() ? 0 : Unacknowledged_.front().first;
  bool IsSame = Oldest != 0 && Oldest == std::exchange(RepeatedSequence_, Oldest);
  Repetitions_ = IsSame ? Repetitions_ + 1 : 0;
  return Repetitions_ < MaximumRepetitions;
}

void MeshPeer::rejectSession(core::TimePoint Now) {
  NextSessionAt_ = Now + RejectionBackoff;
  markDown(PeerLossReason::Rejected, Now);
  NextDialAt_ = NextSessionAt_;
}

void MeshPeer::outgoingClosed(const boost::system::error_code &Error) {
  auto Now = core::MonotonicClock::now();
  Outgoing_.reset();
  IsEstablished_ = false;
  bool Refused = Error == asio::error::connection_refused;
  if (Refused && IsUp_)
    return markDown(PeerLossReason::Ended, Now);
  if (IsUp_ && !IsNeeded_ && IsUnneededByPeer_)
    return markDown(PeerLossReason::Unneeded, Now);
  dropOutgoing(Now + DialBackoff_);
}

void MeshPeer::dropOutgoing(core::TimePoint NextDialAt) {
  if (Outgoing_)
    Outgoing_->close();
  Outgoing_.reset();
  IsEstablished_ = false;
  NextDialAt_ = NextDialAt;
  DialBackoff_ = std::clamp(DialBackoff_ * 2, InitialDialBackoff, MaximumDialBackoff);
}

void MeshPeer::accept(const std::shared_ptr<MeshConnection> &Connection, const Hello &Message,
                      core::TimePoint Now) {
  DataCentre_ = Message.data_centre();
  Weight_ = std::max(1U, Message.weight());
  setAddress(Message.address());
  updateIncarnation(Message.incarnation(), Now);
  bool IsCurrent = IsPeerSessionOpen_ && Message.session() == PeerSession_;
  bool IsAccepted = IsCurrent || (!Message.resumes() && Now >= NextSessionAt_);
  if (IsAccepted && !IsCurrent && IsPeerSessionOpen_ && IsUp_)
    markDown(PeerLossReason::Silent, Now); // The peer has closed the previous session.
  if (IsAccepted && !IsCurrent) {
    PeerSession_ = Message.session();
    IsPeerSessionOpen_ = true;
    LastReceivedSequence_ = 0;
    EarlyMessages_.clear();
  }
  Frame Reply;
  auto &Answer = *Reply.mutable_hello_reply();
  Answer.set_vm(Owner_.identity().Vm);
  Answer.set_incarnation(Owner_.identity().Incarnation);
  Answer.set_accepted(IsAccepted);
  Answer.set_received(LastReceivedSequence_);
  Connection->send(Reply);
  if (!IsAccepted)
    return;
  if (Incoming_ && Incoming_ != Connection)
    Incoming_->close();
  Incoming_ = Connection;
  LastFrameAt_ = Now;
  auto Weak = weak_from_this();
  Connection->setHandlers({[Weak](const Frame &Received) {
                             if (auto Self = Weak.lock())
                               Self->incomingFrame(Received);
                           },
                           [Weak, Raw = Connection.get()](const boost::system::error_code &) {
                             if (auto Self = Weak.lock(); Self && Self->Incoming_.get() == Raw)
                               Self->incomingClosed(Self->Incoming_);
                           }});
  // The peer has just connected, so it is alive: retry without waiting for the backoff.
  if (!Outgoing_)
    NextDialAt_ = std::max(Now, NextSessionAt_);
  markUpIfEstablished(Now);
}

void MeshPeer::incomingFrame(const Frame &Message) {
  auto Now = core::MonotonicClock::now();
  // If this process was paused, the peer may have declared it lost in the meantime. Frames that are
  // still in the socket's receive buffer then belong to a session that has ended.
  if (IsUp_ && Now - LastFrameAt_ > peerTimeout(PeerHeartbeatInterval_))
    return markDown(PeerLossReason::Silent, Now);
  LastFrameAt_ = Now;
  if (!IsUp_ && Message.sequence() != 0 && EarlyMessages_.size() >= MaximumEarlyMessages)
    return Incoming_->close();
  bool IsRepeated = Message.sequence() != 0 && Message.sequence() <= LastReceivedSequence_;
  if (Message.sequence() != 0 && !IsRepeated)
    LastReceivedSequence_ = Message.sequence();
  Frame Reply;
  Reply.mutable_acknowledge()->set_received(LastReceivedSequence_);
  if (Message.has_heartbeat()) {
    Reply.mutable_acknowledge()->set_echoed_us(Message.heartbeat().sent_us());
    Reply.mutable_acknowledge()->set_sent_us(microseconds(Now));
    if (auto SentAt = Clock_.toLocal(Message.heartbeat().sent_us()))
      LastHeard_ = std::max(LastHeard_, std::min(*SentAt, Now));
  }
  auto Connection = Incoming_;
  Connection->send(Reply);
  if (Message.has_heartbeat()) {
    PeerHeartbeatInterval_ = std::chrono::milliseconds(Message.heartbeat().interval_ms());
    IsUnneededByPeer_ = Message.heartbeat().spare_link();
    if (IsUp_)
      Owner_.peerHeartbeat(*this, Message.heartbeat());
    return;
  }
  if (Message.sequence() != 0 && !IsRepeated)
    messageReceived(Message);
}

void MeshPeer::messageReceived(const Frame &Message) {
  // The message is acknowledged, so that the peer doesn't send it again.
  if (!IsUp_)
    return EarlyMessages_.push_back(Message);
  Owner_.peerMessage(*this, Message);
}

void MeshPeer::deliverEarlyMessages() {
  for (const auto &Message : std::exchange(EarlyMessages_, {}))
    if (IsUp_) // A message may end the session.
      Owner_.peerMessage(*this, Message);
}

void MeshPeer::incomingClosed(const std::shared_ptr<MeshConnection> &Connection) {
  const auto &Rejected = Connection->unreadableFrame();
  if (!Rejected)
    return; // The peer connects again and resumes the session.
  Owner_.unreadableFrameReceived(*this, *Rejected);
  rejectSession(core::MonotonicClock::now());
}

void MeshPeer::updateIncarnation(std::uint64_t Incarnation, core::TimePoint Now) {
  if (Incarnation == Incarnation_)
    return;
  if (IsUp_)
    markDown(PeerLossReason::Ended, Now);
  IsPeerSessionOpen_ = false;
  EarlyMessages_.clear();
  Clock_.reset();
  Incarnation_ = Incarnation;
}

void MeshPeer::markUpIfEstablished(core::TimePoint Now) {
  if (IsUp_ || !IsEstablished_ || !Incoming_ || !IsPeerSessionOpen_)
    return;
  IsUp_ = true;
  FailingSince_.reset();
  LastFrameAt_ = Now;
  Owner_.peerUp(*this);
  deliverEarlyMessages();
}

void MeshPeer::markDown(PeerLossReason Reason, core::TimePoint Now) {
  bool WasUp = std::exchange(IsUp_, false);
  IsPeerSessionOpen_ = false;
  IsUnneededByPeer_ = false;
  IsUnneededReported_ = false;
  EarlyMessages_.clear();
  if (WasUp && Reason == PeerLossReason::Silent)
    FailingSince_ = LastFrameAt_;
  if (WasUp && Reason == PeerLossReason::Ended)
    FailingSince_ = Now - FailingThreshold;
  if (Incoming_)
    Incoming_->close();
  Incoming_.reset();
  dropOutgoing(Now + InitialDialBackoff);
  beginSession();
  if (WasUp)
    Owner_.peerDown(*this, Reason);
}

core::Duration MeshPeer::maximumHeardAge() const {
  // Without the peer's clock, only the acknowledged heartbeats of this process count.
  auto Interval = Clock_.isKnown() ? PeerHeartbeatInterval_
                                   : std::max(PeerHeartbeatInterval_, HeartbeatInterval_);
  return std::max(MinimumHeardAge, Interval * MaximumMissedHeartbeats);
}

bool MeshPeer::isSilent(core::TimePoint Now) const {
  return Now - LastFrameAt_ > peerTimeout(PeerHeartbeatInterval_) ||
         Now - LastHeard_ > maximumHeardAge() ||
         (UnacknowledgedSince_ && Now - *UnacknowledgedSince_ > MinimumPeerTimeout);
}

void MeshPeer::tick(core::TimePoint Now, DialPermission Permission) {
  if (IsUp_ && isSilent(Now))
    return markDown(PeerLossReason::Silent, Now);
  if (IsUp_ && IsUnneededReported_ && IsUnneededByPeer_)
    return markDown(PeerLossReason::Unneeded, Now);
  if (Outgoing_ && !IsEstablished_ && Now >= DialDeadline_)
    return dropOutgoing(Now); // Other peers may dial before this one retries.
  if (IsEstablished_ && UnacknowledgedSince_ &&
      Now - std::max(*UnacknowledgedSince_, EstablishedAt_) > AcknowledgementTimeout)
    dropOutgoing(Now);
  // A peer that has connected to this process is alive and will answer soon, so that the limit on
  // concurrent attempts doesn't apply.
  if (isDialDue(Now) && (Incoming_ || Permission == DialPermission::Granted))
    dial(Now);
  if (Now >= NextHeartbeatAt_)
    sendHeartbeat(Now);
}

void MeshPeer::shutDown() {
  if (Outgoing_)
    Outgoing_->close();
  if (Incoming_)
    Incoming_->close();
}

} // namespace cornellift::mesh
