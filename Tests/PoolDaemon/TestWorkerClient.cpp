#include "Libraries/LibReactor/HttpServer.h"
#include "Services/PoolDaemon/WorkerClient.h"
#include "Tests/LibReactor/TcpRelay.h"
#include "Tests/Pool/ManagerFixture.h"
#include "platform/WorkerMessages.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

namespace {

constexpr kernel::EndpointIndex TheWorker{0};

/// A worker behind a relay that knows no command, and the client of a manager that lists it.
struct CommandedWorker {
  CommandedWorker()
      : Server(reactor::HttpServer::listen(
            Reactor, {reactor::asio::ip::address_v4::loopback(), 0},
            [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) {
              bool IsStart = Exchange->target().find(StartPath) != std::string_view::npos;
              ++(IsStart ? Starts : OtherCalls);
              Exchange->reply({404, {}, {}});
            })),
        Relay(Reactor, Server->address().port()) {
    Client.setManager(Manager);
    std::vector<kernel::WorkerEntry> Entries = {test::entry("w-0")};
    Entries.front().Address = Relay.address();
    Manager.setWorkers(Entries, core::MonotonicClock::now());
  }

  bool until(const std::function<bool()> &Holds, std::chrono::milliseconds Limit = 2s) {
    auto End = std::chrono::steady_clock::now() + Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Reactor.run_one_for(10ms);
    return Holds();
  }

  static constexpr std::string_view StartPath = "start";
  reactor::asio::io_context Reactor;
  int Starts = 0;
  int OtherCalls = 0;
  std::shared_ptr<reactor::HttpServer> Server;
  reactor::TcpRelay Relay;
  platform::WorkerMessages Format;
  pool::WorkerClient Client{Reactor, Format, [](kernel::PeerIndex, const kernel::PoolMessage &) {},
                            [](kernel::EndpointIndex) {}};
  test::NoLog Log;
  kernel::TokenSource Tokens;
  kernel::PoolManager Manager{{}, Client, Tokens, Log};
};

} // namespace

// Guards against starts that are lost on connections which have gone silent together with that of a
// poll: all copies of a start were, and its task could not start elsewhere for seconds.
BOOST_AUTO_TEST_CASE(StartsAvoidConnectionsThatWentSilentWithAPoll) {
  constexpr int Connections = 4;
  CommandedWorker World;
  BOOST_REQUIRE(World.until([&] { return World.OtherCalls > 0; })); // The manager's first poll.
  for (int Each = 0; Each < Connections; ++Each)
    World.Client.start(TheWorker, {});
  BOOST_REQUIRE(World.until([&] { return World.Starts == Connections; }));
  World.until([] { return false; }, 50ms); // The replies arrive.
  World.Relay.silenceOpenConnections();
  World.Client.poll(TheWorker, {});
  World.until([] { return false; }, kernel::PollReplyMargin + 50ms);
  World.Client.start(TheWorker, {});
  BOOST_TEST(World.until([&] { return World.Starts == Connections + 1; }));
}
