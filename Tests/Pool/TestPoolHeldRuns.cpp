#include "Tests/Pool/ManagerFixture.h"

#include <algorithm>

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

/// The first command has no reply; all later ones are refused with this verdict.
void checkThatRefusedRunMoves(CommandVerdict Verdict) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 20000, 120s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto SentAt = Fixture.Now;
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  std::size_t Seen = 1;
  bool HasTimedOut = false;
  auto HasMoved = [&] {
    return Fixture.Out.Starts.back().first != First || Fixture.Out.Starts.back().second.Run > 1;
  };
  while (!HasMoved() && Fixture.Now < SentAt + 25s) {
    answerIdle(Fixture);
    Fixture.pass(10ms);
    if (!std::exchange(HasTimedOut, Fixture.Now >= SentAt + CommandTimeout) &&
        Fixture.Now >= SentAt + CommandTimeout)
      Fixture.Manager.startReplied(First, Fixture.Out.Starts.front().second, {}, Fixture.Now);
    for (; Seen < Fixture.Out.Starts.size() && !HasMoved(); ++Seen) {
      auto [Worker, Command] = Fixture.Out.Starts[Seen];
      Fixture.Manager.startReplied(Worker, Command, {Verdict, {}}, Fixture.Now);
    }
  }
  BOOST_TEST(HasMoved(), "still on its worker after " << core::toMilliseconds(Fixture.Now - SentAt)
                                                      << " ms and " << Seen << " starts");
}

} // namespace

// Guards against a task that stays for ever on a worker that refuses it, because one command had no
// reply: each further command began the wait anew.
BOOST_AUTO_TEST_CASE(ATaskLeavesAWorkerThatRefusesIt) {
  for (auto Verdict : {CommandVerdict::Unhealthy, CommandVerdict::NoCapacity,
                       CommandVerdict::TooLate, CommandVerdict::Outdated})
    checkThatRefusedRunMoves(Verdict);
}

// Guards against a job that is rejected as not run although its run had begun: its lease ended, and
// the worker began to drain.
BOOST_AUTO_TEST_CASE(AJobWhoseRunHasLapsedIsNotRejected) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 500, 3s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto Command = Fixture.Out.Starts.front().second;
  Fixture.pass(26ms); // The second copy.
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 2U);
  Fixture.Manager.startReplied(First, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
  Fixture.answerPolls({{Command.Task, Command.Run, 1}});
  Fixture.pass(200ms);
  Fixture.answerPolls({}, {{1, Command.Task, Command.Run, RunEnd::Lapsed}});
  auto Draining = entry("w-0");
  Draining.State = WorkerState::Draining;
  Fixture.Manager.setWorkers(std::vector{Draining}, Fixture.Now);
  while (Fixture.Out.answers().empty() && Fixture.Now < core::TimePoint(1h) + 30s) {
    Fixture.pass(10ms);
    answerIdle(Fixture);
  }
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  BOOST_TEST((Fixture.Out.answers().front().Verdict != JobVerdict::Rejected));
}

