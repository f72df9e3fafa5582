#include "Tests/LibMesh/MeshFixture.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::mesh;
using namespace cornellift::test;
using namespace std::chrono_literals;

namespace {

/// Peer of a former release, which closes the connection at each message that it cannot read and
/// then accepts the session again. Here it reads no message.
class PeerThatReadsNoMessage {
public:
  PeerThatReadsNoMessage(asio::io_context &Reactor, std::uint16_t Target)
      : Reactor_(Reactor), Acceptor_(Reactor, {asio::ip::address_v4::loopback(), 0}),
        Outgoing_(std::make_shared<MeshConnection>(Reactor, Tcp::socket(Reactor))) {
    accept();
    Outgoing_->connect({asio::ip::address_v4::loopback(), Target}, [this] {
      Frame Message;
      Message.mutable_hello()->set_vm("ikeja-2");
      Message.mutable_hello()->set_address(address());
      Message.mutable_hello()->set_incarnation(Incarnation);
      Message.mutable_hello()->set_session(1);
      Outgoing_->send(Message);
    });
  }
  ~PeerThatReadsNoMessage() { Outgoing_->close(); }

  std::string address() const { return reactor::formatAddress(Acceptor_.local_endpoint()); }
  int rejections() const { return Rejections_; }
  void sendHeartbeat() {
    if (!Outgoing_->isOpen())
      return; // The first frame has to be the Hello.
    Frame Message;
    Message.mutable_heartbeat()->set_interval_ms(100);
    Outgoing_->send(Message);
  }

private:
  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Error, Tcp::socket Socket) {
      if (Error)
        return;
      auto Connection = std::make_shared<MeshConnection>(Reactor_, std::move(Socket));
      Connection->setHandlers(
          {[this, Connection](const Frame &Message) { received(Connection, Message); }, {}});
      Connection->start();
      accept();
    });
  }

  void received(const std::shared_ptr<MeshConnection> &Connection, const Frame &Message) {
    if (Message.sequence() != 0) {
      ++Rejections_;
      return Connection->close();
    }
    Frame Reply;
    if (Message.has_hello()) {
      Reply.mutable_hello_reply()->set_vm("ikeja-2");
      Reply.mutable_hello_reply()->set_incarnation(Incarnation);
      Reply.mutable_hello_reply()->set_accepted(true);
    } else {
      Reply.mutable_acknowledge()->set_received(0);
    }
    Connection->send(Reply);
  }

  static constexpr std::uint64_t Incarnation = 9;
  asio::io_context &Reactor_;
  Tcp::acceptor Acceptor_;
  std::shared_ptr<MeshConnection> Outgoing_;
  int Rejections_ = 0;
};

/// Peer that sends a message as soon as its session is accepted, before it accepts the session of
/// the other side.
class PeerThatSendsEarly {
public:
  static constexpr std::uint64_t Job = 7;

  PeerThatSendsEarly(asio::io_context &Reactor, std::uint16_t Target)
      : Reactor_(Reactor), Acceptor_(Reactor, {asio::ip::address_v4::loopback(), 0}),
        Outgoing_(std::make_shared<MeshConnection>(Reactor, Tcp::socket(Reactor))) {
    Acceptor_.async_accept([this](boost::system::error_code Error, Tcp::socket Socket) {
      if (Error)
        return;
      Incoming_ = std::make_shared<MeshConnection>(Reactor_, std::move(Socket));
      Incoming_->start();
    });
    Outgoing_->setHandlers({[this](const Frame &Message) { received(Message); }, {}});
    Outgoing_->connect({asio::ip::address_v4::loopback(), Target}, [this] {
      Frame Message;
      Message.mutable_hello()->set_vm("ikeja-2");
      Message.mutable_hello()->set_address(reactor::formatAddress(Acceptor_.local_endpoint()));
      Message.mutable_hello()->set_incarnation(Incarnation);
      Message.mutable_hello()->set_session(1);
      Outgoing_->send(Message);
    });
  }
  ~PeerThatSendsEarly() {
    Outgoing_->close();
    if (Incoming_)
      Incoming_->close();
  }

  bool isAcknowledged() const { return IsAcknowledged_; }
  bool isConnected() const { return Incoming_ != nullptr; }
  void acceptSession() {
    Frame Reply;
    Reply.mutable_hello_reply()->set_vm("ikeja-2");
    Reply.mutable_hello_reply()->set_incarnation(Incarnation);
    Reply.mutable_hello_reply()->set_accepted(true);
    Incoming_->send(Reply);
  }

private:
  void received(const Frame &Message) {
    IsAcknowledged_ = IsAcknowledged_ || Message.acknowledge().received() == 1;
    if (!Message.has_hello_reply())
      return;
    Frame Early;
    Early.set_sequence(1);
    Early.mutable_abandon()->set_job(Job);
    Outgoing_->send(Early);
  }

