#include "Tests/Pool/ManagerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::test;

namespace {

/// Two equal workers, of which the first one has just started.
struct ColdFixture : ManagerFixture {
  ColdFixture() {
    std::vector<WorkerEntry> Entries = {entry("cold"), entry("warm")};
    Entries.front().ColdUntil = Now + 5s;
    Manager.setWorkers(Entries, Now);
    answerPolls();
    answerPolls();
  }

  const std::string &workerOfStart(std::size_t Number) const {
    return Manager.fleet().at(Out.Starts.at(Number).first).Entry.Id;
  }
};

} // namespace

// Guards against an estimate that runs of a known slowdown do not correct.
BOOST_AUTO_TEST_CASE(SlowdownIsLearnedFromColdRuns) {
  ColdStart Cold;
  for (int Run = 0; Run < 40; ++Run) {
    Cold.learn(100, 300, 300);
    Cold.learn(100, 200, 150); // Three quarters cold: 50 ms of work in 150 ms.
    Cold.learn(100, 100, 10);  // Hardly cold; shows nothing.
  }
  BOOST_TEST(Cold.slowdown() == 3.0, boost::test_tools::tolerance(0.1));
  BOOST_TEST(Cold.expectedMilliseconds(100, 1000) == 300, boost::test_tools::tolerance(0.1));
  BOOST_TEST(Cold.expectedMilliseconds(100, 150) == 200, boost::test_tools::tolerance(0.1));
  BOOST_TEST(Cold.expectedMilliseconds(100, 0) == 100);
}

// Guards against tasks that run on a cold worker while a warm one would do.
BOOST_FIXTURE_TEST_CASE(WarmWorkersArePreferred, ColdFixture) {
  submit(2, 100);
  BOOST_REQUIRE(Out.Starts.size() == 2U);
  BOOST_TEST(workerOfStart(0) == "warm");
  BOOST_TEST(workerOfStart(1) == "warm");
}

// Guards against tasks that wait for warm workers while cold ones could do them in time.
BOOST_FIXTURE_TEST_CASE(ColdWorkersAreUsedWhenWarmOnesAreFull, ColdFixture) {
  submit(2, 200); // The warm worker has four processors, for two of these tasks.
  submit(2, 50);
  BOOST_REQUIRE(Out.Starts.size() == 4U);
  BOOST_TEST(workerOfStart(2) == "cold");
}

// Guards against a data centre that refuses all work after it has started: no task of the usual
// objective of 1.5 times its run time can be in time there.
BOOST_AUTO_TEST_CASE(WorkIsDoneWhenAllWorkersAreCold) {
  ManagerFixture Case;
  std::vector<WorkerEntry> Entries = {entry("one"), entry("other")};
  for (auto &Entry : Entries)
    Entry.ColdUntil = Case.Now + 5s;
  Case.Manager.setWorkers(Entries, Case.Now);
  Case.answerPolls();
  Case.answerPolls();
  for (int Job = 0; Job < 4; ++Job)
    Case.submit(1, 500);
  BOOST_TEST(Case.Out.Starts.size() == 4U);
  BOOST_TEST(Case.Out.answers().empty());
}

// Guards against a job that counts as longer than declared, and a worker that counts as slow for
// later, because a run began on it while it was cold.
BOOST_AUTO_TEST_CASE(ProgressOnAColdWorkerIsAsExpected) {
  constexpr double Slowdown = 4;
  constexpr double Milliseconds = 50;
  constexpr std::uint64_t Former = 20;
  ManagerFixture Case;
  std::vector<WorkerEntry> Entries = {entry("cold")};
  Entries.front().ColdUntil = Case.Now + 10s;
  Case.Manager.setWorkers(Entries, Case.Now);
  Case.answerPolls();
  Case.answerPolls();
  auto Start = [&](double Declared, core::Duration Span) {
    Case.submit(1, Declared);
    for (auto End = Case.Now + Span; Case.Now < End;)
      Case.pass(10ms);
    return Case.Out.Starts.back().second;
  };
  for (std::uint64_t Run = 1; Run <= Former; ++Run) {
    auto Command = Start(Milliseconds, core::fromMilliseconds(Slowdown * Milliseconds));
    Case.answerPolls({}, {{Run, Command.Task, Command.Run, RunEnd::Done}});
  }
  BOOST_REQUIRE(Case.Manager.counters().ColdRunsDone == Former);
  auto Command = Start(8 * Milliseconds, 200ms);
  Case.answerPolls({{Command.Task, Command.Run, 12}});
  Case.pass(20ms);
  BOOST_TEST(Case.Manager.counters().JobsExtended == 0U);
  Entries.front().ColdUntil.reset(); // It is warm now.
  Case.Manager.setWorkers(Entries, Case.Now);
  Case.answerPolls({}, {{Former + 1, Command.Task, Command.Run, RunEnd::Done}});
  BOOST_TEST(Case.Manager.counters().ColdRunsDone == Former + 1);
}

// Guards against entries that change with each report, which would be sent to all managers again.
BOOST_AUTO_TEST_CASE(DeadlinesOfReportsAreSteady) {
  constexpr core::TimePoint Begin{1h};
  auto First = entry("w");
  First.ColdUntil = Begin + 5s;
  First.StaysUntil = Begin + 2s;
  auto Next = First;
  Next.ColdUntil = Begin + 5s + 400ms;
  Next.StaysUntil = Begin + 2s - 300ms;
  Next.keepSteadyDeadlines(First);
  BOOST_TEST((Next == First));
  Next.ColdUntil = Begin + 9s; // It has become cold again.
  Next.keepSteadyDeadlines(First);
  BOOST_TEST((Next.ColdUntil == Begin + 9s));
  Next.StartedMilliseconds = 8;
  Next.StaysUntil = Begin + 2s + 100ms;
  Next.keepSteadyDeadlines(First);
  BOOST_TEST((Next.StaysUntil == Begin + 2s + 100ms));
}
