#pragma once

#include "Libraries/LibMesh/MeshNode.h"
#include "Tests/LibReactor/TcpRelay.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornellift::test {

using namespace cornellift::mesh;
using namespace std::chrono_literals;

inline std::uint16_t freePort() {
  asio::io_context Reactor;
  Tcp::acceptor Acceptor(Reactor, {asio::ip::address_v4::loopback(), 0});
  return Acceptor.local_endpoint().port();
}

/// A node that records the events and messages it receives.
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
  void peerDown(const MeshPeer &Peer, PeerLossReason Reason) override {
    Downs.push_back(Reason);
    LastHeard = Peer.lastHeard();
  }
  void heartbeatReceived(const MeshPeer &Peer, const Heartbeat &) override {
    LastHeard = Peer.lastHeard();
  }
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
  core::TimePoint LastHeard; ///< Of the peer, at its latest heartbeat or loss.
  std::vector<PeerLossReason> Downs;
  std::vector<std::uint64_t> Received;
  MeshNode Mesh;
};

/// Two nodes. The connections that the first one opens to the second pass through a relay.
struct Pair {
  Pair()
      : SecondPort(freePort()), Relay(Reactor, SecondPort),
        First(std::make_unique<Node>(FirstReactor, "ikeja-1", FirstPort, 1,
                                     "127.0.0.1:" + std::to_string(FirstPort))),
        Second(std::make_unique<Node>(Reactor, "ikeja-2", SecondPort, 2, Relay.address())) {
    First->Mesh.addOrUpdatePeer({"ikeja-2", Relay.address(), "ikeja", 1}, PeerSource::Listed,
                                core::MonotonicClock::now());
  }

  bool until(const std::function<bool()> &Holds, std::chrono::milliseconds Limit = 3000ms) {
    auto End = std::chrono::steady_clock::now() + Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      runSecond();
      runFirst();
    }
    return Holds();
  }

  void runFirst() {
    FirstReactor.poll();
    FirstReactor.restart();
    First->Mesh.updateNeededLinks();
    First->Mesh.tick(core::MonotonicClock::now());
  }

  void runSecond() {
    Reactor.run_for(5ms);
    if (!Second)
      return;
    Second->Mesh.updateNeededLinks();
    Second->Mesh.tick(core::MonotonicClock::now());
  }

  /// Pauses the first node for a time in which the second one runs.
  void pauseFirst(std::chrono::milliseconds Span) {
    auto End = std::chrono::steady_clock::now() + Span;
    while (std::chrono::steady_clock::now() < End)
      runSecond();
  }

  /// Ends the second node's process. Returns when it has last been running.
  core::TimePoint endSecond() {
    auto EndedAt = core::MonotonicClock::now();
    Second->Mesh.close();
    Second.reset();
    Relay.reset();
    return EndedAt;
  }

  bool areUp() {
    return First->Mesh.connectedPeers().size() == 1 && Second->Mesh.connectedPeers().size() == 1;
  }

  asio::io_context FirstReactor;
  asio::io_context Reactor; ///< Of the second node and the relay.
  std::uint16_t FirstPort = freePort();
  std::uint16_t SecondPort;
  reactor::TcpRelay Relay;
  std::unique_ptr<Node> First;
  std::unique_ptr<Node> Second;
};

} // namespace cornellift::test