  static constexpr std::uint64_t Incarnation = 9;
  asio::io_context &Reactor_;
  Tcp::acceptor Acceptor_;
  std::shared_ptr<MeshConnection> Incoming_;
  std::shared_ptr<MeshConnection> Outgoing_;
  bool IsAcknowledged_ = false;
};

} // namespace

// Guards against messages that are lost, duplicated or reordered when connections are reset.
BOOST_AUTO_TEST_CASE(MessagesArriveOnceAndInOrderOverResetConnections) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  constexpr std::uint64_t Count = 200;
  for (std::uint64_t Job = 1; Job <= Count; ++Job) {
    World.First->send(Job);
    if (Job % 50 == 0) {
      World.Relay.reset();
      World.until([] { return false; }, 100ms);
    }
  }
  BOOST_REQUIRE(World.until([&] { return World.Second->Received.size() >= Count; }));
  for (std::uint64_t Job = 1; Job <= Count; ++Job)
    BOOST_TEST(World.Second->Received[Job - 1] == Job);
  BOOST_TEST(World.Second->Received.size() == Count);
  BOOST_TEST(World.First->Downs.empty());
}

// Guards against a message that the receiver cannot read and that is sent again without end: no
// later message arrived, and neither side took the link for lost.
BOOST_AUTO_TEST_CASE(AMessageThatCannotBeReadEndsTheSessionOnBothSides) {
  std::string NotUtf8 = "\xff\xfe";
  std::string TooLong(9U << 20, 'x');
  for (const auto &Text : {NotUtf8, TooLong})
    BOOST_TEST_CONTEXT("text of " << Text.size() << " bytes") {
      Pair World;
      BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
      World.First->send(1);
      BOOST_REQUIRE(World.until([&] { return World.Second->Received.size() == 1; }));
      Frame Unreadable;
      Unreadable.mutable_release()->add_ids(Text);
      World.First->Mesh.send(World.First->Index, Unreadable);
      World.First->send(2);
      BOOST_TEST(World.until(
          [&] { return !World.First->Downs.empty() && !World.Second->Downs.empty(); }, 1000ms));
      BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
      World.First->send(3);
      BOOST_TEST(World.until([&] { return World.Second->Received.back() == 3; }));
      BOOST_TEST(World.Second->Received == (std::vector<std::uint64_t>{1, 3}),
                 boost::test_tools::per_element());
      BOOST_TEST(World.Second->Mesh.unreadableFrames() == 1U);
    }
}

// Guards against the same with a receiver of a former release, which only closes the connection.
BOOST_AUTO_TEST_CASE(AMessageThatIsNeverAcceptedEndsTheSession) {
  asio::io_context Reactor;
  auto Port = freePort();
  Node Sender(Reactor, "ikeja-1", Port, 1, "127.0.0.1:" + std::to_string(Port));
  PeerThatReadsNoMessage Receiver(Reactor, Port);
  auto Until = [&](const std::function<bool()> &Holds) {
    auto End = std::chrono::steady_clock::now() + 2s;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      Receiver.sendHeartbeat();
      Reactor.run_for(10ms);
      Sender.Mesh.tick(core::MonotonicClock::now());
    }
    return Holds();
  };
  BOOST_REQUIRE(Until([&] { return Sender.Ups == 1; }));
  Sender.send(1);
  BOOST_REQUIRE(Until([&] { return !Sender.Downs.empty(); }));
  BOOST_TEST((Sender.Downs.front() == PeerLossReason::Rejected));
  BOOST_TEST(Receiver.rejections() > 1); // A single reset of the connection ends no session.
  BOOST_TEST(Receiver.rejections() < 6);
}

// Guards against a message that is acknowledged and dropped, such as one that tells cancelled jobs,
// because it arrives before this side counts the link as up.
BOOST_AUTO_TEST_CASE(AMessageThatArrivesBeforeTheLinkIsUpIsDelivered) {
  asio::io_context Reactor;
  auto Port = freePort();
  Node Receiver(Reactor, "ikeja-1", Port, 1, "127.0.0.1:" + std::to_string(Port));
  PeerThatSendsEarly Sender(Reactor, Port);
  auto Until = [&](const std::function<bool()> &Holds) {
    auto End = std::chrono::steady_clock::now() + 2s;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      Reactor.run_for(5ms);
      Receiver.Mesh.tick(core::MonotonicClock::now());
    }
    return Holds();
  };
  BOOST_REQUIRE(Until([&] { return Sender.isAcknowledged() && Sender.isConnected(); }));
  BOOST_TEST(Receiver.Ups == 0);
  BOOST_TEST(Receiver.Received.empty());
  Sender.acceptSession();
  BOOST_REQUIRE(Until([&] { return Receiver.Ups == 1; }));
  BOOST_TEST(Receiver.Received == std::vector<std::uint64_t>{PeerThatSendsEarly::Job},
             boost::test_tools::per_element());
}

