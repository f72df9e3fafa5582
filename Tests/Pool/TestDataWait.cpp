// Decisions on single waits, and tasks that wait at a manager.
#include "Tests/Pool/ManagerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Now(1h);

/// A worker of two places, both in use.
RackTimetable busyRack(core::Duration First, core::Duration Second, double Error = 0) {
  RackTimetable Rack;
  std::vector<ExpectedRelease> Runs{{Now + First, Error, {2, 0, 0}},
                                    {Now + Second, Error, {2, 0, 0}}};
  Rack.addWorker({}, 2, 1, Runs);
  return Rack;
}

/// Tasks that take 100 ms near their data and end after 200 ms elsewhere.
DataWaitRequest request(std::uint32_t Tasks) {
  return {{2, 0, 0}, Tasks, 100, 0.1, 200, 1000, 3000};
}

/// Tasks wait as long as there are workers near their data.
class PatientPolicy final : public DataWaitPolicy {
  DataWaitPlan plan(const DataWaitRequest &Request, RackTimetable &Rack,
                    core::TimePoint At) const override {
    return {Rack.hasWorkers() ? Request.Tasks : 0, At + 1s, 0, "no worker near the data"};
  }
};

struct DataFixture : test::ManagerFixture {
  DataFixture() {
    Manager.setRemoteFactor(3);
    Near.Labels = {"r1"};
    Near.Slots = 2;
    setWorkers();
  }
  void setWorkers() {
    std::vector<WorkerEntry> Entries{Near, test::entry("away")};
    Manager.setWorkers(Entries, Now);
    answerPolls();
    answerPolls();
  }
  std::size_t startsOn(EndpointIndex Worker) const {
    return static_cast<std::size_t>(
        std::count_if(Out.Starts.begin(), Out.Starts.end(),
                      [Worker](const auto &Start) { return Start.first == Worker; }));
  }
  /// After 100 ms, the worker reports all that has started on it with this progress.
  void reportProgress(EndpointIndex On, double Percent) {
    std::vector<RunningTask> Running;
    for (const auto &[Worker, Command] : Out.Starts)
      if (Worker == On)
        Running.push_back({Command.Task, Command.Run, Percent});
    for (int Step = 0; Step < 10; ++Step)
      pass(10ms);
    answerPolls(Running, {}, On);
  }
  WorkerEntry Near = test::entry("near");
};

} // namespace

// Guards against two tasks that wait for the same room: of four tasks that are planned together,
// as many wait as end sooner near the data.
BOOST_AUTO_TEST_CASE(TasksOfAStepWaitForDifferentRoom) {
  auto Rack = busyRack(20ms, 70ms);
  auto Plan = ExpectedGainPolicy().plan(request(4), Rack, Now);
  BOOST_TEST(Plan.Tasks == 2);
  BOOST_TEST(Plan.ExpectedGain == (80.0 + 30.0) / 2);
  BOOST_TEST((Plan.Deadline == Now + 100ms)); // What the place saves.
}

// Guards against waits for room that comes too late, whose time is hardly known, or that does not
// exist.
BOOST_AUTO_TEST_CASE(NoTaskWaitsWithoutAGainAboveTheError) {
  auto Slow = busyRack(95ms, 120ms);
  BOOST_TEST(ExpectedGainPolicy().plan(request(1), Slow, Now).Tasks == 0);
  auto Rough = busyRack(20ms, 120ms, 90);
  BOOST_TEST(ExpectedGainPolicy().plan(request(1), Rough, Now).Tasks == 0);
  RackTimetable Empty;
  BOOST_TEST(ExpectedGainPolicy().plan(request(1), Empty, Now).Tasks == 0);
}

// Guards against a wait that makes a task miss an objective which it meets by starting now.
BOOST_AUTO_TEST_CASE(WaitEndsWhileTheObjectiveCanBeMetElsewhere) {
  auto Request = request(1);
  Request.ObjectiveMilliseconds = 230;
  auto Soon = busyRack(20ms, 120ms);
  BOOST_TEST((ExpectedGainPolicy().plan(Request, Soon, Now).Deadline == Now + 30ms));
  auto Later = busyRack(40ms, 120ms);
  BOOST_TEST(ExpectedGainPolicy().plan(Request, Later, Now).Tasks == 0);
}

// Guards against a queue for a rack in which each task only passes its wait on to the next ones.
BOOST_AUTO_TEST_CASE(FewTasksWaitForARackThatIsWantedTooMuch) {
  BOOST_TEST(longestUsefulQueue(6, 3, 1) > longestUsefulQueue(6, 7, 1));
  BOOST_TEST(longestUsefulQueue(6, 7, 0.1) == 0);
}

// Guards against waiting tasks that hold up others or are refused for want of time, and against one
// that goes on waiting for a worker which drains.
BOOST_FIXTURE_TEST_CASE(TaskWaitsUntilItsReasonGoes, DataFixture) {
  PatientPolicy Policy;
  Manager.setDataWaitPolicy(&Policy);
  DataRack = "r1";
  submit(2, 100);
  BOOST_TEST(startsOn(EndpointIndex{0}) == 2);
  for (int Job = 0; Job < 70; ++Job) // More than one dispatch considers.
    submit(1, 100);
  BOOST_TEST(Out.Starts.size() == 2);
  BOOST_TEST(Out.answers().empty());
  DataRack.clear();
  submit(1, 100);
  BOOST_TEST(startsOn(EndpointIndex{1}) == 1);
  Near.State = WorkerState::Draining;
  setWorkers();
  pass(20ms);
  BOOST_TEST(startsOn(EndpointIndex{1}) == 2);
  BOOST_TEST(Manager.counters().DataWaitsUseless == 1);
}

// Guards against a wait for runs that are far longer than declared: they were expected to end when
// they should have, as long as they had done less than a tenth.
BOOST_FIXTURE_TEST_CASE(RunsOfALongJobAreNotExpectedToEndAsDeclared, DataFixture) {
  DataRack = "r1";
  submit(2, 100);
  BOOST_TEST(startsOn(EndpointIndex{0}) == 2);
  reportProgress(EndpointIndex{0}, 4);
  submit(1, 100);
  BOOST_TEST(startsOn(EndpointIndex{1}) == 1);
  BOOST_TEST(Manager.counters().DataWaitsUseless == 0);
}

// Guards against a job that counts as longer than declared because a run of it is away from its
// data, where it takes three times as long.
BOOST_FIXTURE_TEST_CASE(ProgressAwayFromTheDataIsAsExpected, DataFixture) {
  Near.State = WorkerState::Draining;
  setWorkers();
  DataRack = "r1";
  submit(1, 100);
  BOOST_REQUIRE(startsOn(EndpointIndex{1}) == 1);
  reportProgress(EndpointIndex{1}, 30);
  pass(20ms);
  BOOST_TEST(Manager.counters().JobsExtended == 0);
}

// Guards against tasks without data that fill a rack which others want, and against a rack that is
// left idle although there is no other room.
BOOST_FIXTURE_TEST_CASE(OtherTasksAvoidAWantedRack, DataFixture) {
  DataRack = "r1";
  submit(1, 100);
  BOOST_TEST(startsOn(EndpointIndex{0}) == 1);
  DataRack.clear();
  submit(2, 100);
  BOOST_TEST(startsOn(EndpointIndex{1}) == 2);
  submit(1, 100);
  BOOST_TEST(startsOn(EndpointIndex{0}) == 2);
}
