#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;

namespace {

class NoLog final : public DecisionLog {
  void line(DecisionPriority, std::string_view, std::optional<JobKey>,
            std::initializer_list<DecisionField>) override {}
};

/// Records the commands and messages of a manager.
class Recorder final : public PoolOutput {
public:
  void workerAddressChanged(EndpointIndex, const WorkerEntry &) override {}
  void workerDropped(EndpointIndex) override {}
  void poll(EndpointIndex Worker, const PollCommand &Command) override {
    Polls.emplace_back(Worker, Command);
  }
  void start(EndpointIndex Worker, const StartCommand &Command) override {
    Starts.emplace_back(Worker, Command);
  }
  void stop(EndpointIndex Worker, const StopCommand &Command) override {
    Stops.emplace_back(Worker, Command);
  }
  void send(PeerIndex Peer, PoolMessage Message) override {
    Sent.emplace_back(Peer, std::move(Message));
  }

  std::vector<JobAnswer> answers() const {
    std::vector<JobAnswer> Found;
    for (const auto &[Peer, Message] : Sent)
      if (const auto *Answer = std::get_if<PoolAnswer>(&Message))
        Found.push_back(Answer->Answer);
    return Found;
  }

  std::vector<std::pair<EndpointIndex, PollCommand>> Polls;
  std::vector<std::pair<EndpointIndex, StartCommand>> Starts;
  std::vector<std::pair<EndpointIndex, StopCommand>> Stops;
  std::vector<std::pair<PeerIndex, PoolMessage>> Sent;
};

WorkerEntry entry(const std::string &Id) {
  WorkerEntry Entry;
  Entry.Id = Id;
  Entry.Address = "10.0.0.1:80";
  Entry.DataCentre = "ikeja";
  Entry.Service = "slips";
  Entry.Capacity = {4, 1000, 0};
  Entry.Slots = 4;
  return Entry;
}

/// A manager whose workers reply when the test calls for it.
struct ManagerFixture {
  ManagerFixture() : Manager({}, Out, Tokens, Log) {}

  /// Answers all open polls with the given running and ended tasks.
  void answerPolls(const std::vector<RunningTask> &Running = {},
                   const std::vector<EndedTask> &Ended = {}) {
    for (const auto &[Worker, Command] : std::exchange(Out.Polls, {})) {
      PollReply Reply;
      Reply.Verdict = CommandVerdict::Accepted;
      Reply.Report.emplace();
      Reply.Report->ClockMilliseconds = workerClock(Now);
      Reply.Report->StartedMilliseconds = Incarnation;
      Reply.Report->Running = Running;
      Reply.Report->Ended = Ended;
      Manager.pollReplied(Worker, Command, Reply, Now);
    }
  }

  /// Time on the workers' clocks, in milliseconds.
  static std::int64_t workerClock(core::TimePoint At) {
    return 1000 + (At - core::TimePoint()) / 1ms;
  }

  void list(const std::vector<std::string> &Ids) {
    std::vector<WorkerEntry> Entries;
    Entries.reserve(Ids.size());
    for (const auto &Id : Ids)
      Entries.push_back(entry(Id));
    Manager.setWorkers(Entries, Now);
    answerPolls(); // The first poll reports the worker's incarnation.
    answerPolls();
  }

  JobKey submit(std::uint32_t Tasks, double Milliseconds, core::Duration Timeout = 3s,
                PeerIndex From = SelfPeer) {
    return submitAs(static_cast<JobKey>(++LastKey), Tasks, Milliseconds, Timeout, From);
  }

  JobKey submitAs(JobKey Key, std::uint32_t Tasks, double Milliseconds, core::Duration Timeout = 3s,
                  PeerIndex From = SelfPeer) {
    auto Submission = std::make_shared<JobSubmission>();
    Submission->Key = Key;
    Submission->Steps.resize(1);
    Submission->Steps[0].Count = Tasks;
    Submission->Steps[0].Need = {2, 10, 0};
    Submission->Steps[0].DeclaredMilliseconds = Milliseconds;
    Submission->Steps[0].RequiredLabel = RequiredLabel;
    Submission->Policy.Route = "r";
    Submission->Policy.Service = "slips";
    Submission->Policy.MaximumAttempts = 2;
    Submission->Policy.Stretch = 1.5;
    Submission->Policy.TargetLatencyMilliseconds = 30;
    Submission->ReceivedAt = Now;
    Submission->AnswerBy = Now + Timeout;
    Manager.receive(From, SubmitToPool{Submission}, Now);
    return Submission->Key;
  }