// Guards against a connection that stays in use although it no longer delivers data.
BOOST_AUTO_TEST_CASE(ASilentConnectionIsDetectedAndReplaced) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.Relay.setSilent(true);
  World.First->send(1);
  BOOST_TEST(World.until([&] { return !World.First->Downs.empty(); }));
  BOOST_TEST((World.First->Downs.at(0) == PeerLossReason::Silent));
  World.Relay.setSilent(false);
  World.Relay.reset();
  BOOST_REQUIRE(World.until([&] { return World.areUp() && World.First->Ups >= 2; }));
  World.First->send(2);
  BOOST_TEST(World.until(
      [&] { return !World.Second->Received.empty() && World.Second->Received.back() == 2; }));
}

// Guards against a peer that counts as alive since its frames were read: after a pause of this
// process they may have been sent long before, by a peer that has ended since.
BOOST_AUTO_TEST_CASE(APeerIsHeardWhenItsFramesWereSent) {
  constexpr auto HeartbeatTime = 200ms; // More than the heartbeats of a pair are apart.
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.until([] { return false; }, 500ms);
  World.pauseFirst(200ms);
  auto EndedAt = World.endSecond();
  World.pauseFirst(200ms);
  BOOST_REQUIRE(World.until([&] { return !World.First->Downs.empty(); }));
  BOOST_TEST((World.First->LastHeard <= EndedAt));
  BOOST_TEST((World.First->LastHeard >= EndedAt - HeartbeatTime));
}

// Guards against a loss that is noticed late because a frame was read after a pause: the time-out
// began anew, and the runs of the peer's jobs went on beside those of the resubmitted ones. The
// peer's connections stay open, as if its VM had lost power.
BOOST_AUTO_TEST_CASE(AFrameReadAfterAPauseDoesNotPutOffTheLossOfItsSender) {
  constexpr auto Pause = 550ms; // Shorter than the silence after which a peer is lost.
  constexpr auto NoticedWithin = 1100ms;
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.until([] { return false; }, 500ms);
  World.Second->send(1);
  World.runSecond();
  auto EndedAt = core::MonotonicClock::now();
  std::this_thread::sleep_for(Pause);
  while (World.First->Downs.empty() && core::MonotonicClock::now() < EndedAt + 2s) {
    World.runFirst();
    std::this_thread::sleep_for(5ms);
  }
  BOOST_TEST((core::MonotonicClock::now() - EndedAt < NoticedWithin));
  BOOST_TEST(World.First->Received.size() == 1U);
}

// Guards against messages for a process that are delivered to the process that replaced it.
BOOST_AUTO_TEST_CASE(ANewIncarnationIsANewPeer) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.endSecond();
  World.First->send(1);
  BOOST_TEST(World.until([&] { return !World.First->Downs.empty(); }));
  World.Second =
      std::make_unique<Node>(World.Reactor, "ikeja-2", World.SecondPort, 3, World.Relay.address());
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.First->send(2);
  BOOST_REQUIRE(World.until([&] { return !World.Second->Received.empty(); }));
  BOOST_TEST(World.Second->Received.front() == 2U);
}

// Guards against a process that knows only seed addresses and cannot discover the VMs there.
BOOST_AUTO_TEST_CASE(ASeedAddressIsResolvedToItsVm) {
  Pair World;
  auto Third = std::make_unique<Node>(World.Reactor, "ikeja-3", freePort(), 4, "127.0.0.1:1");
  Third->Mesh.addSeedAddress(World.Relay.address());
  BOOST_TEST(World.until([&] {
    Third->Mesh.tick(core::MonotonicClock::now());
    auto Known = Third->Mesh.knownPeers();
    return Known.size() == 1 && Known.front()->vm() == "ikeja-2";
  }));
}

