#include "Libraries/LibMesh/MeshNode.h"

#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::mesh;
using namespace std::chrono_literals;

namespace {

std::uint16_t freePort() {
  asio::io_context Reactor;
  Tcp::acceptor Acceptor(Reactor, {asio::ip::address_v4::loopback(), 0});
  return Acceptor.local_endpoint().port();
}

/// One direction of a relayed connection.
struct RelayDirection : std::enable_shared_from_this<RelayDirection> {
  RelayDirection(std::shared_ptr<Tcp::socket> Source, std::shared_ptr<Tcp::socket> Sink,
                 const bool &Silent)
      : From(std::move(Source)), To(std::move(Sink)), IsSilent(Silent) {}

  void run() {
    From->async_read_some(asio::buffer(Bytes), [Self = shared_from_this()](auto Error, auto Count) {
      boost::system::error_code Broken;
      if (!Error && !Self->IsSilent)
        asio::write(*Self->To, asio::buffer(Self->Bytes, Count), Broken);
      if (Error || Broken)
        return Self->To->close(Broken);
      Self->run();
    });
  }

  std::shared_ptr<Tcp::socket> From;
  std::shared_ptr<Tcp::socket> To;
  const bool &IsSilent;
  std::array<char, 4096> Bytes{};
};

/// Forwards connections to another port; it can reset them all and let them fall silent.
class TestProxy {
public:
  TestProxy(asio::io_context &Reactor, std::uint16_t Target)
      : Reactor_(Reactor), Target_(asio::ip::address_v4::loopback(), Target),
        Acceptor_(Reactor, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  std::string address() const { return reactor::formatAddress(Acceptor_.local_endpoint()); }
  void setSilent(bool IsSilent) { IsSilent_ = IsSilent; }
  void reset() {
    boost::system::error_code Ignored; // The sockets may be closed already.
    for (const auto &Socket : Sockets_) {
      Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
    Sockets_.clear();
  }

private:
  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Error, Tcp::socket Socket) {
      if (Error)
        return;
      auto Near = std::make_shared<Tcp::socket>(std::move(Socket));
      auto Far = std::make_shared<Tcp::socket>(Reactor_);
      boost::system::error_code Refused;
      Far->connect(Target_, Refused);
      if (!Refused) {
        Sockets_.push_back(Near);
        Sockets_.push_back(Far);
        std::make_shared<RelayDirection>(Near, Far, IsSilent_)->run();
        std::make_shared<RelayDirection>(Far, Near, IsSilent_)->run();
      }
      accept();
    });
  }

  asio::io_context &Reactor_;
  Tcp::endpoint Target_;
  Tcp::acceptor Acceptor_;
  std::vector<std::shared_ptr<Tcp::socket>> Sockets_;
  bool IsSilent_ = false;
};

/// A node that remembers what it was told.
class Node final : public MeshListener {
public:
  Node(asio::io_context &Reactor, const std::string &Vm, std::uint16_t Port,
       std::uint64_t Incarnation, const std::string &Advertised)
      : Mesh(Reactor, {Vm, "ikeja", Advertised, Incarnation, 1}, *this) {
    Mesh.listen({asio::ip::address_v4::loopback(), Port});
  }

  Heartbeat makeHeartbeat() override { return {}; }
  bool sharesWorkWith(const MeshPeer &) override { return true; }
  bool isNeeded(const MeshPeer &) override { return NeedsLinks; }
  void peerUp(const MeshPeer &Peer) override {
    Index = Peer.Index;
    ++Ups;
  }
  void peerDown(const MeshPeer &, PeerLossReason Reason) override { Downs.push_back(Reason); }
  void heartbeatReceived(const MeshPeer &, const Heartbeat &) override {}
  void messageReceived(const MeshPeer &, const Frame &Message) override {
    Received.push_back(Message.abandon().job());
  }

  void send(std::uint64_t Job) {
    Frame Message;
    Message.mutable_abandon()->set_job(Job);
    Mesh.send(Index, Message);
  }

  kernel::PeerIndex Index{};
  bool NeedsLinks = true;
  int Ups = 0;
  std::vector<PeerLossReason> Downs;
  std::vector<std::uint64_t> Received;
  MeshNode Mesh;
};

/// Two nodes; what the first one sends goes through a relay.
struct Pair {
  Pair()
      : SecondPort(freePort()), Proxy(Reactor, SecondPort),
        First(std::make_unique<Node>(Reactor, "ikeja-1", FirstPort, 1,
                                     "127.0.0.1:" + std::to_string(FirstPort))),
        Second(std::make_unique<Node>(Reactor, "ikeja-2", SecondPort, 2, Proxy.address())) {
    First->Mesh.addOrUpdatePeer({"ikeja-2", Proxy.address(), "ikeja", 1}, PeerSource::Listed,
                                core::MonotonicClock::now());
  }