  void pass(core::Duration Span) {
    Now += Span;
    Manager.tick(Now);
  }

  core::TimePoint Now = core::TimePoint(1h);
  std::int64_t Incarnation = 7; ///< Start of the workers that answer polls.
  std::string RequiredLabel;    ///< Of submitted tasks.
  std::uint64_t LastKey = 0;
  NoLog Log;
  TokenSource Tokens;
  Recorder Out;
  PoolManager Manager;
};

} // namespace

// Guards against looking up a rating that does not exist, when another manager releases a worker
// that this one has not listed yet.
BOOST_AUTO_TEST_CASE(AReleasedWorkerThatIsNotListedYetChangesNothing) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.Manager.fleet().claimNow("w-9", Fixture.Now);
  Fixture.Manager.fleet().deferClaim("w-8", Fixture.Now + 1s);
  Fixture.submit(4, 100);
  Fixture.pass(20ms);
  BOOST_TEST(Fixture.Out.Starts.size() == 2U); // As many as fit on the listed worker.
}

// Guards against claiming a worker before its former manager has released it, and against deferring
// the claim although it has.
BOOST_AUTO_TEST_CASE(ClaimTimesApplyToWorkersListedLater) {
  ManagerFixture Fixture;
  Fixture.Manager.fleet().deferClaim("w-0", Fixture.Now + 1s);
  Fixture.Manager.fleet().deferClaim("w-1", Fixture.Now + 1s);
  Fixture.Manager.fleet().claimNow("w-1", Fixture.Now);
  Fixture.Manager.setWorkers(std::vector{entry("w-0"), entry("w-1")}, Fixture.Now);
  BOOST_REQUIRE(Fixture.Out.Polls.size() == 1U);
  BOOST_TEST((Fixture.Out.Polls[0].first == EndpointIndex{1}));
  Fixture.pass(1s);
  BOOST_TEST(Fixture.Out.Polls.size() == 2U);
}

// Guards against a task that starts on a worker whose lease is not held.
BOOST_AUTO_TEST_CASE(NothingStartsBeforeTheWorkerHasAnsweredTheClaim) {
  ManagerFixture Fixture;
  Fixture.Manager.setWorkers(std::vector{entry("w-0")}, Fixture.Now);
  Fixture.submit(1, 100);
  BOOST_TEST(Fixture.Out.Starts.empty());
  Fixture.answerPolls();
  Fixture.answerPolls();
  Fixture.pass(10ms);
  BOOST_TEST(Fixture.Out.Starts.size() == 1U);
}

// Guards against another run after a start command without a reply, which may still be executed.
// The same command may be sent again, because the worker executes it only once.
BOOST_AUTO_TEST_CASE(AStartWithoutReplyIsNotReplacedWhileItMayStillRun) {
  ManagerFixture Fixture;
  Fixture.list({"w-0", "w-1"});
  Fixture.submit(1, 100);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto [Worker, Command] = Fixture.Out.Starts[0];
  Fixture.Manager.startReplied(Worker, Command, {CommandVerdict::NoReply, {}}, Fixture.Now);
  for (int Round = 0; Round < 5; ++Round) {
    Fixture.pass(10ms);
    Fixture.answerPolls();
  }
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 3U);
  for (const auto &[Receiver, Copy] : Fixture.Out.Starts) {
    BOOST_TEST((Receiver == Worker));
    BOOST_TEST(Copy.Run == Command.Run);
    BOOST_TEST(Copy.StartBy == Command.StartBy);
    BOOST_TEST(Copy.Specification == Command.Specification);
  }
  // The worker's clock has passed the latest start time of the command.
  Fixture.pass(60ms);
  Fixture.answerPolls();
  Fixture.pass(10ms);
  BOOST_TEST(Fixture.Out.Starts.size() == 4U);
  BOOST_TEST(Fixture.Out.Starts.back().second.Run == 2U);
}

