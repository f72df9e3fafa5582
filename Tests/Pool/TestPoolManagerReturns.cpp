#include "Tests/Pool/ManagerFixture.h"

#include <algorithm>
#include <deque>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;
using cornellift::test::entry;
using cornellift::test::ManagerFixture;

// Guards against tasks that are started on a worker of the wrong kind: it had returned under its id
// as another kind, and its former entry was still in use.
BOOST_AUTO_TEST_CASE(AReturnedWorkerGetsTasksOnlyByItsNewEntry) {
  ManagerFixture Fixture;
  auto List = [&](const std::string &Label, std::int64_t Incarnation) {
    auto Entry = entry("w-0");
    Entry.Labels = {Label};
    Entry.StartedMilliseconds = Incarnation;
    Fixture.Manager.setWorkers(std::vector{Entry}, Fixture.Now);
  };
  List("a", 7);
  Fixture.answerPolls();
  Fixture.answerPolls();
  Fixture.RequiredLabel = "a";
  Fixture.submit(1, 50);
  BOOST_TEST(Fixture.Out.Starts.size() == 1U);
  Fixture.Incarnation = 8;
  Fixture.answerPolls(); // Shows that the worker has restarted.
  Fixture.answerPolls();
  Fixture.submit(1, 50);
  BOOST_TEST(Fixture.Out.Starts.size() == 1U);
  List("b", 8);
  Fixture.pass(10ms);
  BOOST_TEST(Fixture.Out.Starts.size() == 1U);
  List("a", 9); // Read before the worker's first report.
  Fixture.pass(10ms);
  BOOST_TEST(Fixture.Out.Starts.size() == 1U);
  Fixture.Incarnation = 9;
  Fixture.answerPolls();
  Fixture.answerPolls();
  Fixture.pass(10ms);
  BOOST_TEST(Fixture.Out.Starts.size() > 1U);
}

// Guards against a cancelled job that a late copy of its request starts again, and against a
// cancelling that reaches only one of the processes that await the job.
BOOST_AUTO_TEST_CASE(ACancelledJobStaysCancelled) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  constexpr PeerIndex Other{1};
  auto Key = Fixture.submit(2, 500);
  Fixture.submitAs(Key, 2, 500, 3s, Other);
  BOOST_TEST(Fixture.Out.Starts.size() == 2U);
  BOOST_TEST(Fixture.Manager.cancel(Key, Fixture.Now));
  BOOST_TEST(Fixture.Out.Stops.size() == 2U);
  auto Answers = Fixture.Out.answers();
  BOOST_REQUIRE(Answers.size() == 2U);
  for (const auto &Answer : Answers)
    BOOST_TEST((Answer.Verdict == JobVerdict::Cancelled));
  for (int Copy = 0; Copy < 2; ++Copy) { // While the runs are being stopped, and later.
    Fixture.submitAs(Key, 2, 500);
    BOOST_TEST((Fixture.Out.answers().back().Verdict == JobVerdict::Cancelled));
    Fixture.answerPolls();
    Fixture.pass(60s);
  }
  BOOST_TEST(Fixture.Out.answers().size() == 4U);
  BOOST_TEST(Fixture.Out.Starts.size() == 2U);
  BOOST_TEST(!Fixture.Manager.cancel(Key, Fixture.Now));
}

// Guards against a job that runs although it was cancelled before its request arrived.
BOOST_AUTO_TEST_CASE(AJobThatArrivesAfterItsCancellingDoesNotRun) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  constexpr JobKey Key{77};
  BOOST_TEST(!Fixture.Manager.cancel(Key, Fixture.Now));
  Fixture.submitAs(Key, 1, 50);
  BOOST_TEST(Fixture.Out.Starts.empty());
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  BOOST_TEST((Fixture.Out.answers().front().Verdict == JobVerdict::Cancelled));
}

