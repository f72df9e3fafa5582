#include "Libraries/LibReactor/HttpClient.h"
#include "Libraries/LibReactor/HttpServer.h"
#include "Tests/LibReactor/TcpRelay.h"

#include <boost/asio/write.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
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

  /// Runs the reactor until the condition holds, for two seconds at most. Returns whether it holds.
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

// Guards against a call that never ends because the server does not reply.
BOOST_AUTO_TEST_CASE(ASilentServerEndsACallAtItsDeadline) {
  std::vector<std::shared_ptr<HttpExchange>> Held;
  Loopback World([&](const std::shared_ptr<HttpExchange> &Exchange) { Held.push_back(Exchange); });
  World.call("/", 50ms);
  BOOST_REQUIRE(World.until([&] { return !World.Results.empty(); }));
  BOOST_TEST(!World.Results[0].Reply);
  BOOST_TEST((World.Results[0].Failure == HttpFailure::NoReply));
  BOOST_TEST(Held.size() == 1U);
}

// Guards against calls that go on to use idle connections which have gone silent together with the
// one of a call that got no reply: each held up another call until its deadline.
BOOST_AUTO_TEST_CASE(ACallWithoutReplyClosesIdleConnections) {
  constexpr std::size_t Connections = 4;
  asio::io_context Reactor;
  auto Server = HttpServer::listen(Reactor, AnyPort, echo);
  TcpRelay Relay(Reactor, Server->address().port());
  auto Client = std::make_shared<HttpClient>(Reactor, Relay.endpoint(), Connections);
  std::vector<HttpResult> Results;
  auto Call = [&](core::Duration Limit) {
    Client->call({HttpMethod::Get, "/", {}, {}}, core::MonotonicClock::now() + Limit,
                 [&](HttpResult Result) { Results.push_back(std::move(Result)); });
  };
  auto UntilResults = [&](std::size_t Count) {
    auto End = std::chrono::steady_clock::now() + 2s;
    while (Results.size() < Count && std::chrono::steady_clock::now() < End)
      Reactor.run_one_for(10ms);
    return Results.size() == Count;
  };
  for (std::size_t Each = 0; Each < Connections; ++Each)
    Call(1s);
  BOOST_REQUIRE(UntilResults(Connections));
  BOOST_REQUIRE(Client->connectionsMade() == Connections);
  Relay.silenceOpenConnections();
  Call(100ms);
  BOOST_REQUIRE(UntilResults(Connections + 1));
  BOOST_TEST(!Results.back().Reply);
  for (std::size_t Each = 0; Each < Connections; ++Each)
    Call(1s);
  BOOST_REQUIRE(UntilResults(2 * Connections + 1));
  for (std::size_t Each = Connections + 1; Each < Results.size(); ++Each)
    BOOST_TEST(Results[Each].Reply.has_value());
}

// Guards against a request that arrives after its deadline: a connection that is closed in the
// usual way still delivers what a partition holds up.
BOOST_AUTO_TEST_CASE(ACallThatTimesOutResetsItsConnection) {
  asio::io_context Reactor;
  Tcp::acceptor Acceptor(Reactor, AnyPort);
  auto Client = std::make_shared<HttpClient>(Reactor, Acceptor.local_endpoint(), 1);
  Tcp::socket Accepted(Reactor);
  Acceptor.async_accept(Accepted, [](boost::system::error_code) {});
  bool HasFailed = false;
  Client->call({HttpMethod::Get, "/", {}, {}}, core::MonotonicClock::now() + 50ms,
               [&](const HttpResult &) { HasFailed = true; });
  auto End = std::chrono::steady_clock::now() + 2s;
  while (!HasFailed && std::chrono::steady_clock::now() < End)
    Reactor.run_one_for(10ms);
  BOOST_REQUIRE(HasFailed);
  BOOST_REQUIRE(Accepted.is_open());
  std::string Received(1024, '\0');
  boost::system::error_code Error;
  while (!Error)
    Accepted.read_some(asio::buffer(Received), Error);
  BOOST_TEST(Error == asio::error::connection_reset);
}