// Guards against a task that runs twice because one of its repeated start commands was refused
// after another one had been executed.
BOOST_AUTO_TEST_CASE(RefusalOfARepeatedStartIsInconclusive) {
  for (auto Verdict :
       {CommandVerdict::Outdated, CommandVerdict::NoCapacity, CommandVerdict::TooLate,
        CommandVerdict::Unhealthy, CommandVerdict::NotSent, CommandVerdict::Invalid}) {
    ManagerFixture Fixture;
    Fixture.list({"w-0", "w-1"});
    Fixture.submit(1, 100);
    BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
    auto [Worker, Command] = Fixture.Out.Starts[0];
    Fixture.pass(30ms);
    BOOST_REQUIRE(Fixture.Out.Starts.size() == 2U);
    Fixture.Manager.startReplied(Worker, Command, {Verdict, {}}, Fixture.Now);
    Fixture.pass(50ms);
    for (const auto &[Receiver, Copy] : Fixture.Out.Starts)
      BOOST_TEST(Copy.Run == Command.Run);
    BOOST_TEST(Fixture.Out.answers().empty());
    Fixture.answerPolls({}, {{1, Command.Task, Command.Run, RunEnd::Done}});
    BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
    BOOST_TEST((Fixture.Out.answers()[0].Verdict == JobVerdict::Completed));
  }
}

// Guards against a job that waits until its deadline although it can no longer complete in time.
BOOST_AUTO_TEST_CASE(AJobThatCannotBeDoneIsRejectedWithATimeToComeBack) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  for (int Job = 0; Job < 40; ++Job)
    Fixture.submit(4, 400);
  auto Answers = Fixture.Out.answers();
  BOOST_REQUIRE(!Answers.empty());
  BOOST_TEST((Answers.back().Verdict == JobVerdict::Rejected));
  BOOST_TEST(Answers.back().RetryAfterMilliseconds > 0);
  BOOST_TEST(!Answers.back().Why.empty());
}

// Guards against work that continues after its caller has disconnected.
BOOST_AUTO_TEST_CASE(RunsOfAnAbandonedJobAreStopped) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  auto Key = Fixture.submit(2, 300);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 2U);
  Fixture.Manager.receive(SelfPeer, AbandonJob{Key}, Fixture.Now);
  BOOST_TEST(Fixture.Out.Stops.size() == 2U);
}

// Guards against counting a task twice because its end is reported again.
BOOST_AUTO_TEST_CASE(AnEndIsAppliedOnce) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(2, 100);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 2U);
  const auto &First = Fixture.Out.Starts[0].second;
  const auto &Second = Fixture.Out.Starts[1].second;
  for (const auto &[Worker, Command] : Fixture.Out.Starts)
    Fixture.Manager.startReplied(Worker, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
  Fixture.pass(100ms);
  EndedTask End{1, First.Task, First.Run, RunEnd::Done};
  RunningTask Running{Second.Task, Second.Run, 80};
  Fixture.answerPolls({Running}, {End});
  Fixture.pass(10ms);
  Fixture.answerPolls({Running}, {End});
  BOOST_TEST(Fixture.Out.answers().empty());
  Fixture.pass(10ms);
  Fixture.answerPolls({}, {End, {2, Second.Task, Second.Run, RunEnd::Done}});
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  BOOST_TEST((Fixture.Out.answers()[0].Verdict == JobVerdict::Completed));
}

// Guards against running a finished job again because it is resubmitted.
BOOST_AUTO_TEST_CASE(ARepeatedSubmissionGetsTheFormerAnswer) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 100);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  const auto &[Worker, Command] = Fixture.Out.Starts[0];
  Fixture.Manager.startReplied(Worker, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
  Fixture.pass(100ms);
  Fixture.answerPolls({}, {{1, Command.Task, Command.Run, RunEnd::Done}});
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  --Fixture.LastKey;
  Fixture.submit(1, 100);
  BOOST_TEST(Fixture.Out.answers().size() == 2U);
  BOOST_TEST(Fixture.Out.Starts.size() == 1U);
}