// Guards against a task that runs twice at the same time. A worker had returned unnoticed and had
// taken a start that was meant for its former incarnation. Deadlines on that one's clock lie far
// ahead of the new one's, which grants the longest lease for them. A start without a reply may be
// executed until the end of its lifetime.
BOOST_AUTO_TEST_CASE(ARunThatANewIncarnationMayHaveStartsElsewhereWhenNoCommandCanArrive) {
  constexpr auto LeaseLimit = 1000ms;
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  auto SilentSince = Fixture.Now;
  // The worker is down meanwhile; the poll that waits at it gets no answer.
  Fixture.pass(300ms);
  BOOST_REQUIRE(Fixture.Out.Polls.size() == 1U);
  Fixture.submit(1, 20000, 60s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto Returned = Fixture.Out.Starts.front().first;
  auto LastSentAt = Fixture.Now;
  std::deque<std::pair<core::TimePoint, StartCommand>> TimedOut;
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  core::TimePoint LeaseEnd;
  std::deque<std::pair<core::TimePoint, PollCommand>> Unanswered;
  Unanswered.emplace_back(SilentSince + 450ms, Fixture.Out.Polls.front().second);
  Fixture.Out.Polls.erase(Fixture.Out.Polls.begin());
  std::size_t Seen = 0;
  auto HasMoved = [&] { return Fixture.Out.Starts.back().second.Run > 1; };
  while (!HasMoved() && Fixture.Now < SilentSince + 30s) {
    for (; Seen < Fixture.Out.Starts.size(); ++Seen) { // The start and its repetitions.
      LastSentAt = Fixture.Now;
      TimedOut.emplace_back(Fixture.Now + CommandTimeout, Fixture.Out.Starts[Seen].second);
      LeaseEnd = std::max(LeaseEnd, Fixture.Now + CommandTimeout + LeaseLimit);
    }
    for (const auto &[Worker, Poll] : std::exchange(Fixture.Out.Polls, {})) {
      if (Worker == Returned) {
        auto TimeoutAt =
            Fixture.Now + std::chrono::milliseconds(Poll.WaitMilliseconds) + PollReplyMargin;
        Unanswered.emplace_back(TimeoutAt, Poll);
        if (Poll.LeaseUntil)
          LeaseEnd = std::max(LeaseEnd, TimeoutAt + LeaseLimit);
        continue;
      }
      PollReply Idle{CommandVerdict::Accepted, WorkerReport()};
      Idle.Report->ClockMilliseconds = ManagerFixture::workerClock(Fixture.Now);
      Idle.Report->StartedMilliseconds = Fixture.Incarnation;
      Fixture.Manager.pollReplied(Worker, Poll, Idle, Fixture.Now);
    }
    Fixture.pass(10ms);
    while (!TimedOut.empty() && Fixture.Now >= TimedOut.front().first) {
      Fixture.Manager.startReplied(Returned, TimedOut.front().second, {}, Fixture.Now);
      TimedOut.pop_front();
    }
    while (!Unanswered.empty() && Fixture.Now >= Unanswered.front().first) {
      Fixture.Manager.pollReplied(Returned, Unanswered.front().second, {}, Fixture.Now);
      Unanswered.pop_front();
    }
  }
  BOOST_REQUIRE(HasMoved());
  BOOST_TEST((Fixture.Out.Starts.back().first != Returned));
  BOOST_TEST((Fixture.Now > LeaseEnd), "started elsewhere "
                                           << core::toMilliseconds(LeaseEnd - Fixture.Now)
                                           << " ms before the lease may have ended");
  BOOST_TEST((Fixture.Now - LastSentAt >= CommandLifetime - 10ms));
  BOOST_TEST((Fixture.Now - LastSentAt < CommandTimeout + CommandLifetime + 500ms));
}

// Guards against a task that runs twice at the same time: a worker had returned, and a start
// without a reply, meant for its former incarnation, was executed by the new one before its manager
// had claimed it. The run that it reports is the task's own one.
BOOST_AUTO_TEST_CASE(ARunThatANewIncarnationReportsIsKept) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 500, 8s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto Command = Fixture.Out.Starts.front().second;
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  Fixture.Incarnation = 8;
  for (int Poll = 0; Poll < 3; ++Poll) {
    Fixture.answerPolls({{Command.Task, Command.Run, 1}});
    Fixture.pass(10ms);
  }
  for (const auto &[Worker, Copy] : Fixture.Out.Starts)
    BOOST_TEST(Copy.Run == Command.Run);
  Fixture.answerPolls({}, {{1, Command.Task, Command.Run, RunEnd::Done}});
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  BOOST_TEST((Fixture.Out.answers().front().Verdict == JobVerdict::Completed));
}

