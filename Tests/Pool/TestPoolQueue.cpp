#include "Kernel/Pool/AdmissionPlan.h"
#include "Kernel/Pool/PlacementRate.h"
#include "Kernel/Pool/PoolPlacement.h"
#include "Kernel/Pool/PoolQueue.h"
#include "Kernel/Pool/ReturnTimes.h"

#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Now(1h);
const RoomForecast Room{2, 0, 0ms, 0};

/// A job whose waiting tasks take 200 ms in total.
WaitingJob job(std::uint64_t Number, core::Duration LatestStart,
               Standing Place = Standing::ByPriority) {
  WaitingJob Job;
  Job.Handle = static_cast<JobHandle>(Number);
  Job.ArrivalStanding = Place;
  Job.Work = 200;
  Job.ShortestRun = 100ms;
  Job.LatestStart = Now + LatestStart;
  Job.UsefulUntil = Now + LatestStart + 1s;
  return Job;
}

} // namespace

// Guards against a queue in which each job waits until it is just too late.
BOOST_AUTO_TEST_CASE(AJobThatTheWorkAheadMakesLateGivesWay) {
  std::vector<WaitingJob> Jobs = {job(1, 120ms), job(2, 130ms), job(3, 250ms)};
  auto Plan = planAdmission(Jobs, Room, Now); // Each job takes 100 ms of the workers' time.
  BOOST_TEST((Plan.Prospects[0] == JobProspect::InTime));
  BOOST_TEST((Plan.Prospects[1] == JobProspect::Late));
  BOOST_TEST((Plan.Prospects[2] == JobProspect::InTime));
  BOOST_TEST(Plan.Unattainable.empty());
  BOOST_TEST(Plan.Work == 600);
}

// Guards against tasks that have run in vain, because the rest of their job is put behind others.
BOOST_AUTO_TEST_CASE(AStartedJobKeepsItsPlace) {
  std::vector<WaitingJob> Jobs = {job(1, 120ms), job(2, 230ms), job(3, 250ms)};
  Jobs[1].MayHaveRun = true;
  auto Plan = planAdmission(Jobs, Room, Now);
  BOOST_TEST((Plan.Prospects[1] == JobProspect::InTime));
  BOOST_TEST((Plan.Prospects[2] == JobProspect::Late));
  // With less time a job that has not begun gives way, and only that one.
  Jobs[1].LatestStart = Now + 130ms;
  Plan = planAdmission(Jobs, Room, Now);
  BOOST_TEST((Plan.Prospects[0] == JobProspect::Late));
  BOOST_TEST((Plan.Prospects[1] == JobProspect::InTime));
  BOOST_TEST((Plan.Prospects[2] == JobProspect::InTime));
  BOOST_TEST(Plan.LateCount == 1U);
}

// Guards against a started job that misses its objective behind jobs that have not begun.
BOOST_AUTO_TEST_CASE(JobsGiveWayToAStartedOne) {
  std::vector<WaitingJob> Jobs = {job(1, 120ms), job(2, 130ms)};
  Jobs[1].MayHaveRun = true;
  auto Plan = planAdmission(Jobs, Room, Now);
  BOOST_TEST((Plan.Prospects[0] == JobProspect::Late));
  BOOST_TEST((Plan.Prospects[1] == JobProspect::InTime));
}

// Guards against a wide job whose first tasks have run in vain: its last ones are placed when only
// fast workers are still in time, and its rest is put behind all other jobs.
BOOST_AUTO_TEST_CASE(AStartedJobIsInTimeAsLongAsAFastWorkerIs) {
  std::vector<WaitingJob> Jobs = {job(1, -10ms), job(2, 120ms)};
  Jobs[0].MayHaveRun = true;
  Jobs[0].InTimeUntil = Now + 110ms;
  auto Plan = planAdmission(Jobs, Room, Now);
  BOOST_TEST((Plan.Prospects[0] == JobProspect::InTime));
  BOOST_TEST((Plan.Prospects[1] == JobProspect::Late)); // Each job takes 100 ms.
  Jobs[0].InTimeUntil = Now - 1ms;
  Plan = planAdmission(Jobs, Room, Now);
  BOOST_TEST((Plan.Prospects[0] == JobProspect::StartedLate));
  BOOST_TEST((Plan.Prospects[1] == JobProspect::InTime));
}