// Guards against a job that fails at its first failed run, or is retried without limit.
BOOST_AUTO_TEST_CASE(AJobFailsAfterItsAttempts) {
  ManagerFixture Fixture;
  Fixture.list({"w-0", "w-1"});
  Fixture.submit(1, 100);
  for (std::uint64_t Attempt = 1; Attempt <= 2; ++Attempt) {
    BOOST_REQUIRE(Fixture.Out.Starts.size() == Attempt);
    auto [Worker, Command] = Fixture.Out.Starts.back();
    Fixture.Manager.startReplied(Worker, Command, {CommandVerdict::Accepted, {}}, Fixture.Now);
    Fixture.pass(20ms);
    for (const auto &[PolledWorker, Poll] : std::exchange(Fixture.Out.Polls, {})) {
      PollReply Reply;
      Reply.Verdict = CommandVerdict::Accepted;
      Reply.Report.emplace();
      Reply.Report->ClockMilliseconds = 1000 + (Fixture.Now - core::TimePoint()) / 1ms;
      Reply.Report->StartedMilliseconds = 7;
      if (PolledWorker == Worker)
        Reply.Report->Ended = {{Attempt, Command.Task, Command.Run, RunEnd::Failed}};
      Fixture.Manager.pollReplied(PolledWorker, Poll, Reply, Fixture.Now);
    }
    Fixture.pass(1ms);
  }
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  BOOST_TEST((Fixture.Out.answers()[0].Verdict == JobVerdict::Failed));
}

// Guards against reports whose size grows with the number of workers instead of with their changes:
// reporting 750 workers to each other manager 50 times per second took 1 MB per second.
BOOST_AUTO_TEST_CASE(AReportTellsOnlyWhatHasChanged) {
  ManagerFixture Fixture;
  auto Neighbour = static_cast<PeerIndex>(7);
  Fixture.list({"w-0", "w-1", "w-2"});
  Fixture.Manager.setManager(Neighbour, true, Fixture.Now);
  auto ReportedChanges = [&] {
    std::vector<std::size_t> Sizes;
    for (const auto &[Peer, Message] : std::exchange(Fixture.Out.Sent, {}))
      if (const auto *Report = std::get_if<PoolReport>(&Message))
        Sizes.push_back(Report->Changes.size());
    return Sizes;
  };
  BOOST_TEST(ReportedChanges() == std::vector<std::size_t>{3}, boost::test_tools::per_element());
  Fixture.pass(20ms);
  Fixture.submit(1, 100);
  Fixture.pass(20ms);
  BOOST_TEST(ReportedChanges().front() == 1U);
  // Positions change with a new list of workers.
  Fixture.list({"w-0", "w-2"});
  Fixture.pass(20ms);
  auto Sizes = ReportedChanges();
  BOOST_REQUIRE(!Sizes.empty());
  BOOST_TEST(Sizes.front() == 2U);
}

// Guards against a reservation for a delegated task that never ends, or that ends while the task is
// still in transit: reports do not include workers without changes.
BOOST_AUTO_TEST_CASE(AReservationEndsWithAReportThatDoesNotNameTheWorker) {
  core::TimePoint Now(1h);
  RemotePool Pool;
  Pool.setDirectory({1, {entry("w-0"), entry("w-1")}});
  Pool.setReport({1, {{0, {{4, 1000, 0}, 4, 1}}, {1, {{4, 1000, 0}, 4, 1}}}, 0}, Now);
  Pool.reserve(0, {2, 10, 0}, Now);
  BOOST_TEST(Pool.workers()[0].Availability.Free.Processors == 2);
  Pool.setReport({1, {{1, {{3, 1000, 0}, 3, 1}}}, 0}, Now + 5ms);
  BOOST_TEST(Pool.workers()[0].Availability.Free.Processors == 2);
  BOOST_TEST(Pool.workers()[1].Availability.Free.Processors == 3);
  Pool.setReport({1, {}, 0}, Now + 50ms);
  BOOST_TEST(Pool.workers()[0].Availability.Free.Processors == 4);
  BOOST_TEST(Pool.workers()[0].Availability.FreeSlots == 4U);
  // Positions that are not in the directory are ignored.
  Pool.setReport({1, {{9, {{1, 1, 0}, 1, 1}}}, 0}, Now + 60ms);
  BOOST_TEST(Pool.workers().size() == 2U);
}

