#include "Kernel/Pool/WorkerNotice.h"
#include "Tests/Pool/EvenLoad.h"
#include "Tests/Pool/ManagerFixture.h"

#include <algorithm>
#include <numeric>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::test;

namespace {

/// A run of 800 ms on a worker with a second one beside it.
struct NoticeFixture : ManagerFixture {
  NoticeFixture() {
    list({"a", "b"});
    submit(1, 800);
    const auto &Started = Out.Starts.at(0);
    Worker = Started.first;
    Running = {Started.second.Task, Started.second.Run, 0};
    CommandReply Accepted{CommandVerdict::Accepted, workerClock(Now)};
    Manager.startReplied(Worker, Started.second, Accepted, Now);
    pass(20ms);
  }

  /// The worker drains; StaysUntil is empty if its notice was lost.
  void drain(std::optional<core::TimePoint> StaysUntil) {
    std::vector<WorkerEntry> Entries = {entry("a"), entry("b")};
    auto &Leaving = Entries[Manager.fleet().at(Worker).Entry.Id == "a" ? 0 : 1];
    Leaving.State = WorkerState::Draining;
    Leaving.StaysUntil = StaysUntil;
    Manager.setWorkers(Entries, Now);
    for (int Step = 0; Step < 10; ++Step)
      pass(10ms);
  }

  EndpointIndex Worker{};
  RunningTask Running;
};

/// The workers that started a run last.
std::vector<std::size_t> lastStarted(PoolSimulation &Simulation, std::size_t Count) {
  std::vector<std::size_t> Workers(Simulation.workerCount());
  std::iota(Workers.begin(), Workers.end(), 0U);
  auto LastStart = [&](std::size_t Worker) {
    const auto &History = Simulation.worker(Worker).history();
    return History.empty() ? core::TimePoint() : History.back().StartedAt;
  };
  std::sort(Workers.begin(), Workers.end(), [&](std::size_t Left, std::size_t Right) {
    return LastStart(Left) > LastStart(Right);
  });
  Workers.resize(Count);
  return Workers;
}

} // namespace

// Guards against moves that throw away work without a gain for the caller.
BOOST_AUTO_TEST_CASE(RunsMoveOnlyIfThatServesTheCaller) {
  NoticedRun Run{700, 400, 900, 1200, 3600};
  BOOST_TEST(isMovedOnNotice(Run));
  Run.Remaining = 300; // Ends before the worker leaves.
  BOOST_TEST(!isMovedOnNotice(Run));
  Run = {700, 400, std::nullopt, 1200, 3600}; // Nothing else has room.
  BOOST_TEST(!isMovedOnNotice(Run));
  Run = {700, 400, 900, 5000, 9000}; // A restart after the loss is in time, too.
  BOOST_TEST(!isMovedOnNotice(Run));
  Run = {700, 400, 900, 500, 2000}; // Late in any case, but of use only if moved.
  BOOST_TEST(isMovedOnNotice(Run));
  Run = {700, 400, 900, 500, 800}; // Of no use in any case.
  BOOST_TEST(!isMovedOnNotice(Run));
}

// Guards against a run that is lost with its worker although its end was announced.
BOOST_FIXTURE_TEST_CASE(ARunThatOutlastsTheNoticeIsStoppedFirst, NoticeFixture) {
  drain(Now + 300ms);
  BOOST_REQUIRE(!Out.Stops.empty());
  BOOST_TEST((Out.Stops.front().first == Worker));
  // Never two runs of a task at once: the new one starts when the former has ended.
  BOOST_TEST(Out.Starts.size() == 1U);
  auto Stopped = Out.Stops.front().second;
  Manager.stopReplied(Worker, Stopped, {CommandVerdict::Accepted, workerClock(Now)}, Now);
  answerPolls({}, {{1, Running.Task, Running.Run, RunEnd::Stopped}});
  pass(10ms);
  BOOST_REQUIRE(Out.Starts.size() == 2U);
  BOOST_TEST((Out.Starts.back().first != Worker));
}

// Guards against moves from workers that drain for long enough, or whose notice was lost.
BOOST_FIXTURE_TEST_CASE(WithoutANoticeTheRunGoesOn, NoticeFixture) {
  drain(std::nullopt);
  BOOST_TEST(Out.Stops.empty());
  drain(Now + 5s);
  BOOST_TEST(Out.Stops.empty());
}

// Guards against runs that are stopped for room which one of them takes: the others would wait,
// and their work would be lost for nothing.
BOOST_AUTO_TEST_CASE(NoMoreRunsMoveThanThereIsRoomFor) {
  ManagerFixture World;
  World.list({"a", "b"});
  for (int Job = 0; Job < 3; ++Job)
    World.submit(1, 800); // Two fit on each worker.
  BOOST_REQUIRE(World.Out.Starts.size() == 3U);
  for (const auto &[Worker, Command] : World.Out.Starts)
    World.Manager.startReplied(Worker, Command,
                               {CommandVerdict::Accepted, ManagerFixture::workerClock(World.Now)},
                               World.Now);
  World.pass(20ms);
  std::vector<WorkerEntry> Entries = {entry("a"), entry("b")};
  for (std::size_t Worker = 0; Worker < Entries.size(); ++Worker)
    if (World.Manager.fleet().at(static_cast<EndpointIndex>(Worker)).Runs.size() == 2) {
      Entries[Worker].State = WorkerState::Draining;
      Entries[Worker].StaysUntil = World.Now + 300ms;
    }
  World.Manager.setWorkers(Entries, World.Now);
  for (int Step = 0; Step < 10; ++Step)
    World.pass(10ms);
  std::set<JobKey> Moved;
  for (const auto &[Worker, Command] : World.Out.Stops)
    Moved.insert(Command.Task.Job);
  BOOST_TEST(Moved.size() == 1U);
}

// A seventh of the workers leaves at short notice, under half of the load and with tasks that
// outlast it. Guards against jobs that are late because their runs are lost with the workers.
BOOST_AUTO_TEST_CASE(NoJobIsLateBecauseASeventhOfTheWorkersLeaves) {
  constexpr double LongMilliseconds = 900;
  const auto LongObjective =
      core::fromMilliseconds(DefaultStretch * LongMilliseconds + TargetLatencyMilliseconds);
  SimulationSettings Settings;
  Settings.WorkersPerDataCentre = 7;
  PoolSimulation Simulation(Settings);
  Simulation.run(2s);
  submitEvenly(Simulation, 40ms, 50);
  std::vector<kernel::JobKey> Keys;
  for (int Job = 0; Job < 60; ++Job) {
    if (Job == 20)
      for (std::size_t Worker : lastStarted(Simulation, 2))
        Simulation.takeAway(Worker, 300ms);
    Keys.push_back(Simulation.submit(2, LongMilliseconds, "", TaskCores));
    Simulation.run(150ms);
  }
  Simulation.run(5s);
  auto Late = std::count_if(Keys.begin(), Keys.end(), [&](auto Key) {
    auto Answer = Simulation.answerOf(Key);
    return !Answer || Answer->Verdict != JobVerdict::Completed ||
           Simulation.latencyOf(Key) > LongObjective;
  });
  BOOST_TEST(Late == 0);
  BOOST_TEST(Simulation.violations().empty());
}
