#include "Libraries/LibEndpoint/EndpointProtocol.h"
#include "Libraries/LibEndpoint/HttpEndpointMessages.h"
#include "Services/EndpointStandIn/StandInApi.h"

#include <atomic>
#include <functional>
#include <thread>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace cornellift;
using namespace cornellift::endpoint;

namespace {

/// Accepts connections one at a time and runs a script on each.
class ScriptedServer {
public:
  explicit ScriptedServer(std::function<void(int Socket, int Number)> Script) {
    Listening_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    BOOST_REQUIRE(::bind(Listening_, reinterpret_cast<sockaddr *>(&Address), Length) == 0);
    BOOST_REQUIRE(::listen(Listening_, 8) == 0);
    ::getsockname(Listening_, reinterpret_cast<sockaddr *>(&Address), &Length);
    Port = ntohs(Address.sin_port);
    Thread_ = std::thread([this, Script = std::move(Script)] {
      for (int Socket = 0; (Socket = ::accept(Listening_, nullptr, nullptr)) >= 0; ::close(Socket))
        Script(Socket, ++Connections);
    });
  }

  ~ScriptedServer() {
    ::shutdown(Listening_, SHUT_RDWR);
    Thread_.join();
    ::close(Listening_);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

  int Port = 0;
  std::atomic<int> Connections{0};

private:
  int Listening_ = -1;
  std::thread Thread_;
};

/// Reads a whole start request, whose body ends in "}". Returns false at the end of the stream.
bool readStart(int Socket) {
  std::string Text;
  char Part[4096];
  while (Text.empty() || Text.back() != '}') {
    auto Count = ::recv(Socket, Part, sizeof(Part), 0);
    if (Count <= 0)
      return false;
    Text.append(Part, static_cast<std::size_t>(Count));
  }
  return true;
}

void sendAnswer(int Socket, const std::string &Body) {
  auto Text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
}

std::string finishedAnswer(const std::string &Task) {
  return R"({"task":")" + Task + R"(","boot":"b","state":"finished","result":"ok"})";
}

core::TimePoint testDeadline() { return core::MonotonicClock::now() + std::chrono::seconds(20); }

std::unique_ptr<EndpointProtocol> connectTo(const std::string &Address) {
  auto Connection = connectEndpoint("http", Address);
  BOOST_REQUIRE(Connection);
  return std::move(*Connection);
}

StartRequest makeStart(const std::string &Task, std::string_view Payload = "{}") {
  StartRequest Request;
  Request.Task = Task;
  Request.Boot = "b";
  Request.Payload = Payload;
  return Request;
}

template <typename T> bool isAnswer(const StartAnswer &Answer) {
  return std::holds_alternative<T>(Answer);
}

} // namespace

// Guards against a retry of a start that the endpoint may have read.
BOOST_AUTO_TEST_CASE(LostAnswerIsUncertainAndSentOnce) {
  ScriptedServer Server([](int Socket, int) { readStart(Socket); });
  auto Connection = connectTo(Server.address());
  BOOST_TEST(isAnswer<Uncertain>(Connection->start(makeStart("v.1.1.0"), testDeadline())));
  BOOST_TEST(Server.Connections == 1);
}

// Guards against treating a start as possibly received although the connect was refused.
BOOST_AUTO_TEST_CASE(RefusedConnectIsNeverWritten) {
  int Port = 0;
  {
    ScriptedServer Server([](int, int) {});
    Port = Server.Port;
  }
  auto Connection = connectTo("127.0.0.1:" + std::to_string(Port));
  BOOST_TEST(isAnswer<NeverWritten>(Connection->start(makeStart("v.1.1.0"), testDeadline())));
}

// Guards against a start that is sent twice after the endpoint has closed a keep-alive connection:
// the next start must use a new connection and be sent once.
BOOST_AUTO_TEST_CASE(ClosedKeepAliveConnectionIsReplaced) {
  std::atomic<int> Starts{0};
  ScriptedServer Server([&](int Socket, int Number) {
    if (readStart(Socket))
      sendAnswer(Socket, finishedAnswer("v.1.1." + std::to_string(Number - 1)));
    ++Starts;
  });
  auto Connection = connectTo(Server.address());
  BOOST_TEST(isAnswer<Ended>(Connection->start(makeStart("v.1.1.0"), testDeadline())));
  while (Starts < 1)
    std::this_thread::yield();
  std::this_thread::sleep_for(std::chrono::milliseconds(50)); // Let the FIN arrive.
  BOOST_TEST(isAnswer<Ended>(Connection->start(makeStart("v.1.1.1"), testDeadline())));
  BOOST_TEST(Server.Connections == 2);
}

// Guards against a start that the endpoint read on a keep-alive connection and that is sent again
// on a new one because its answer was lost.
BOOST_AUTO_TEST_CASE(LostAnswerOnKeepAliveConnectionIsNotRetried) {
  ScriptedServer Server([](int Socket, int) {
    if (readStart(Socket))
      sendAnswer(Socket, finishedAnswer("v.1.1.0"));
    readStart(Socket);
  });
  auto Connection = connectTo(Server.address());
  BOOST_TEST(isAnswer<Ended>(Connection->start(makeStart("v.1.1.0"), testDeadline())));
  BOOST_TEST(isAnswer<Uncertain>(Connection->start(makeStart("v.1.1.1"), testDeadline())));
  BOOST_TEST(Server.Connections == 1);
}

// Guards against accepting an answer for another task or from a restarted endpoint, or a truncated
// one.
BOOST_AUTO_TEST_CASE(MismatchedAndTruncatedAnswersAreUncertain) {
  for (const std::string &Body :
       {finishedAnswer("v.1.1.7"),
        std::string(R"({"task":"v.1.1.0","boot":"c","state":"finished",)"
                    R"("result":"ok"})"),
        std::string(R"({"task":"v.1.1.0","boot":"b","state":"finished"})"),
        std::string(R"({"task":"v.1.1.0","boot":"b","state":"refused","cause":"already_started"})"),
        std::string(R"({"task":"v.1.1.0","boot":"b","state":"fini)"), std::string("[]")}) {
    BOOST_TEST_CONTEXT(Body) {
      ScriptedServer Server([&](int Socket, int) {
        if (readStart(Socket))
          sendAnswer(Socket, Body);
      });
      BOOST_TEST(isAnswer<Uncertain>(
          connectTo(Server.address())->start(makeStart("v.1.1.0"), testDeadline())));
    }
  }
}

// Guards against a fence that is accepted from an endpoint that restarted after the start was sent.
BOOST_AUTO_TEST_CASE(FenceHoldsInTheSameRunOnly) {
  auto Body = R"({"task":"v.1.1.0","boot":"b","state":"not_started"})";
  auto Same = detail::parseTaskAnswer(Body, "v.1.1.0", "b");
  BOOST_TEST((Same && std::holds_alternative<NotStartedAndFenced>(*Same)));
  for (const char *Boot : {"c", ""}) {
    auto Other = detail::parseTaskAnswer(Body, "v.1.1.0", Boot);
    BOOST_TEST((Other && std::holds_alternative<NoRecord>(*Other)));
  }
}

// Guards against a stand-in that runs a task twice or loses a fence, on which other tests rely, and
// against truncated results.
BOOST_AUTO_TEST_CASE(StandInFollowsTheProtocol) {
  standin::StandInLog Log("");
  standin::StandInApi StandIn({"w1", 1, 1, {}}, 8, Log);
  BOOST_REQUIRE(StandIn.start("127.0.0.1", 0));
  auto Connection = connectTo("127.0.0.1:" + std::to_string(StandIn.port()));
  auto Status = Connection->status(testDeadline());
  BOOST_REQUIRE(Status);
  BOOST_TEST(Status->Offered.TaskFence);
  auto Start = makeStart("v.1.1.0", R"({"result_bytes":1000000})");
  Start.Boot = Status->Boot;
  auto First = Connection->start(Start, testDeadline());
  BOOST_REQUIRE(isAnswer<Ended>(First));
  BOOST_TEST(std::get<Ended>(First).Result->size() == 1000000);
  BOOST_TEST(isAnswer<Uncertain>(Connection->start(Start, testDeadline())));
  auto Fenced = Connection->fence("v.1.1.1", 2, Status->Boot, testDeadline());
  BOOST_TEST((Fenced && std::holds_alternative<NotStartedAndFenced>(*Fenced)));
  Start.Task = "v.1.1.1";
  Start.Attempt = 2;
  auto Refusal = Connection->start(Start, testDeadline());
  BOOST_REQUIRE(isAnswer<Refused>(Refusal));
  BOOST_TEST((std::get<Refused>(Refusal).Cause == kernel::StartRefusal::Fenced));
  Start.Attempt = 3;
  BOOST_TEST(isAnswer<Ended>(Connection->start(Start, testDeadline())));
  auto Records = Connection->jobRecords("v.1.1", testDeadline());
  BOOST_TEST((Records && Records->Tasks.size() == 2));
  StandIn.stop();
}