  bool until(const std::function<bool()> &Holds, std::chrono::milliseconds Limit = 3000ms) {
    auto End = std::chrono::steady_clock::now() + Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      Reactor.run_for(5ms);
      First->Mesh.updateNeededLinks();
      if (Second)
        Second->Mesh.updateNeededLinks();
      First->Mesh.tick(core::MonotonicClock::now());
      if (Second)
        Second->Mesh.tick(core::MonotonicClock::now());
    }
    return Holds();
  }

  bool areUp() {
    return First->Mesh.connectedPeers().size() == 1 && Second->Mesh.connectedPeers().size() == 1;
  }

  asio::io_context Reactor;
  std::uint16_t FirstPort = freePort();
  std::uint16_t SecondPort;
  TestProxy Proxy;
  std::unique_ptr<Node> First;
  std::unique_ptr<Node> Second;
};

} // namespace

// Guards against messages that are lost, repeated or out of order when connections are reset.
BOOST_AUTO_TEST_CASE(MessagesArriveOnceAndInOrderOverResetConnections) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  constexpr std::uint64_t Count = 200;
  for (std::uint64_t Job = 1; Job <= Count; ++Job) {
    World.First->send(Job);
    if (Job % 50 == 0) {
      World.Proxy.reset();
      World.until([] { return false; }, 100ms);
    }
  }
  BOOST_REQUIRE(World.until([&] { return World.Second->Received.size() >= Count; }));
  for (std::uint64_t Job = 1; Job <= Count; ++Job)
    BOOST_TEST(World.Second->Received[Job - 1] == Job);
  BOOST_TEST(World.Second->Received.size() == Count);
  BOOST_TEST(World.First->Downs.empty());
}

// Guards against a connection that has gone silent and is believed to work.
BOOST_AUTO_TEST_CASE(ASilentConnectionIsDetectedAndReplaced) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.Proxy.setSilent(true);
  World.First->send(1);
  BOOST_TEST(World.until([&] { return !World.First->Downs.empty(); }));
  BOOST_TEST((World.First->Downs.at(0) == PeerLossReason::Silent));
  World.Proxy.setSilent(false);
  World.Proxy.reset();
  BOOST_REQUIRE(World.until([&] { return World.areUp() && World.First->Ups >= 2; }));
  World.First->send(2);
  BOOST_TEST(World.until(
      [&] { return !World.Second->Received.empty() && World.Second->Received.back() == 2; }));
}

// Guards against messages for a former process that reach its successor.
BOOST_AUTO_TEST_CASE(ANewIncarnationIsANewPeer) {
  Pair World;
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.Second->Mesh.close();
  World.Second.reset();
  World.Proxy.reset();
  World.First->send(1);
  BOOST_TEST(World.until([&] { return !World.First->Downs.empty(); }));
  World.Second =
      std::make_unique<Node>(World.Reactor, "ikeja-2", World.SecondPort, 3, World.Proxy.address());
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  World.First->send(2);
  BOOST_REQUIRE(World.until([&] { return !World.Second->Received.empty(); }));
  BOOST_TEST(World.Second->Received.front() == 2U);
}

// Guards against a process that cannot find the others because it knows addresses only.
BOOST_AUTO_TEST_CASE(ASeedAddressIsResolvedToItsVm) {
  Pair World;
  auto Third = std::make_unique<Node>(World.Reactor, "ikeja-3", freePort(), 4, "127.0.0.1:1");
  Third->Mesh.addSeedAddress(World.Proxy.address());
  BOOST_TEST(World.until([&] {
    Third->Mesh.tick(core::MonotonicClock::now());
    auto Known = Third->Mesh.knownPeers();
    return Known.size() == 1 && Known.front()->vm() == "ikeja-2";
  }));
}

// Guards against some hundred processes that start together and keep each other too busy to answer:
// each opened connections to all the others at once, and again when they timed out. Those that do
// not answer keep nobody from reaching one that does.
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

// Guards against a placement that does not know how far away another manager is.
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

// Guards against links that stay although nobody needs them, and against one that is closed while
// one side still needs it.
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

// Guards against a peer that is given up after one slow answer, or never.
BOOST_AUTO_TEST_CASE(APeerIsFailingAfterASecondOfAttempts) {
  Pair World;
  World.Proxy.setSilent(true);
  auto IsFailing = [&] {
    return World.First->Mesh.knownPeers().front()->isFailing(core::MonotonicClock::now());
  };
  World.until([] { return false; }, 700ms);
  BOOST_TEST(!IsFailing());
  BOOST_TEST(World.until(IsFailing));
  World.Proxy.setSilent(false);
  World.Proxy.reset();
  BOOST_REQUIRE(World.until([&] { return World.areUp(); }));
  BOOST_TEST(!IsFailing());
}

// Guards against a list of VMs that grows for ever where hundreds are replaced a day: all would be
// tried again and again, and the processes would tell each other of VMs that are long gone.
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
  // The reached VM stays, listed or not.
  BOOST_TEST(Names == (std::vector<std::string>{"apapa-1", "ikeja-2"}),
             boost::test_tools::per_element());
  // What another VM has told is not told any further.
  Mesh.addOrUpdatePeer({"apapa-3", "127.0.0.1:3", "apapa", 1}, PeerSource::Gossiped, Now + 6min);
  for (const auto *Peer : Mesh.knownPeers())
    if (Peer->vm() == "apapa-3")
      BOOST_TEST(!Peer->isConfirmed(Now + 6min));
}