// Guards against a task that starts elsewhere after a worker has returned, while a start without a
// reply may still be executed by a further incarnation: it is started again on the same worker.
BOOST_AUTO_TEST_CASE(AStartWithoutReplyIsRepeatedOnTheNextIncarnation) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 500, 8s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto [Worker, Command] = Fixture.Out.Starts.front();
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  Fixture.Incarnation = 8;
  for (int Poll = 0; Poll < 4; ++Poll) {
    Fixture.answerPolls();
    Fixture.pass(10ms);
  }
  BOOST_TEST(Fixture.Out.Starts.back().second.FencingToken > Command.FencingToken);
  for (const auto &[Receiver, Copy] : Fixture.Out.Starts) {
    BOOST_TEST((Receiver == Worker));
    BOOST_TEST(Copy.Run == Command.Run);
  }
}

// Guards against tasks that are started on a worker that no longer answers: polls that were
// replaced by others did not count as failed, so that it seemed to be sound as long as runs on it
// were overdue.
BOOST_AUTO_TEST_CASE(ASilentWorkerGetsNoMoreTasks) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 50, 8s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto [Silent, Command] = Fixture.Out.Starts.front();
  Fixture.Manager.startReplied(Silent, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
  for (int Tick = 0; Tick < 55; ++Tick) // 550 ms without an answer to a poll.
    Fixture.pass(10ms);
  Fixture.submit(1, 50, 8s);
  BOOST_TEST(Fixture.Out.Starts.size() == 1U);
  Fixture.answerPolls();
  Fixture.pass(10ms);
  BOOST_TEST(Fixture.Out.Starts.size() > 1U);
}

// Guards against a job that waits until its deadline for runs on a worker that no longer answers,
// although others are free: each unanswered poll counted as an extension of the lease. No run may
// start elsewhere before the last lease that can have arrived has ended.
BOOST_AUTO_TEST_CASE(RunsOfASilentWorkerStartElsewhereWhenItsLeaseHasEnded) {
  ManagerFixture Fixture;
  Fixture.list({"w-0", "w-1"});
  Fixture.submit(1, 500, 8s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto [Silent, Command] = Fixture.Out.Starts.front();
  Fixture.Manager.startReplied(Silent, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
  auto SilentSince = Fixture.Now;
  std::int64_t LeaseUntil = Command.StartBy;
  constexpr auto PollTimeout = 450ms;
  std::deque<std::pair<core::TimePoint, PollCommand>> Unanswered;
  while (Fixture.Out.Starts.size() == 1 && Fixture.Now < SilentSince + 5s) {
    for (const auto &[Worker, Poll] : std::exchange(Fixture.Out.Polls, {})) {
      if (Worker != Silent) {
        PollReply Idle{CommandVerdict::Accepted, WorkerReport()};
        Idle.Report->ClockMilliseconds = ManagerFixture::workerClock(Fixture.Now);
        Idle.Report->StartedMilliseconds = Fixture.Incarnation;
        Fixture.Manager.pollReplied(Worker, Poll, Idle, Fixture.Now);
        continue;
      }
      LeaseUntil = std::max(LeaseUntil, Poll.LeaseUntil.value_or(0));
      Unanswered.emplace_back(Fixture.Now + PollTimeout, Poll);
    }
    Fixture.pass(10ms);
    while (!Unanswered.empty() && Fixture.Now >= Unanswered.front().first) {
      Fixture.Manager.pollReplied(Silent, Unanswered.front().second, {}, Fixture.Now);
      Unanswered.pop_front();
    }
  }
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 2U);
  BOOST_TEST((Fixture.Out.Starts.back().first != Silent));
  BOOST_TEST(ManagerFixture::workerClock(Fixture.Now) > LeaseUntil);
  BOOST_TEST((Fixture.Now - SilentSince < 1500ms));
}