// Guards against letting further jobs give way when none is left: sums of work in another order are
// rounded differently, and the end of an empty map would be read.
BOOST_AUTO_TEST_CASE(NoMoreJobsGiveWayThanThereAre) {
  std::mt19937_64 Random(1);
  for (int Round = 0; Round < 20000; ++Round) {
    std::vector<WaitingJob> Jobs;
    for (std::uint64_t Number = 1; Number <= 6; ++Number) {
      Jobs.push_back(job(Number, 1ms));
      Jobs.back().Work = std::uniform_real_distribution<double>(0, 0.3)(Random);
    }
    auto Started = job(7, 2ms - 1us);
    Started.MayHaveRun = true;
    Started.Work = 2;
    Jobs.push_back(Started);
    auto Plan = planAdmission(Jobs, {1, 0, 0ms, 0}, Now);
    BOOST_REQUIRE((Plan.Prospects[6] == JobProspect::InTime));
  }
}

// Guards against holding a job that can no longer be served.
BOOST_AUTO_TEST_CASE(AJobWithoutTimeIsUnattainable) {
  std::vector<WaitingJob> Jobs = {job(1, 120ms), job(2, -900ms), job(3, -950ms)};
  Jobs[2].MayHaveRun = true;
  auto Plan = planAdmission(Jobs, Room, Now);
  BOOST_TEST((Plan.Prospects[0] == JobProspect::InTime));
  BOOST_REQUIRE(Plan.Unattainable.size() == 1U);
  BOOST_TEST(Plan.Unattainable[0] == 1U);
}

// Replays three routes at 1.5 times the room. Guards against a route of higher priority that waits
// for the others.
BOOST_AUTO_TEST_CASE(JobsOfTheLowestPriorityGiveWayFirst) {
  auto First = Standing::ByPriority;
  auto Last = worseThan(worseThan(First));
  std::vector<WaitingJob> Jobs = {job(1, 120ms, Last), job(2, 130ms, First), job(3, 140ms, Last)};
  auto Plan = planAdmission(Jobs, Room, Now);
  BOOST_TEST((Plan.Prospects[0] == JobProspect::Late));
  BOOST_TEST((Plan.Prospects[1] == JobProspect::InTime));
  BOOST_TEST((Plan.Prospects[2] == JobProspect::Late));
  // Nobody gives way to a job that would be late all the same.
  Jobs[1].Work = 600;
  Plan = planAdmission(Jobs, Room, Now);
  BOOST_TEST((Plan.Prospects[0] == JobProspect::InTime));
  BOOST_TEST((Plan.Prospects[1] == JobProspect::Late));
}

// Replays a hand-over: the workers are about to be held. Guards against refusing jobs that these
// will serve, because only workers that are held already count.
BOOST_AUTO_TEST_CASE(WorkersAboutToBeHeldCount) {
  std::vector<WaitingJob> Jobs = {job(1, -100ms), job(2, -100ms), job(3, -100ms)};
  auto OnlyHeld = planAdmission(Jobs, {0.2, 0, 0ms, 0}, Now);
  BOOST_TEST(OnlyHeld.Unattainable.size() == 2U);
  auto Coming = planAdmission(Jobs, {0.2, 4, 300ms, 0}, Now);
  BOOST_TEST(Coming.Unattainable.empty());
  // The measured rate contains nothing of workers that have just been held.
  PlacementRate Rate;
  for (auto At = Now; At < Now + 500ms; At += 5ms) {
    Rate.placed(10);
    Rate.observe(true, 3, At);
  }
  BOOST_TEST(Rate.value(3) < 2.2);
  BOOST_TEST(Rate.value(40) > 38);
}

// Guards against holding late jobs while as much work arrives as there is room for, until nobody
// wants their results.
BOOST_AUTO_TEST_CASE(LastingOverloadLeavesLateJobsNoRoom) {
  std::vector<WaitingJob> Jobs = {job(1, 120ms), job(2, -200ms)};
  BOOST_TEST(planAdmission(Jobs, {2, 0, 0ms, 0}, Now).Unattainable.empty());
  BOOST_TEST(planAdmission(Jobs, {2, 0, 0ms, 2}, Now).Unattainable.size() == 1U);
}