namespace {

/// A client of one connection and the server's end of it, which the test reads and writes itself:
/// the client does nothing while its reactor does not run, as in a process that is paused.
struct PausedClient {
  void call(std::string Target, core::Duration Limit, std::string Body = {}) {
    Client->call({HttpMethod::Post, std::move(Target), {}, std::move(Body)},
                 core::MonotonicClock::now() + Limit,
                 [this](HttpResult Result) { Results.push_back(std::move(Result)); });
  }

  void accept() {
    Acceptor.accept(Accepted);
    Accepted.non_blocking(true);
  }

  /// Runs the client until it has that many results, for two seconds at most.
  bool untilResults(std::size_t Count) {
    auto End = std::chrono::steady_clock::now() + 2s;
    while (Results.size() < Count && std::chrono::steady_clock::now() < End)
      Reactor.run_one_for(10ms);
    return Results.size() >= Count;
  }

  /// Runs the client until a part of a request has arrived. Returns whether one has.
  bool untilReceived() {
    auto End = std::chrono::steady_clock::now() + 2s;
    while (Received.empty() && std::chrono::steady_clock::now() < End) {
      Reactor.run_for(1ms);
      readFor(1ms);
    }
    return !Received.empty();
  }

  /// Reads what arrives within the time, and until the end of the connection. Returns the error
  /// that has ended the connection, if any.
  boost::system::error_code readFor(core::Duration Limit) {
    auto End = std::chrono::steady_clock::now() + Limit;
    std::string Part(1U << 16, '\0');
    boost::system::error_code Error;
    while (std::chrono::steady_clock::now() < End) {
      auto Length = Accepted.read_some(asio::buffer(Part), Error);
      Received.append(Part, 0, Length);
      if (Error && Error != asio::error::would_block)
        return Error;
      if (Error)
        std::this_thread::sleep_for(1ms);
    }
    return {};
  }

  asio::io_context Reactor;
  asio::io_context ServerContext;
  Tcp::acceptor Acceptor{ServerContext, AnyPort};
  Tcp::socket Accepted{ServerContext};
  std::shared_ptr<HttpClient> Client =
      std::make_shared<HttpClient>(Reactor, Acceptor.local_endpoint(), 1);
  std::vector<HttpResult> Results;
  std::string Received;
};

} // namespace

// Guards against an order that a process writes after its deadline: it was paused while it opened
// the connection, and finds the connection established.
BOOST_AUTO_TEST_CASE(ACallThatExpiredWhileConnectingIsNotWritten) {
  PausedClient World;
  World.call("/late", 50ms);
  World.accept();
  std::this_thread::sleep_for(80ms);
  BOOST_REQUIRE(World.untilResults(1));
  BOOST_TEST((World.Results[0].Failure == HttpFailure::NotSent));
  World.readFor(50ms);
  BOOST_TEST(World.Received.empty());
}

