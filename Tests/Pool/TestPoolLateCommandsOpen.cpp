#include "Tests/Pool/ManagerFixture.h"
#include "Tests/Pool/RandomFaults.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;
using cornellift::test::entry;
using cornellift::test::ManagerFixture;

namespace {

constexpr EndpointIndex First{0};

/// Answers polls: the silent worker's stay unanswered, all others report nothing.
void answerIdle(ManagerFixture &Fixture, std::optional<EndpointIndex> Silent = std::nullopt) {
  for (const auto &[Worker, Poll] : std::exchange(Fixture.Out.Polls, {})) {
    PollReply Idle{CommandVerdict::Accepted, WorkerReport()};
    Idle.Report->ClockMilliseconds = ManagerFixture::workerClock(Fixture.Now);
    Idle.Report->StartedMilliseconds = Fixture.Incarnation;
    Fixture.Manager.pollReplied(Worker, Poll, Worker == Silent ? PollReply{} : Idle, Fixture.Now);
  }
}

} // namespace

// Known to fail, see KNOWN-RED.txt. Guards against a task that runs twice: the lease of its run had
// ended, it was started elsewhere, and a command without a reply was executed by the next
// incarnation of the first worker.
BOOST_AUTO_TEST_CASE(ALateStartOfARunThatHasLapsedRunsNoTaskTwice) {
  for (std::uint64_t Seed : {35, 36, 38, 58, 71, 74, 204, 239}) {
    auto Found = test::playRestartsBesideLateCommands(Seed);
    BOOST_CHECK_MESSAGE(Found.empty(),
                        "seed " << Seed << ": " << (Found.empty() ? "" : Found.front()));
  }
}

// Known to fail, see KNOWN-RED.txt. Guards against a task that runs twice: a start without a reply
// was executed by the next incarnation of its worker, after its manager had been killed or its job
// had been given up, and the caller had sent the job again.
BOOST_AUTO_TEST_CASE(ALateStartOfAnEarlierAttemptRunsNoTaskTwice) {
  for (std::uint64_t Seed : {141, 801}) {
    auto Found = test::playRandomFaults(Seed);
    BOOST_CHECK_MESSAGE(Found.empty(),
                        "seed " << Seed << ": " << (Found.empty() ? "" : Found.front()));
  }
}

// Known to fail, see KNOWN-RED.txt. Guards against a task that starts elsewhere while a command
// without a reply may still be executed: another command of the run was executed, and it failed.
BOOST_AUTO_TEST_CASE(ARunThatHasFailedStaysOnItsWorkerToo) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 500, 8s);
  auto Command = Fixture.Out.Starts.front().second;
  auto Other = entry("w-1");
  Other.Capacity = {2, 1000, 0}; // Fits exactly, and is preferred.
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), Other}, Fixture.Now);
  auto KeepFirst = [&] {
    auto Open = std::exchange(Fixture.Out.Polls, {});
    for (const auto &[Worker, Poll] : Open) {
      if (Worker == First) {
        Fixture.Out.Polls.emplace_back(Worker, Poll);
        continue;
      }
      PollReply Idle{CommandVerdict::Accepted, WorkerReport()};
      Idle.Report->ClockMilliseconds = ManagerFixture::workerClock(Fixture.Now);
      Idle.Report->StartedMilliseconds = Fixture.Incarnation;
      Fixture.Manager.pollReplied(Worker, Poll, Idle, Fixture.Now);
    }
  };
  KeepFirst();
  KeepFirst();
  Fixture.pass(26ms);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 2U);
  Fixture.Manager.startReplied(First, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
  for (const auto &[Worker, Poll] : std::exchange(Fixture.Out.Polls, {})) {
    PollReply Reply{CommandVerdict::Accepted, WorkerReport()};
    Reply.Report->ClockMilliseconds = ManagerFixture::workerClock(Fixture.Now);
    Reply.Report->StartedMilliseconds = Fixture.Incarnation;
    if (Worker == First)
      Reply.Report->Ended = {{1, Command.Task, Command.Run, RunEnd::Failed}};
    Fixture.Manager.pollReplied(Worker, Poll, Reply, Fixture.Now);
  }
  for (int Tick = 0; Tick < 20; ++Tick) {
    answerIdle(Fixture);
    Fixture.pass(10ms);
  }
  for (const auto &[Worker, Copy] : Fixture.Out.Starts)
    BOOST_TEST((Worker == First), "run " << Copy.Run << " started on another worker");
}

// Known to fail, see KNOWN-RED.txt. The same for a worker that is dark for longer than the store
// keeps its entry, and may return under its id.
BOOST_AUTO_TEST_CASE(AWorkerThatIsNoLongerListedMayReturnUnderItsId) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 20000, 60s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto SentAt = Fixture.Now;
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  while (Fixture.Out.Starts.back().first == First && Fixture.Now < SentAt + 30s) {
    if (Fixture.Now - SentAt >= 4500ms && Fixture.Now - SentAt < 4510ms)
      Fixture.Manager.setWorkers(std::vector{entry("w-1")}, Fixture.Now);
    answerIdle(Fixture, First);
    Fixture.pass(10ms);
  }
  BOOST_TEST((Fixture.Now - SentAt >= CommandLifetime),
             "started elsewhere after " << core::toMilliseconds(Fixture.Now - SentAt) << " ms");
}
