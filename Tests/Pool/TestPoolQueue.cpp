#include "Kernel/Pool/PoolQueue.h"

#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Now(1h);

/// A job whose waiting tasks take 200 ms in total.
ReviewedJob job(std::uint64_t Number, core::Duration LatestStart) {
  ReviewedJob Job;
  Job.Handle = static_cast<JobHandle>(Number);
  Job.WaitingMilliseconds = 200;
  Job.ShortestRun = 100ms;
  Job.LatestStart = Now + LatestStart;
  Job.UsefulUntil = Now + LatestStart + 1s;
  return Job;
}

} // namespace

// Guards against a queue in which each job waits until it is just too late.
BOOST_AUTO_TEST_CASE(AJobThatTheWorkAheadMakesLateGivesWay) {
  std::vector<ReviewedJob> Jobs = {job(1, 120ms), job(2, 130ms), job(3, 250ms)};
  auto Review = reviewQueue(Jobs, 2, Now); // Each job takes 100 ms of the workers' time.
  BOOST_REQUIRE(Review.Late.size() == 1U);
  BOOST_TEST((Review.Late[0] == JobHandle{2}));
  BOOST_TEST(Review.Unattainable.empty());
  BOOST_TEST(Review.WaitingMilliseconds == 600);
}

// Guards against tasks that have run in vain, because the rest of their job is put behind others.
BOOST_AUTO_TEST_CASE(AStartedJobKeepsItsPlace) {
  std::vector<ReviewedJob> Jobs = {job(1, 120ms), job(2, 130ms), job(3, 250ms)};
  Jobs[1].MayHaveRun = true;
  auto Review = reviewQueue(Jobs, 2, Now);
  BOOST_REQUIRE(Review.Late.size() == 1U);
  BOOST_TEST((Review.Late[0] == JobHandle{3}));
}

// Guards against holding a job that can no longer be served.
BOOST_AUTO_TEST_CASE(AJobWithoutTimeIsUnattainable) {
  std::vector<ReviewedJob> Jobs = {job(1, 120ms), job(2, -900ms), job(3, -950ms)};
  Jobs[1].Prospect = JobProspect::Late;
  Jobs[2].Prospect = JobProspect::Late;
  Jobs[2].MayHaveRun = true;
  auto Review = reviewQueue(Jobs, 2, Now);
  BOOST_TEST(Review.Late.empty());
  BOOST_REQUIRE(Review.Unattainable.size() == 1U);
  BOOST_TEST((Review.Unattainable[0] == JobHandle{2}));
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