// Guards against an order that a process writes after its deadline: it was paused while the order
// waited for a connection, and finds the connection idle.
BOOST_AUTO_TEST_CASE(ACallThatExpiredWhileWaitingIsNotWritten) {
  PausedClient World;
  World.call("/first", 2s);
  World.call("/late", 500ms);
  World.accept();
  BOOST_REQUIRE(World.untilReceived());
  BOOST_REQUIRE(World.Received.starts_with("POST /first "));
  World.Received.clear();
  std::this_thread::sleep_for(550ms);
  asio::write(World.Accepted,
              asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  BOOST_REQUIRE(World.untilResults(2));
  BOOST_TEST(World.Results[0].Reply.has_value());
  BOOST_TEST(!World.Results[1].Reply);
  BOOST_TEST((World.Results[1].Failure == HttpFailure::NotSent));
  World.readFor(50ms);
  BOOST_TEST(World.Received.empty());
  World.call("/next", 1s); // The connection is still used.
  World.readFor(20ms);
  BOOST_TEST(World.Received.starts_with("POST /next "));
}

// Guards against an order that is written after its deadline on an idle connection, and against a
// handler that is called from within call().
BOOST_AUTO_TEST_CASE(ACallWhoseDeadlineHasPassedIsNotWritten) {
  PausedClient World;
  World.call("/first", 2s);
  World.accept();
  BOOST_REQUIRE(World.untilReceived());
  asio::write(World.Accepted,
              asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  BOOST_REQUIRE(World.untilResults(1));
  World.Received.clear();
  World.call("/late", -1ms);
  BOOST_TEST(World.Results.size() == 1U);
  BOOST_REQUIRE(World.untilResults(2));
  BOOST_TEST((World.Results[1].Failure == HttpFailure::NotSent));
  World.readFor(50ms);
  BOOST_TEST(World.Received.empty());
}

// Guards against a request that arrives after it was given up because the worker's address has
// changed or the worker was dropped: a graceful close still delivers what a partition holds up.
BOOST_AUTO_TEST_CASE(AClientThatIsClosedDuringACallResetsItsConnection) {
  PausedClient World;
  World.call("/", 2s);
  World.accept();
  BOOST_REQUIRE(World.untilReceived());
  World.Client->close();
  BOOST_REQUIRE(World.untilResults(1));
  BOOST_TEST((World.Results[0].Failure == HttpFailure::NoReply));
  BOOST_TEST(World.readFor(1s) == asio::error::connection_reset);
}

// Guards against a request that arrives after the process that sent it has ended: nobody waits for
// its reply, and the task may run elsewhere by then.
BOOST_AUTO_TEST_CASE(AnEndDuringACallResetsItsConnection) {
  asio::io_context ServerContext;
  Tcp::acceptor Acceptor(ServerContext, AnyPort);
  Tcp::socket Accepted(ServerContext);
  {
    asio::io_context Reactor;
    auto Client = std::make_shared<HttpClient>(Reactor, Acceptor.local_endpoint(), 1);
    Client->call({HttpMethod::Get, "/", {}, {}}, core::MonotonicClock::now() + 2s,
                 [](const HttpResult &) {});
    Acceptor.accept(Accepted);
    auto End = std::chrono::steady_clock::now() + 2s;
    while (Accepted.available() == 0 && std::chrono::steady_clock::now() < End)
      Reactor.run_for(1ms);
    BOOST_REQUIRE(Accepted.available() > 0);
  }
  std::string Received(1024, '\0');
  boost::system::error_code Error;
  while (!Error)
    Accepted.read_some(asio::buffer(Received), Error);
  BOOST_TEST(Error == asio::error::connection_reset);
}

// Guards against a request that the kernel still delivers after the process that sent it was
// killed.
BOOST_AUTO_TEST_CASE(AKilledProcessResetsTheConnectionOfItsCall) {
  asio::io_context ServerContext;
  Tcp::acceptor Acceptor(ServerContext, AnyPort);
  Tcp::socket Accepted(ServerContext);
  auto Address = Acceptor.local_endpoint();
  auto Child = ::fork();
  BOOST_REQUIRE(Child >= 0);
  if (Child == 0) {
    asio::io_context Reactor;
    auto Client = std::make_shared<HttpClient>(Reactor, Address, 1);
    Client->call({HttpMethod::Get, "/", {}, {}}, core::MonotonicClock::now() + 5s,
                 [](const HttpResult &) {});
    Reactor.run_for(5s);
    ::_exit(0);
  }
  Acceptor.accept(Accepted);
  std::string Received(1024, '\0');
  boost::system::error_code Error;
  Accepted.read_some(asio::buffer(Received), Error);
  BOOST_TEST(!Error);
  ::kill(Child, SIGKILL);
  ::waitpid(Child, nullptr, 0);
  while (!Error)
    Accepted.read_some(asio::buffer(Received), Error);
  BOOST_TEST(Error == asio::error::connection_reset);
}

// Guards against a reply that is lost because the client resets the connection after it: the server
// sees a reset of an idle connection as its end, and answers the next client.
BOOST_AUTO_TEST_CASE(AResetOfAnIdleConnectionLosesNoReply) {
  Loopback World(echo);
  World.call("/whole");
  BOOST_REQUIRE(World.until([&] { return World.Results.size() == 1; }));
  World.Client->close();
  BOOST_REQUIRE(World.Results[0].Reply.has_value());
  BOOST_TEST(World.Results[0].Reply->Body == "/whole");
  BOOST_TEST(World.until([&] { return World.Server->connections() == 0; }));
  World.Client = std::make_shared<HttpClient>(World.Reactor, World.Server->address(), 1);
  World.call("/next");
  BOOST_REQUIRE(World.until([&] { return World.Results.size() == 2; }));
  BOOST_TEST(World.Results[1].Reply.has_value());
}

// Guards against a request whose end is written after its deadline: the process was paused when a
// part of it was written, and finds room in the socket's buffer.
BOOST_AUTO_TEST_CASE(ARequestThatIsPartlyWrittenIsNotCompletedAfterItsDeadline) {
  PausedClient World;
  World.call("/", 500ms, std::string(32U << 20, 'x'));
  World.accept();
  BOOST_REQUIRE(World.untilReceived());
  World.readFor(550ms); // All that was written before the pause.
  auto Before = World.Received.size();
  BOOST_REQUIRE(Before > 0);
  BOOST_REQUIRE(Before < 32U << 20);
  BOOST_REQUIRE(World.untilResults(1));
  BOOST_TEST((World.Results[0].Failure == HttpFailure::NoReply));
  BOOST_TEST(World.readFor(1s) == asio::error::connection_reset);
  BOOST_TEST(World.Received.size() == Before);
}

// Guards against a request that is not written to its end because the socket's buffer was full.
BOOST_AUTO_TEST_CASE(ARequestIsWrittenInSeveralParts) {
  constexpr std::size_t Length = 32U << 20;
  PausedClient World;
  World.call("/", 5s, std::string(Length, 'x'));
  World.accept();
  for (int Round = 0; Round < 1000 && World.Received.size() < Length; ++Round) {
    World.Reactor.run_for(1ms);
    World.readFor(1ms);
  }
  BOOST_TEST(World.Received.size() > Length);
  asio::write(World.Accepted,
              asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  BOOST_REQUIRE(World.untilResults(1));
  BOOST_TEST(World.Results[0].Reply.has_value());
}

// Guards against a request that is read as the end of the one before, which the server has answered
// before it was written completely.
BOOST_AUTO_TEST_CASE(AnEarlyReplyEndsTheConnection) {
  PausedClient World;
  World.call("/first", 2s, std::string(32U << 20, 'x'));
  World.accept();
  BOOST_REQUIRE(World.untilReceived());
  asio::write(World.Accepted,
              asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  BOOST_REQUIRE(World.untilResults(1));
  BOOST_TEST(World.Results[0].Reply.has_value());
  World.call("/second", 200ms);
  World.Reactor.run_for(20ms);
  BOOST_TEST(World.readFor(1s) == asio::error::connection_reset);
  BOOST_TEST(World.Received.find("/second") == std::string::npos);
  BOOST_TEST(World.Client->connectionsMade() == 2U);
}

// Guards against a request that counts as sent although no connection was established.
BOOST_AUTO_TEST_CASE(AnAddressWithoutListenerFailsAsNotSent) {
  Loopback World(echo);
  World.Server->stopListening();
  World.call("/");
  BOOST_REQUIRE(World.until([&] { return !World.Results.empty(); }));
  BOOST_TEST((World.Results[0].Failure == HttpFailure::NotSent));
}

// Guards against a handler that is called from within call() or close(), and against one that is
// never called.
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

// Guards against work that continues for a client that has disconnected.
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

// Guards against work that continues for a client that has disconnected after it had sent a second
// request before the reply to the first, in one segment with it or later.
BOOST_AUTO_TEST_CASE(AClosedConnectionIsNoticedBehindAPipelinedRequest) {
  constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  for (bool IsOneSegment : {true, false}) {
    bool IsDisconnected = false;
    std::shared_ptr<HttpExchange> Held;
    Loopback World([&](std::shared_ptr<HttpExchange> Exchange) {
      Held = std::move(Exchange);
      Held->setDisconnectHandler([&] { IsDisconnected = true; });
    });
    Tcp::socket Socket(World.Reactor);
    Socket.connect(World.Server->address());
    asio::write(Socket,
                asio::buffer(std::string(Request) + std::string(IsOneSegment ? Request : "")));
    BOOST_REQUIRE(World.until([&] { return Held != nullptr; }));
    if (!IsOneSegment)
      asio::write(Socket, asio::buffer(Request));
    World.Reactor.run_for(20ms);
    BOOST_TEST(!IsDisconnected);
    Socket.close();
    BOOST_TEST(World.until([&] { return IsDisconnected; }));
    BOOST_TEST(World.Server->openRequests() == 0U);
  }
}

// Guards against a second request that is lost because the connection is watched meanwhile.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInTheirOrder) {
  std::vector<std::shared_ptr<HttpExchange>> Held;
  Loopback World([&](const std::shared_ptr<HttpExchange> &Exchange) { Held.push_back(Exchange); });
  Tcp::socket Socket(World.Reactor);
  Socket.connect(World.Server->address());
  for (const char *Target : {"/1", "/2", "/3"})
    asio::write(Socket,
                asio::buffer("GET " + std::string(Target) + " HTTP/1.1\r\nHost: a\r\n\r\n"));
  for (std::size_t Next = 0; Next < 3; ++Next) {
    BOOST_REQUIRE(World.until([&] { return Held.size() == Next + 1; }));
    World.Reactor.run_for(150ms);
    BOOST_TEST(Held.size() == Next + 1);
    BOOST_TEST(Held[Next]->target() == "/" + std::to_string(Next + 1));
    Held[Next]->reply({200, {}, {}});
  }
}

// Guards against requests that exhaust the memory of the process.
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

// Guards against a process that ends because a request states a length beyond its memory, while the
// configuration in force sets no limit that a process could keep.
BOOST_AUTO_TEST_CASE(ARequestOfAnAbsurdLengthIsRefused) {
  Loopback World(echo);
  HttpServerLimits Limits;
  Limits.BodyBytes = std::numeric_limits<std::uint64_t>::max();
  World.Server->setLimits(Limits);
  Tcp::socket Socket(World.Reactor);
  Socket.connect(World.Server->address());
  asio::write(Socket, asio::buffer(std::string_view("POST / HTTP/1.1\r\nHost: a\r\n"
                                                    "Content-Length: 999999999999999\r\n\r\nx")));
  std::string Reply(64, ' ');
  bool IsRead = false;
  Socket.async_read_some(asio::buffer(Reply),
                         [&](boost::system::error_code, std::size_t) { IsRead = true; });
  BOOST_CHECK_NO_THROW(World.until([&] { return IsRead; }));
  BOOST_TEST(Reply.substr(9, 3) == "413");
}

namespace {

/// A server with low limits, and clients that each write a part of a request and stay.
struct Crowded : Loopback {
  explicit Crowded(HttpServer::Handler OnRequest) : Loopback(std::move(OnRequest)) {}

  Tcp::socket &connect(std::string_view Text) {
    auto &Socket = Sockets.emplace_back(Reactor);
    Socket.connect(Server->address());
    asio::write(Socket, asio::buffer(Text));
    Reactor.run_for(20ms);
    return Socket;
  }

  /// What the server has sent; empty if that is nothing.
  static std::string received(Tcp::socket &Socket) {
    std::string Text(256, ' ');
    boost::system::error_code Error;
    Socket.non_blocking(true);
    Text.resize(Socket.read_some(asio::buffer(Text), Error));
    return Text;
  }

  std::list<Tcp::socket> Sockets;
};

std::string partOfBody(std::size_t Bytes) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + std::string(Bytes, 'x');
}

} // namespace

// Guards against memory for slow clients that is taken from others, and against the loss of a
// request that was read completely.
BOOST_AUTO_TEST_CASE(WhoHoldsMostForLongestIsRefused) {
  std::vector<std::shared_ptr<HttpExchange>> Held;
  Crowded World([&](const std::shared_ptr<HttpExchange> &Exchange) { Held.push_back(Exchange); });
  HttpServerLimits Limits;
  Limits.MemoryBytes = 400000;
  World.Server->setLimits(Limits);
  auto &Whole = World.connect(partOfBody(200000));
  BOOST_REQUIRE(World.until([&] { return Held.size() == 1; }));
  auto &Slow = World.connect(partOfBody(40000));
  World.connect(partOfBody(5000));
  auto &Small = World.connect("GET /small HTTP/1.1\r\nHost: a\r\n\r\n");
  World.connect(partOfBody(40000));
  BOOST_TEST(World.received(Slow).starts_with("HTTP/1.1 503"));
  BOOST_TEST(World.Server->counters().ShedForMemory == 1U);
  BOOST_TEST(World.Server->memoryUsed() <= Limits.MemoryBytes);
  BOOST_REQUIRE(Held.size() == 2U);
  for (const auto &Each : Held)
    Each->reply({200, {}, {}});
  World.Reactor.run_for(20ms);
  BOOST_TEST(World.received(Whole).starts_with("HTTP/1.1 200"));
  BOOST_TEST(World.received(Small).starts_with("HTTP/1.1 200"));
}

// Guards against requests that are refused or cut off although they need no more memory than
// before, while the answers of others take up more than the limit.
BOOST_AUTO_TEST_CASE(WhoNeedsNoMoreMemoryIsServed) {
  std::vector<std::shared_ptr<HttpExchange>> Held;
  Crowded World([&](const std::shared_ptr<HttpExchange> &Exchange) { Held.push_back(Exchange); });
  World.connect(partOfBody(200000));
  BOOST_REQUIRE(World.until([&] { return Held.size() == 1; }));
  auto &Slow = World.connect(partOfBody(5000));
  for (int Part = 0; Part < 2; ++Part) {
    asio::write(Slow, asio::buffer(std::string(10, 'x')));
    World.Reactor.run_for(20ms);
    HttpServerLimits Limits;
    Limits.MemoryBytes = 100000;
    World.Server->setLimits(Limits);
  }
  BOOST_TEST(World.Server->connections() == 2U);
  BOOST_TEST(World.Server->memoryUsed() > 100000U);
  BOOST_TEST(Held[0]->replaceBody(150000));
  BOOST_TEST(!Held[0]->replaceBody(160000));
}

// Guards against clients that hold back their bodies until they are asked for them, and against a
// question that those of HTTP/1.0 do not understand.
BOOST_AUTO_TEST_CASE(ABodyThatIsHeldBackIsAskedFor) {
  constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  Crowded World(echo);
  std::string Rest = "\r\nHost: a\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n";
  auto &Socket = World.connect("POST / HTTP/1.1" + Rest);
  BOOST_TEST(World.received(Socket) == Continue);
  Socket.set_option(Tcp::no_delay(true));
  for (const char *Part : {"x", "x"}) {
    BOOST_TEST(World.received(Socket).empty());
    asio::write(Socket, asio::buffer(std::string_view(Part)));
    World.Reactor.run_for(20ms);
  }
  BOOST_TEST(World.received(Socket).starts_with("HTTP/1.1 200"));
  asio::write(Socket, asio::buffer("POST / HTTP/1.1" + Rest));
  World.Reactor.run_for(20ms);
  BOOST_TEST(World.received(Socket) == Continue);
  BOOST_TEST(
      World.received(World.connect("POST / HTTP/1.1" + Rest + "xx")).starts_with("HTTP/1.1 200"));
  BOOST_TEST(World.received(World.connect("POST / HTTP/1.0" + Rest)).empty());
}

// Guards against legal forms of a request that are refused, and against a body whose length is
// ambiguous.
BOOST_AUTO_TEST_CASE(UnusualRequestsAreServed) {
  for (const auto &[Text, Status] : {
           std::pair{"Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nxx\r\n0\r\nt: 1\r\n\r\n", "200"},
           std::pair{"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nx", "400"},
           std::pair{"Transfer-Encoding: chunked\r\n\r\nfffffffffffffff0\r\nx", "413"},
           std::pair{"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
           std::pair{"Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "400"},
           std::pair{"Content-Length: 18446744073709551616\r\n\r\n", "400"},
       }) {
    Crowded World([](const std::shared_ptr<HttpExchange> &Exchange) {
      BOOST_TEST(Exchange->body() == "xx");
      Exchange->reply({200, {}, {}});
    });
    auto &Socket = World.connect("POST / HTTP/1.1\r\nHost: a\r\n" + std::string(Text));
    BOOST_TEST(World.received(Socket).substr(9, 3) == Status);
    BOOST_TEST(World.until([&] { return World.Server->openRequests() == 0; }));
    Socket.close();
    BOOST_TEST(World.until([&] { return World.Server->connections() == 0; }));
    BOOST_TEST(World.Server->memoryUsed() == 0U);
  }
}

// Guards against clients in use that are closed in favour of a crowd that never sends a request.
BOOST_AUTO_TEST_CASE(SilentConnectionsDoNotReplaceServedOnes) {
  Crowded World(echo);
  HttpServerLimits Limits;
  Limits.Connections = 8;
  World.Server->setLimits(Limits);
  constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  auto &Served = World.connect(Request);
  BOOST_TEST(World.received(Served).starts_with("HTTP/1.1 200"));
  for (int Each = 0; Each < 30; ++Each)
    World.connect(Each % 2 == 0 ? "" : "GET / HT");
  BOOST_TEST(World.Server->connections() == 8U);
  asio::write(Served, asio::buffer(Request));
  World.Reactor.run_for(20ms);
  BOOST_TEST(World.received(Served).starts_with("HTTP/1.1 200"));
}

// Guards against a header without end that stays under its limit because it comes in parts.
BOOST_AUTO_TEST_CASE(AHeaderInPartsIsLimitedAsAWhole) {
  Crowded World(echo);
  auto &Socket = World.connect("GET / HTTP/1.1\r\n");
  for (int Part = 0; Part < 5; ++Part) {
    boost::system::error_code Ignored; // The server may have closed the connection.
    asio::write(Socket, asio::buffer("a: " + std::string(4000, 'x') + "\r\n"), Ignored);
    World.Reactor.run_for(20ms);
  }
  BOOST_TEST(World.received(Socket).starts_with("HTTP/1.1 431"));
}

// Guards against a body that is kept although its target takes none, or that is lost.
BOOST_AUTO_TEST_CASE(BodiesAreKeptWhereTheyAreTaken) {
  std::vector<std::pair<std::size_t, bool>> Seen;
  Crowded World([&](const std::shared_ptr<HttpExchange> &Exchange) {
    Seen.emplace_back(Exchange->body().size(), Exchange->isBodyDropped());
    Exchange->reply({200, {}, {}});
  });
  auto Text = partOfBody(200000);
  World.connect(Text);
  BOOST_REQUIRE(World.until([&] { return Seen.size() == 1; }));
  World.Server->setBodyFilter(
      [](const ReceivedRequest &Request) { return Request.target() != "/"; });
  World.connect(Text + Text);
  BOOST_REQUIRE(World.until([&] { return Seen.size() == 3; }));
  BOOST_TEST((Seen[0] == std::pair<std::size_t, bool>(200000, false)));
  BOOST_TEST((Seen[1] == std::pair<std::size_t, bool>(0, true)));
  BOOST_TEST((Seen[2] == Seen[1]));
}

// Guards against a graceful shutdown that aborts a pending request or lets the client send another
// one on the same connection.
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

// Guards against a reply that uses up the memory of the process.
BOOST_AUTO_TEST_CASE(AReplyThatIsTooLongIsDropped) {
  constexpr std::size_t TooLong = 20U << 20;
  Loopback World([](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->reply({200, std::string(TooLong, 'x'), {}});
  });
  World.call("/");
  BOOST_REQUIRE(World.until([&] { return !World.Results.empty(); }));
  BOOST_TEST(!World.Results[0].Reply);
}

// Guards against a process that ends because a reply states a length beyond its memory.
BOOST_AUTO_TEST_CASE(AReplyOfAnAbsurdLengthIsDropped) {
  asio::io_context Reactor;
  Tcp::acceptor Acceptor(Reactor, AnyPort);
  Tcp::socket Server(Reactor);
  Acceptor.async_accept(Server, [&](boost::system::error_code) {
    asio::write(Server, asio::buffer(std::string_view(
                            "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\nx")));
  });
  auto Client = std::make_shared<HttpClient>(Reactor, Acceptor.local_endpoint(), 1);
  std::optional<HttpResult> Result;
  Client->call({HttpMethod::Get, "/", {}, {}}, core::MonotonicClock::now() + 1s,
               [&](HttpResult Returned) { Result = std::move(Returned); });
  BOOST_CHECK_NO_THROW(Reactor.run_for(1500ms));
  BOOST_REQUIRE(Result.has_value());
  BOOST_TEST(!Result->Reply);
}

namespace {

/// Sends the head of a reply of BodyBytes bytes and then one part of the body per interval, as over
/// a slow or full link.
class SlowServer {
public:
  static constexpr std::size_t BodyBytes = 20000;
  static constexpr std::size_t PartBytes = 2000;

  /// PartsSent is the number of parts after which nothing more is sent.
  SlowServer(asio::io_context &Reactor, core::Duration PartInterval, std::size_t PartsSent)
      : Acceptor_(Reactor, AnyPort), Socket_(Reactor), Timer_(Reactor), PartInterval_(PartInterval),
        PartsLeft_(PartsSent) {
    Acceptor_.async_accept(Socket_, [this](boost::system::error_code Error) {
      if (!Error)
        send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n");
    });
  }

  Tcp::endpoint address() const { return Acceptor_.local_endpoint(); }

private:
  void send(const std::string &Part) {
    boost::system::error_code Ignored; // The client may have closed the connection.
    asio::write(Socket_, asio::buffer(Part), Ignored);
    if (PartsLeft_ == 0)
      return;
    --PartsLeft_;
    Timer_.expires_after(PartInterval_);
    Timer_.async_wait([this](boost::system::error_code) { send(std::string(PartBytes, 'x')); });
  }

  Tcp::acceptor Acceptor_;
  Tcp::socket Socket_;
  asio::steady_timer Timer_;
  core::Duration PartInterval_;
  std::size_t PartsLeft_;
};

/// Calls the server and returns the result, and how long it took.
std::pair<HttpResult, core::Duration> callSlowServer(core::Duration PartInterval,
                                                     std::size_t PartsSent, core::Duration Begin,
                                                     core::Duration End) {
  asio::io_context Reactor;
  SlowServer Server(Reactor, PartInterval, PartsSent);
  auto Client = std::make_shared<HttpClient>(Reactor, Server.address(), 1);
  auto CalledAt = core::MonotonicClock::now();
  std::optional<HttpResult> Result;
  Client->call({HttpMethod::Get, "/", {}, {}}, CallDeadline(CalledAt + Begin, CalledAt + End),
               [&](HttpResult Returned) { Result = std::move(Returned); });
  auto GiveUpAt = std::chrono::steady_clock::now() + 10s;
  while (!Result && std::chrono::steady_clock::now() < GiveUpAt)
    Reactor.run_one_for(10ms);
  BOOST_REQUIRE(Result.has_value());
  return {std::move(*Result), core::MonotonicClock::now() - CalledAt};
}

} // namespace

// Guards against a large reply that is dropped while it still arrives, and requested again from its
// beginning, without end, when the link is full of other data.
BOOST_AUTO_TEST_CASE(AReplyThatStillArrivesIsNotDropped) {
  auto [Result, Taken] =
      callSlowServer(50ms, SlowServer::BodyBytes / SlowServer::PartBytes, 200ms, 5s);
  BOOST_REQUIRE(Result.Reply.has_value());
  BOOST_TEST(Result.Reply->Body.size() == SlowServer::BodyBytes);
  BOOST_TEST((Taken > 200ms));
}

// Guards against a call that waits until its last deadline for a server that has gone silent in the
// middle of its reply.
BOOST_AUTO_TEST_CASE(AReplyThatStopsArrivingIsDroppedSoon) {
  auto [Result, Taken] = callSlowServer(50ms, 2, 200ms, 5s);
  BOOST_TEST(!Result.Reply);
  BOOST_TEST((Result.Failure == HttpFailure::NoReply));
  BOOST_TEST((Taken < 2s));
}

// Guards against a server that occupies a connection for ever with a reply that never ends.
BOOST_AUTO_TEST_CASE(AReplyThatArrivesTooSlowlyIsDroppedAtTheLastDeadline) {
  auto [Result, Taken] =
      callSlowServer(100ms, SlowServer::BodyBytes / SlowServer::PartBytes, 200ms, 400ms);
  BOOST_TEST(!Result.Reply);
  BOOST_TEST((Taken < 800ms));
}