/// The delegating manager is lost and returns, while the worker of its former delegation is silent.
void checkSecondDelegation(std::uint32_t SecondRun) {
  constexpr PeerIndex Peer{1};
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  auto Submission = std::make_shared<JobSubmission>();
  Submission->Key = JobKey{5};
  Submission->Steps.resize(1);
  Submission->Steps[0].Count = 1;
  Submission->Steps[0].Need = {2, 10, 0};
  Submission->Steps[0].DeclaredMilliseconds = 20000;
  Submission->Policy.Route = "r";
  Submission->Policy.Service = "slips";
  Submission->Policy.MaximumAttempts = 2;
  Submission->Policy.Stretch = 1.5;
  Submission->Policy.TargetLatencyMilliseconds = 30;
  Submission->ReceivedAt = Fixture.Now;
  Submission->AnswerBy = Fixture.Now + 60s;
  Fixture.Manager.receive(Peer, DelegateTasks{Submission, {{0, 1}}}, Fixture.Now);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto Begin = Fixture.Now;
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  Fixture.pass(10ms);
  Fixture.Manager.peerLost(Peer, Fixture.Now, Fixture.Now);
  while (Fixture.Now < Begin + 1500ms) {
    answerIdle(Fixture, First);
    Fixture.pass(10ms);
  }
  Fixture.Out.Sent.clear();
  Fixture.Manager.receive(Peer, DelegateTasks{Submission, {{0, SecondRun}}}, Fixture.Now);
  BOOST_REQUIRE((Fixture.Out.Starts.back().first != First));
  auto [Second, Command] = Fixture.Out.Starts.back();
  Fixture.Manager.startReplied(Second, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
  while (Fixture.Now < Begin + 20s) {
    for (const auto &[Worker, Poll] : std::exchange(Fixture.Out.Polls, {})) {
      PollReply Reply{CommandVerdict::Accepted, WorkerReport()};
      Reply.Report->ClockMilliseconds = ManagerFixture::workerClock(Fixture.Now);
      Reply.Report->StartedMilliseconds = Fixture.Incarnation;
      Reply.Report->Running = {{Command.Task, Command.Run, 1}};
      Fixture.Manager.pollReplied(Worker, Poll, Worker == First ? PollReply{} : Reply, Fixture.Now);
    }
    Fixture.pass(10ms);
    for (const auto &[To, Message] : std::exchange(Fixture.Out.Sent, {}))
      if (const auto *Ended = std::get_if<DelegatedTaskEnded>(&Message))
        BOOST_TEST(false, "reported run " << Ended->Run << " as ended ("
                                          << static_cast<int>(Ended->How) << ") at "
                                          << core::toMilliseconds(Fixture.Now - Begin)
                                          << " ms, while it runs on the other worker");
  }
}

// Guards against a task that runs twice: the end of a run that a manager had delegated before it
// was lost was reported as the end of the run that it delegated afterwards.
BOOST_AUTO_TEST_CASE(TheEndOfAFormerDelegationIsNotThatOfTheNextOne) {
  checkSecondDelegation(1); // A new process counts anew.
  checkSecondDelegation(2); // After a broken link.
}
// Guards against a worker that is given up for two seconds because it refuses a command with the
// token of its former incarnation.
BOOST_AUTO_TEST_CASE(ARefusalOfAFormerTokenGivesUpNoWorker) {
  ManagerFixture Fixture;
  auto Entry = entry("w-0");
  Entry.StartedMilliseconds = 7;
  Fixture.Manager.setWorkers(std::vector{Entry}, Fixture.Now);
  Fixture.answerPolls();
  Fixture.answerPolls();
  Fixture.submit(1, 500, 8s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto Command = Fixture.Out.Starts.front().second;
  Fixture.Incarnation = 8;
  Fixture.answerPolls(); // The return.
  Fixture.answerPolls(); // The claim; the entry in the store is still the former one.
  BOOST_REQUIRE((Fixture.Manager.fleet().at(First).Lease == LeaseState::Held));
  BOOST_REQUIRE(Fixture.Manager.fleet().at(First).Token > Command.FencingToken);
  Fixture.Now += 5ms;
  Fixture.Manager.startReplied(First, Command, {CommandVerdict::Fenced, {}}, Fixture.Now);
  BOOST_TEST((Fixture.Manager.fleet().at(First).Lease == LeaseState::Held));
}

// Guards against a caller that comes again and waits until its deadline for a silent worker to stop
// the run of its first attempt.
BOOST_AUTO_TEST_CASE(AJobThatIsSentAgainDoesNotWaitForASilentWorker) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  auto Key = Fixture.submit(1, 500, 3s);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  Fixture.Manager.receive(SelfPeer, AbandonJob{Key}, Fixture.Now);
  auto Begin = Fixture.Now;
  auto Idle = [&](core::Duration Until, bool UntilProgress) {
    while (Fixture.Now < Begin + Until &&
           !(UntilProgress &&
             (Fixture.Out.Starts.back().first != First || !Fixture.Out.answers().empty()))) {
      answerIdle(Fixture, First);
      Fixture.pass(10ms);
    }
  };
  Idle(1300ms, false);
  Fixture.Out.Sent.clear();
  Fixture.submitAs(Key, 1, 500, 3s);
  Idle(30s, true);
  BOOST_TEST((Fixture.Now <= Begin + 1300ms + 3s),
             "no start elsewhere and no answer until "
                 << core::toMilliseconds(Fixture.Now - Begin) << " ms; verdict "
                 << (Fixture.Out.answers().empty()
                         ? -1
                         : static_cast<int>(Fixture.Out.answers().back().Verdict)));
}

// Guards against a wrong speed of a worker: the run time of a run that a new incarnation has taken
// was counted on the former clock.
BOOST_AUTO_TEST_CASE(ARunThatANewIncarnationHasTakenTeachesNoWrongSpeed) {
  constexpr PeerIndex Peer{1};
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.Manager.setManager(Peer, true, Fixture.Now);
  for (int Round = 0; Round < 3; ++Round) {
    Fixture.Out.Starts.clear();
    Fixture.submit(1, 500, 8s);
    BOOST_REQUIRE(!Fixture.Out.Starts.empty());
    auto Command = Fixture.Out.Starts.back().second;
    ++Fixture.Incarnation;
    auto Report = [&](std::int64_t Clock, const std::vector<RunningTask> &Running,
                      const std::vector<EndedTask> &Ended) {
      for (const auto &[Worker, Poll] : std::exchange(Fixture.Out.Polls, {})) {
        PollReply Reply{CommandVerdict::Accepted, WorkerReport()};
        Reply.Report->ClockMilliseconds = Clock;
        Reply.Report->StartedMilliseconds = Fixture.Incarnation;
        Reply.Report->Running = Running;
        Reply.Report->Ended = Ended;
        Fixture.Manager.pollReplied(Worker, Poll, Reply, Fixture.Now);
      }
    };
    Report(100, {{Command.Task, Command.Run, 1}}, {});
    Report(101, {{Command.Task, Command.Run, 1}}, {});
    Fixture.Now += 500ms;
    Report(601, {}, {{1, Command.Task, Command.Run, RunEnd::Done}});
    Fixture.pass(50ms);
    Report(651, {}, {});
  }
  double Fastest = 0;
  for (const auto &[To, Message] : Fixture.Out.Sent)
    if (const auto *Reported = std::get_if<PoolReport>(&Message))
      for (const auto &Change : Reported->Changes)
        Fastest = std::max(Fastest, Change.Availability.Speed);
  BOOST_TEST(Fastest < 1.5);
}

// Guards against a planned stop that waits for a silent worker.
BOOST_AUTO_TEST_CASE(AStopReleasesASilentWorker) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 20000, 60s);
  auto Begin = Fixture.Now;
  Fixture.pass(10ms);
  Fixture.Manager.setWorkers({}, Fixture.Now);
  while (Fixture.Manager.fleet().at(First).Lease != LeaseState::Absent &&
         Fixture.Now < Begin + 20s) {
    answerIdle(Fixture, First);
    Fixture.pass(10ms);
  }
  BOOST_TEST((Fixture.Now - Begin < 1500ms));
}

