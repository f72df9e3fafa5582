#include "Libraries/LibReactor/HttpClient.h"
#include "Libraries/LibReactor/HttpServer.h"

#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::reactor;
using namespace std::chrono_literals;

namespace {

const Tcp::endpoint AnyPort(asio::ip::address_v4::loopback(), 0);

/// A server and a client on one reactor.
struct Loopback {
  explicit Loopback(HttpServer::Handler OnRequest)
      : Server(HttpServer::listen(Reactor, AnyPort, std::move(OnRequest))),
        Client(std::make_shared<HttpClient>(Reactor, Server->address(), 2)) {}

  /// Runs the reactor until the condition holds, two seconds at most.
  bool until(const std::function<bool()> &Holds) {
    auto End = std::chrono::steady_clock::now() + 2s;
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Reactor.run_one_for(10ms);
    return Holds();
  }

  void call(const std::string &Target, core::Duration Limit = 1s) {
    Client->call({HttpMethod::Get, Target, {}, {}}, core::MonotonicClock::now() + Limit,
                 [this](HttpResult Result) { Results.push_back(std::move(Result)); });
  }

  asio::io_context Reactor;
  std::shared_ptr<HttpServer> Server;
  std::shared_ptr<HttpClient> Client;
  std::vector<HttpResult> Results;
};

void echo(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->reply({200, std::string(Exchange->target()), {}});
}

} // namespace

BOOST_AUTO_TEST_CASE(CallsShareConnectionsAndGetTheirOwnReplies) {
  Loopback World(echo);
  for (int Call = 0; Call < 20; ++Call)
    World.call("/" + std::to_string(Call));
  BOOST_REQUIRE(World.until([&] { return World.Results.size() == 20; }));
  for (const auto &Result : World.Results)
    BOOST_TEST(Result.Reply.has_value());
  BOOST_TEST(World.Client->connectionsMade() <= 2U);
}

// Guards against a call that waits for ever on a connection that has gone silent.
BOOST_AUTO_TEST_CASE(ASilentServerEndsACallAtItsDeadline) {
  std::vector<std::shared_ptr<HttpExchange>> Held;
  Loopback World([&](const std::shared_ptr<HttpExchange> &Exchange) { Held.push_back(Exchange); });
  World.call("/", 50ms);
  BOOST_REQUIRE(World.until([&] { return !World.Results.empty(); }));
  BOOST_TEST(!World.Results[0].Reply);
  BOOST_TEST((World.Results[0].Failure == HttpFailure::NoReply));
  BOOST_TEST(Held.size() == 1U);
}

// Guards against an order that is believed to have been sent although nobody listened.
BOOST_AUTO_TEST_CASE(AnAddressWithoutListenerFailsAsNotSent) {
  Loopback World(echo);
  World.Server->stopListening();
  World.call("/");
  BOOST_REQUIRE(World.until([&] { return !World.Results.empty(); }));
  BOOST_TEST((World.Results[0].Failure == HttpFailure::NotSent));
}

// Guards against a caller that is called back in the midst of its own work, and a call whose end is
// never told.
BOOST_AUTO_TEST_CASE(AClosedClientFailsItsCallsLater) {
  std::vector<std::shared_ptr<HttpExchange>> Held;
  Loopback World([&](const std::shared_ptr<HttpExchange> &Exchange) { Held.push_back(Exchange); });
  for (int Call = 0; Call < 4; ++Call)
    World.call("/");
  BOOST_REQUIRE(World.until([&] { return Held.size() == 2; }));
  World.Client->close();
  World.call("/after");
  BOOST_TEST(World.Results.empty());
  BOOST_TEST(World.until([&] { return World.Results.size() == 5; }));
}

// Guards against work that goes on for a caller that has left.
BOOST_AUTO_TEST_CASE(AClosedConnectionIsNoticedWhileTheRequestIsOpen) {
  bool IsDisconnected = false;
  std::shared_ptr<HttpExchange> Held;
  Loopback World([&](std::shared_ptr<HttpExchange> Exchange) {
    Held = std::move(Exchange);
    Held->setDisconnectHandler([&] { IsDisconnected = true; });
  });
  World.call("/", 30ms);
  BOOST_TEST(World.until([&] { return IsDisconnected; }));
  Held->reply({200, {}, {}}); // Has no effect.
  BOOST_TEST(World.until([&] { return World.Server->openRequests() == 0; }));
}

// Guards against input that takes the process's memory.
BOOST_AUTO_TEST_CASE(RequestsBeyondTheLimitsAreRefused) {
  for (const auto &[Text, Status] :
       {std::pair{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n", "413"},
        std::pair{"no request at all\r\n\r\n", "400"}}) {
    Loopback World(echo);
    Tcp::socket Socket(World.Reactor);
    Socket.connect(World.Server->address());
    asio::write(Socket, asio::buffer(std::string(Text)));
    std::string Reply(64, ' ');
    bool IsRead = false;
    Socket.async_read_some(asio::buffer(Reply),
                           [&](boost::system::error_code, std::size_t) { IsRead = true; });
    BOOST_REQUIRE(World.until([&] { return IsRead; }));
    BOOST_TEST(Reply.substr(9, 3) == Status);
  }
}

// Guards against a planned stop that cuts an open request or lets a client send another one.
BOOST_AUTO_TEST_CASE(ADrainingServerAnswersAndAsksToClose) {
  std::shared_ptr<HttpExchange> Held;
  Loopback World([&](std::shared_ptr<HttpExchange> Exchange) { Held = std::move(Exchange); });
  World.call("/");
  BOOST_REQUIRE(World.until([&] { return Held != nullptr; }));
  World.Server->beginDrain();
  Held->reply({200, "whole", {}});
  BOOST_REQUIRE(World.until([&] { return !World.Results.empty(); }));
  BOOST_REQUIRE(World.Results[0].Reply);
  BOOST_TEST(World.Results[0].Reply->Body == "whole");
  Held.reset();
  BOOST_TEST(World.until([&] { return World.Server->connections() == 0; }));
}
