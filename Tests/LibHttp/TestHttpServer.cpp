#include "Libraries/LibHttp/HttpServer.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace cornellift;

namespace {

/// Plain TCP connection over which a test sends arbitrary bytes.
class RawConnection {
public:
  explicit RawConnection(int Port) : Socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(::connect(Socket_, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0);
  }
  RawConnection(RawConnection &&Other) noexcept : Socket_(std::exchange(Other.Socket_, -1)) {}
  ~RawConnection() {
    if (Socket_ >= 0)
      ::close(Socket_);
  }

  void send(const std::string &Text) { ::send(Socket_, Text.data(), Text.size(), MSG_NOSIGNAL); }

  std::string readToEnd() {
    std::string Text;
    char Part[4096];
    for (ssize_t Count = 0; (Count = ::recv(Socket_, Part, sizeof(Part), 0)) > 0;)
      Text.append(Part, static_cast<std::size_t>(Count));
    return Text;
  }

private:
  int Socket_;
};

void addEcho(http::HttpServer &Server) {
  Server.route("POST", "/", [](const auto &Request, auto &Response) {
    Response.set_content(Request.body, "text/plain");
  });
}

} // namespace

// Guards against idle connections that occupy all threads and lock out new callers. The idle time
// of an hour rules out that they are closed for that reason.
BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosedForNewOnes) {
  http::ServerLimits Limits;
  Limits.Connections = 4;
  Limits.IdleTime = std::chrono::hours(1);
  http::HttpServer Server(Limits);
  addEcho(Server);
  BOOST_REQUIRE(Server.start("127.0.0.1", 0));
  std::vector<RawConnection> Idle;
  Idle.reserve(20);
  for (int Count = 0; Count < 20; ++Count)
    Idle.emplace_back(Server.port());
  httplib::Client Client("127.0.0.1", Server.port());
  auto Answer = Client.Post("/", "text", "text/plain");
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->body == "text");
  Server.stop();
}

// Guards against a slow sender that occupies a thread without limit, and against parsing the rest
// of its body as another request.
BOOST_AUTO_TEST_CASE(SlowRequestTimesOut) {
  http::ServerLimits Limits;
  Limits.TransferTime = std::chrono::milliseconds(200);
  Limits.IdleTime = std::chrono::hours(1);
  http::HttpServer Server(Limits);
  addEcho(Server);
  BOOST_REQUIRE(Server.start("127.0.0.1", 0));
  RawConnection Slow(Server.port());
  Slow.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  Slow.readToEnd(); // Returns when the server closes.
  Server.stop();
}

// Guards against chunked and compressed bodies that bypass the size limit, and against parsing the
// rest of such a body as another request.
BOOST_AUTO_TEST_CASE(BodiesWithoutPlainLengthAreRefused) {
  http::HttpServer Server;
  addEcho(Server);
  Server.setErrorBody([](int Status) { return "error " + std::to_string(Status); });
  BOOST_REQUIRE(Server.start("127.0.0.1", 0));
  for (const char *Header : {"Transfer-Encoding: chunked", "Content-Encoding: gzip"}) {
    RawConnection Connection(Server.port());
    Connection.send(std::string("POST / HTTP/1.1\r\n") + Header +
                    "\r\n\r\n3\r\nabc\r\n0\r\n\r\nPOST / HTTP/1.1\r\n\r\n");
    auto Answer = Connection.readToEnd();
    BOOST_TEST(Answer.starts_with("HTTP/1.1 411"));
    BOOST_TEST(Answer.find("HTTP/1.1", 1) == std::string::npos);
  }
  Server.stop();
}

namespace {

/// Opens Count connections one right after the other, sends a request on each 20 ms later, and
/// returns how many are answered.
int countAnsweredConnections(int Count, http::ServerLimits Limits) {
  Limits.IdleTime = std::chrono::hours(1);
  http::HttpServer Server(Limits);
  addEcho(Server);
  BOOST_REQUIRE(Server.start("127.0.0.1", 0));
  std::vector<RawConnection> NewConnections;
  NewConnections.reserve(static_cast<std::size_t>(Count));
  for (int Each = 0; Each < Count; ++Each)
    NewConnections.emplace_back(Server.port());
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  int Answered = 0;
  for (auto &Connection : NewConnections) {
    Connection.send("POST / HTTP/1.1\r\nContent-Length: 4\r\nConnection: close\r\n\r\ntext");
    Answered += Connection.readToEnd().ends_with("text") ? 1 : 0;
  }
  Server.stop();
  return Answered;
}

} // namespace

// Guards against closing a connection before its first request although threads are free: a thread
// that was just being started was not counted, so another new connection was closed as idle.
BOOST_AUTO_TEST_CASE(NewConnectionsAreKeptWhileThreadsAreFree) {
  for (int Round = 0; Round < 20; ++Round)
    BOOST_TEST(countAnsweredConnections(64, {}) == 64);
}

// Guards against closing a connection in favour of another one before its first request can
// arrive.
BOOST_AUTO_TEST_CASE(NewConnectionsAreKeptForTheMinimumIdleTime) {
  http::ServerLimits Limits;
  Limits.Connections = 2;
  BOOST_TEST(countAnsweredConnections(3, Limits) == 3);
}
