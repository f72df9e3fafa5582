#include "Kernel/Pool/RecentJobs.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;

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
