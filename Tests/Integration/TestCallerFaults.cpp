#include "Tests/Integration/Deployment.h"

#include <fstream>
#include <future>
#include <vector>

#include <boost/test/unit_test.hpp>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cornellift::integration;

namespace {

constexpr int IdleSeconds = 5;                      // After which idle connections are closed.
constexpr std::uint64_t MemoryBoundMegabytes = 128; // An idle process takes 24 MB.

/// Open connections that send nothing.
class IdleConnections {
public:
  IdleConnections(std::uint16_t Port, unsigned Count) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Port);
    for (unsigned Number = 0; Number < Count; ++Number) {
      Sockets_.push_back(socket(AF_INET, SOCK_STREAM, 0));
      BOOST_REQUIRE(
          connect(Sockets_.back(), reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0);
    }
  }
  ~IdleConnections() {
    for (int Socket : Sockets_)
      close(Socket);
  }
  IdleConnections(const IdleConnections &) = delete;
  IdleConnections &operator=(const IdleConnections &) = delete;

  bool areAllClosedByServer() const {
    for (int Socket : Sockets_) {
      pollfd Query{Socket, POLLIN, 0};
      if (poll(&Query, 1, 0) != 1)
        return false;
    }
    return true;
  }

private:
  std::vector<int> Sockets_;
};

std::uint64_t residentMegabytes(pid_t Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/statm");
  std::uint64_t Size = 0;
  std::uint64_t Resident = 0;
  File >> Size >> Resident;
  return Resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) >> 20;
}

} // namespace

// Guards against idle connections that block other callers or make memory grow. The test opens more
// of them than the 512 connections that a process serves at once.
BOOST_AUTO_TEST_CASE(FloodOfIdleConnectionsShutsNobodyOut) {
  Deployment Running("idle-flood", {{"ikeja"}, 2, 2});
  IdleConnections Flood(Running.httpPort("ikeja-1"), 700);
  // Idle connections are closed one by one, so the first calls may be rejected as not run.
  BOOST_CHECK(waitUntil(
      [&] {
        auto Reply = Running.call("ikeja-1", "POST", "/v1/sessions");
        BOOST_CHECK_MESSAGE(Reply.Status == 200 || Reply.Body.value("outcome", "") == "not_run",
                            Reply.Status << ' ' << Reply.Body.dump());
        return Reply.Status == 200;
      },
      IdleSeconds));
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 20, 50);
  auto Answer = Running.submit("ikeja-1", Job);
  BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
  checkAnswer(Running, Job, Answer);
  BOOST_CHECK_LT(residentMegabytes(Running.entry("ikeja-1").id()), MemoryBoundMegabytes);
  BOOST_CHECK(waitUntil([&] { return Flood.areAllClosedByServer(); }));
  Running.checkGuarantees();
}

// Guards against an answer that is lost, or a job that runs again, when the caller's connection
// goes silent and the caller resubmits the job to the same VM and to another one.
BOOST_AUTO_TEST_CASE(SilentCallerConnectionLosesNoAnswer) {
  Deployment Running("silent-caller", {{"ikeja"}, 2, 2});
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 24, 200);
  auto First = std::async(std::launch::async, [&] { return Running.submit("ikeja-1", Job, 5); });
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Job["id"]) > 3; }));
  Running.controlLink("caller-ikeja-1", "open", {{"action", "silence"}});
  for (const char *Vm : {"ikeja-1", "ikeja-2", "ikeja-1"}) {
    auto Answer = Running.submit(Vm, Job);
    BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
    checkAnswer(Running, Job, Answer);
  }
  BOOST_CHECK_EQUAL(First.get().Status, 0);
  BOOST_CHECK_EQUAL(Running.startsOfJob(Job["id"]), 24);
  Running.checkGuarantees();
}