// Replays a burst of refusals. Guards against callers that all come back at the same moment,
// because each is told when the work of that moment ends.
BOOST_AUTO_TEST_CASE(RefusedCallersComeBackOneAfterTheOther) {
  ReturnTimes Times;
  double Former = 0;
  for (int Caller = 0; Caller < 20; ++Caller) {
    double Told = Times.next(300, 100, 2, Now);
    BOOST_TEST(Told >= Former + (Caller > 0 ? 99 : 300));
    BOOST_TEST(Told <= 5000);
    Former = Told;
  }
}

// Guards against a caller that is told the longest time, because another was refused long ago while
// next to nothing was placed, and the time to place its work is kept without a bound.
BOOST_AUTO_TEST_CASE(RefusalsAreForgottenWhenTheirCallersHaveComeBack) {
  ReturnTimes Times;
  Times.next(300, 100, 1e-6, Now);
  BOOST_TEST(Times.next(300, 100, 2, Now + 10s) == 300);
}

// Guards against kinds and sizes that are starved by others.
BOOST_AUTO_TEST_CASE(FloorsComeBeforePriorities) {
  constexpr KindIndex High{0};
  constexpr KindIndex Low{1};
  KindShares Shares;
  for (int Job = 0; Job < 100; ++Job) {
    Shares.offered(High, 0, 100);
    Shares.offered(Low, 5, 100);
    Shares.settled(High, false, 100, true, Now);
    Shares.settled(Low, false, 100, Job % 2 == 0, Now);
  }
  BOOST_TEST((Shares.standingOf(High, false) == Standing::ByPriority));
  BOOST_TEST((Shares.standingOf(Low, false) > Standing::ByPriority));
  for (int Job = 0; Job < 50; ++Job)
    Shares.settled(Low, false, 100, false, Now);
  BOOST_TEST((Shares.standingOf(Low, false) == Standing::BelowFloor));
  Shares.settled(High, true, 100, false, Now);
  BOOST_TEST((Shares.standingOf(High, true) == Standing::BelowFloor));
  BOOST_TEST((Shares.standingOf(High, false) == Standing::ByPriority));
}

// Guards against a kind that no longer comes and still sets the mean share of its priority:
// its low share would make all other kinds count as served more than the mean.
BOOST_AUTO_TEST_CASE(KindsThatNoLongerComeAreForgotten) {
  constexpr KindIndex Ended{0};
  constexpr KindIndex More{1};
  constexpr KindIndex Less{2};
  KindShares Shares;
  for (auto Kind : {Ended, More, Less})
    Shares.offered(Kind, 0, 100);
  for (int Job = 0; Job < 100; ++Job)
    Shares.settled(Ended, false, 100, false, Now);
  for (int Job = 0; Job < 100; ++Job) {
    auto At = Now + 60s + Job * 50ms;
    Shares.settled(More, false, 100, Job % 5 != 0, At);
    Shares.settled(Less, false, 100, Job % 5 >= 2, At);
  }
  BOOST_TEST((Shares.standingOf(More, false) == worseThan(Standing::ByPriority)));
  BOOST_TEST((Shares.standingOf(Less, false) == Standing::ByPriority));
}

// Guards against other jobs than the tenth with the most work counting as wide, which would give
// these the floor of the wide ones.
BOOST_AUTO_TEST_CASE(TheWidestTenthIsFound) {
  KindShares Shares;
  int Wide = 0;
  for (int Job = 0; Job < 2000; ++Job)
    Wide += Shares.offered(KindIndex{0}, 0, 100 + (Job * 37) % 100) && Job >= 1000 ? 1 : 0;
  BOOST_TEST(Wide >= 60);
  BOOST_TEST(Wide <= 140);
}

// Guards against waiting jobs whose started tasks would be wasted behind jobs that have not begun.
BOOST_AUTO_TEST_CASE(StartedJobsComeBeforeOtherLateOnes) {
  PoolQueue Queue;
  Queue.set({JobProspect::Late, Now, JobHandle{1}});
  Queue.set({JobProspect::StartedLate, Now + 1s, JobHandle{2}});
  Queue.set({JobProspect::InTime, Now + 2s, JobHandle{3}});
  Queue.set({JobProspect::StartedLate, Now, JobHandle{1}}); // Moves within the queue.
  std::vector<JobHandle> Order;
  for (const auto &Key : Queue)
    Order.push_back(Key.Handle);
  std::vector<JobHandle> Expected = {JobHandle{3}, JobHandle{1}, JobHandle{2}};
  BOOST_TEST((Order == Expected));
  Queue.remove(JobHandle{1});
  BOOST_TEST(Queue.size() == 2U);
}