// Guards against delegating tasks to a region so distant that the round trip alone makes them late.
// Such tasks were delegated for an expected gain of 15 ms.
BOOST_AUTO_TEST_CASE(ADistantManagerGetsNoTaskThatTheRoundTripMakesLate) {
  for (auto RoundTrip : {5ms, 90ms}) {
    ManagerFixture Fixture;
    auto Neighbour = static_cast<PeerIndex>(7);
    Fixture.list({"w-0"});
    Fixture.Manager.setManager(Neighbour, true, Fixture.Now);
    Fixture.Manager.setRoundTrip(Neighbour, RoundTrip);
    Fixture.Manager.receive(Neighbour, PoolDirectory{1, {entry("x-0")}}, Fixture.Now);
    Fixture.Manager.receive(Neighbour, PoolReport{1, {{0, {{4, 1000, 0}, 4, 1}}}, 0}, Fixture.Now);
    Fixture.submit(3, 100); // Two tasks fit on the own worker; the objective is 180 ms.
    BOOST_TEST(Fixture.Out.Starts.size() == 2U);
    auto Delegated =
        std::count_if(Fixture.Out.Sent.begin(), Fixture.Out.Sent.end(), [](auto &Sent) {
          return std::holds_alternative<DelegateTasks>(Sent.second);
        });
    BOOST_TEST(Delegated == (RoundTrip < 50ms ? 1 : 0));
  }
}

// Guards against a lease that outlasts the return of the caller: its entry process has been silent,
// and this manager may be paused before it stops the job's runs.
BOOST_AUTO_TEST_CASE(NoLeaseOutlastsASilentEntryProcess) {
  constexpr PeerIndex Entry{1};
  constexpr auto CallerReturnsAfter = 1300ms;
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  auto HeardAt = Fixture.Now;
  Fixture.Manager.peerHeard(Entry, HeardAt);
  Fixture.submit(1, 5000, 30s, Entry);
  for (int Round = 0; Round < 9; ++Round) {
    Fixture.pass(100ms);
    Fixture.answerPolls({{{JobKey{1}, 0, 0}, 1, 2.0 * (Round + 1)}});
  }
  std::optional<std::int64_t> LeaseUntil;
  for (const auto &[Worker, Command] : Fixture.Out.Polls)
    LeaseUntil = Command.LeaseUntil;
  BOOST_REQUIRE(LeaseUntil.has_value());
  BOOST_TEST(*LeaseUntil < Fixture.workerClock(HeardAt + CallerReturnsAfter));
}

// Guards against delegated tasks that outlast the return of the caller: should this manager be
// paused after the loss of the entry process, the other manager notices it too late.
BOOST_AUTO_TEST_CASE(DelegatedTasksOfALostEntryProcessAreStopped) {
  constexpr PeerIndex Entry{1};
  constexpr PeerIndex Other{2};
  ManagerFixture Fixture;
  Fixture.Manager.setManager(Other, true, Fixture.Now);
  Fixture.Manager.receive(Other, PoolDirectory{1, {entry("v-0")}}, Fixture.Now);
  Fixture.Manager.receive(Other, PoolReport{1, {{0, {{4, 1000, 0}, 4, 1}}}, 0}, Fixture.Now);
  Fixture.submit(1, 500, 3s, Entry);
  Fixture.pass(20ms);
  Fixture.Out.Sent.clear();
  Fixture.Manager.peerLost(Entry, Fixture.Now, Fixture.Now);
  auto IsStop = [](const auto &Sent) { return std::holds_alternative<StopDelegated>(Sent.second); };
  BOOST_TEST(std::count_if(Fixture.Out.Sent.begin(), Fixture.Out.Sent.end(), IsStop) == 1);
}