// Guards against a job that is rejected as not run although its run was at work on the former
// incarnation of a worker; the new one drains before it takes the new start.
BOOST_AUTO_TEST_CASE(AJobWhoseRunWasAtWorkBeforeARestartIsNotRejected) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 500, 3s);
  auto Command = Fixture.Out.Starts.front().second;
  Fixture.pass(26ms);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 2U);
  Fixture.Manager.startReplied(First, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
  Fixture.answerPolls({{Command.Task, Command.Run, 1}});
  Fixture.pass(200ms);
  Fixture.Incarnation = 8;
  Fixture.answerPolls();
  Fixture.answerPolls();
  auto Draining = entry("w-0");
  Draining.State = WorkerState::Draining;
  Fixture.Manager.setWorkers(std::vector{Draining}, Fixture.Now);
  while (Fixture.Out.answers().empty() && Fixture.Now < core::TimePoint(1h) + 30s) {
    Fixture.pass(10ms);
    answerIdle(Fixture);
  }
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  BOOST_TEST((Fixture.Out.answers().front().Verdict != JobVerdict::Rejected));
}

// Guards against a task that waits although each of its commands was refused.
BOOST_AUTO_TEST_CASE(ATaskWhoseCommandsAreAllRefusedStartsElsewhere) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 500, 8s);
  auto Command = Fixture.Out.Starts.front().second;
  Fixture.pass(26ms);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 2U);
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  std::size_t Answered = 0; // All copies are refused: nothing can be executed later.
  for (int Tick = 0; Tick < 20; ++Tick) {
    for (; Answered < Fixture.Out.Starts.size(); ++Answered) {
      auto [Worker, Copy] = Fixture.Out.Starts[Answered];
      if (Copy.Run == Command.Run)
        Fixture.Manager.startReplied(Worker, Copy, {CommandVerdict::Unhealthy, {}}, Fixture.Now);
    }
    answerIdle(Fixture);
    Fixture.pass(10ms);
  }
  BOOST_TEST(Fixture.Out.Starts.back().second.Run > Command.Run);
}