// Guards against overload when some hundred processes start together: each opened connections to
// all the others at once, and again when the attempts timed out. Peers that do not answer must not
// prevent a connection to one that does.
BOOST_AUTO_TEST_CASE(ConcurrentConnectionAttemptsAreLimited) {
  Pair World;
  std::vector<Tcp::socket> Accepted;
  Tcp::acceptor UnresponsiveAcceptor(World.Reactor, {asio::ip::address_v4::loopback(), 0});
  std::function<void()> AcceptNext = [&] {
    UnresponsiveAcceptor.async_accept([&](boost::system::error_code Error, Tcp::socket Socket) {
      if (Error)
        return;
      Accepted.push_back(std::move(Socket));
      AcceptNext();
    });
  };
  AcceptNext();
  auto Begin = std::chrono::steady_clock::now();
  for (int Number = 0; Number < 100; ++Number)
    World.First->Mesh.addOrUpdatePeer(
        {"apapa-" + std::to_string(Number),
         reactor::formatAddress(UnresponsiveAcceptor.local_endpoint()), "apapa", 1},
        PeerSource::Listed, core::MonotonicClock::now());
  // The first connections time out after 300 ms.
  World.until([&] { return std::chrono::steady_clock::now() - Begin > 200ms; });
  BOOST_TEST(Accepted.size() >= 8U);
  BOOST_TEST(Accepted.size() <= 16U);
  BOOST_TEST(World.until([&] { return World.areUp(); }));
  UnresponsiveAcceptor.close();
  World.Reactor.poll();
}

// Guards against placement decisions without the network latency to another manager.
BOOST_AUTO_TEST_CASE(HeartbeatsMeasureTheRoundTrip) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  auto IsMeasured = [&] {
    return World.First->Mesh.connectedPeers().front()->roundTrip().has_value();
  };
  BOOST_REQUIRE(World.until(IsMeasured));
  auto RoundTrip = *World.First->Mesh.connectedPeers().front()->roundTrip();
  BOOST_TEST((RoundTrip > 0ms));
  BOOST_TEST((RoundTrip < 1000ms));
}

// Guards against links that stay open although neither side needs them, and against a link that is
// closed while one side still needs it.
BOOST_AUTO_TEST_CASE(ALinkIsClosedWhenNeitherSideNeedsIt) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.First->NeedsLinks = false;
  World.until([] { return false; }, 500ms);
  BOOST_TEST(World.areUp());
  World.Second->NeedsLinks = false;
  BOOST_REQUIRE(World.until([&] {
    return World.First->Mesh.connectedPeers().empty() &&
           World.Second->Mesh.connectedPeers().empty();
  }));
  World.until([] { return false; }, 500ms);
  BOOST_TEST(World.First->Mesh.connectedPeers().empty());
  BOOST_TEST(World.First->Downs.size() == 1U);
  BOOST_TEST((World.First->Downs.at(0) == PeerLossReason::Unneeded));
  World.Second->NeedsLinks = true;
  BOOST_TEST(World.until([&] { return World.areUp(); }));
}

// Guards against a peer that counts as failing after a single slow answer, or never does.
BOOST_AUTO_TEST_CASE(APeerIsFailingAfterASecondOfAttempts) {
  Pair World;
  World.Relay.setSilent(true);
  auto IsFailing = [&] {
    return World.First->Mesh.knownPeers().front()->isFailing(core::MonotonicClock::now());
  };
  World.until([] { return false; }, 700ms);
  BOOST_TEST(!IsFailing());
  BOOST_TEST(World.until(IsFailing));
  World.Relay.setSilent(false);
  World.Relay.reset();
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  BOOST_TEST(!IsFailing());
}

// Guards against a peer list that grows without limit where hundreds of VMs are replaced a day: the
// process would try to connect to all of them forever, and processes would keep gossiping about VMs
// that no longer exist.
BOOST_AUTO_TEST_CASE(VmsThatAreNoLongerListedExpire) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  auto &Mesh = World.First->Mesh;
  auto Now = core::MonotonicClock::now();
  Mesh.addOrUpdatePeer({"apapa-1", "127.0.0.1:1", "apapa", 1}, PeerSource::Listed, Now);
  Mesh.addOrUpdatePeer({"apapa-2", "127.0.0.1:2", "apapa", 1}, PeerSource::Gossiped, Now);
  Mesh.removeExpiredPeers(Now + 4min);
  BOOST_TEST(Mesh.knownPeers().size() == 3U);
  Mesh.addOrUpdatePeer({"apapa-1", "127.0.0.1:1", "apapa", 1}, PeerSource::Listed, Now + 4min);
  Mesh.removeExpiredPeers(Now + 6min);
  std::vector<std::string> Names;
  for (const auto *Peer : Mesh.knownPeers())
    Names.push_back(Peer->vm());
  // A VM whose link is up stays, listed or not.
  BOOST_TEST(Names == (std::vector<std::string>{"apapa-1", "ikeja-2"}),
             boost::test_tools::per_element());
  // A VM that is known only by gossip is not passed on to other VMs.
  Mesh.addOrUpdatePeer({"apapa-3", "127.0.0.1:3", "apapa", 1}, PeerSource::Gossiped, Now + 6min);
  for (const auto *Peer : Mesh.knownPeers())
    if (Peer->vm() == "apapa-3")
      BOOST_TEST(!Peer->isConfirmed(Now + 6min));
}