// Guards against refusing a job because of work that will be placed after it: under overload, late
// jobs wait behind those that can be in time.
BOOST_AUTO_TEST_CASE(LateJobsDoNotKeepOutAnUrgentOne) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  for (int Job = 0; Job < 4; ++Job)
    Fixture.submit(2, 800, 10s);
  for (int Tick = 0; Tick < 60; ++Tick)
    Fixture.pass(20ms);
  BOOST_REQUIRE(Fixture.Out.answers().empty());
  Fixture.submit(1, 100, 10s);
  BOOST_TEST(Fixture.Out.answers().empty());
}

// Guards against telling a caller that its job may have run, so that it can't be sent again, though
// every worker has refused it.
BOOST_AUTO_TEST_CASE(AJobThatEveryWorkerRefusedHasNotRun) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  Fixture.submit(1, 100, 600ms);
  while (Fixture.Out.answers().empty() && Fixture.Now < core::TimePoint(1h) + 2s) {
    for (const auto &[Worker, Command] : std::exchange(Fixture.Out.Starts, {})) {
      CommandReply Refused;
      Refused.Verdict = CommandVerdict::NoCapacity;
      Fixture.Manager.startReplied(Worker, Command, Refused, Fixture.Now);
    }
    Fixture.pass(10ms);
    Fixture.answerPolls();
  }
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  BOOST_TEST((Fixture.Out.answers()[0].Verdict == JobVerdict::Rejected));
  BOOST_TEST(Fixture.Out.answers()[0].RetryAfterMilliseconds > 0);
}

// Guards against the opposite: a job of which a run was lost after its start may have run.
BOOST_AUTO_TEST_CASE(AJobWhoseRunWasLostMayHaveRun) {
  ManagerFixture Fixture;
  Fixture.list({"w-0"});
  auto Key = Fixture.submit(1, 100, 600ms);
  BOOST_REQUIRE(Fixture.Out.Starts.size() == 1U);
  auto [Worker, Command] = Fixture.Out.Starts[0];
  Fixture.Manager.startReplied(Worker, Command, {CommandVerdict::Accepted, std::nullopt},
                               Fixture.Now);
  Fixture.pass(10ms);
  Fixture.answerPolls({}, {{1, {Key, 0, 0}, Command.Run, RunEnd::Lapsed}});
  Fixture.Manager.setWorkers({}, Fixture.Now); // It cannot start again.
  for (int Tick = 0; Tick < 100 && Fixture.Out.answers().empty(); ++Tick)
    Fixture.pass(10ms);
  BOOST_REQUIRE(Fixture.Out.answers().size() == 1U);
  BOOST_TEST((Fixture.Out.answers()[0].Verdict == JobVerdict::GivenUp));
}

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

// Guards against memory that a storm of cancellings uses up; the oldest ones are dropped first.
BOOST_AUTO_TEST_CASE(RecentJobsAreBounded) {
  RecentJobs<int> Jobs(10s, 3);
  core::TimePoint Now(1h);
  for (std::uint64_t Job = 1; Job <= 4; ++Job)
    Jobs.add(static_cast<JobKey>(Job), static_cast<int>(Job), Now);
  BOOST_TEST(Jobs.size() == 3U);
  BOOST_TEST(Jobs.find(JobKey{1}, Now) == nullptr);
  BOOST_TEST(*Jobs.find(JobKey{4}, Now) == 4);
  BOOST_TEST(Jobs.find(JobKey{4}, Now + 10s) == nullptr);
  Jobs.add(JobKey{2}, 5, Now + 5s); // Added again, so that it is kept for longer.
  Jobs.forgetExpired(Now + 10s);
  BOOST_TEST(Jobs.size() == 1U);
  BOOST_TEST(*Jobs.find(JobKey{2}, Now + 10s) == 5);
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
