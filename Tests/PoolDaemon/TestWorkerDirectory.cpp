#include "Services/PoolDaemon/WorkerDirectory.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

// Guards against processes that manage nothing and spend their link on the list of some thousand
// workers: 300 processes read 3,000 entries every 4 s, a large part of all traffic.
BOOST_AUTO_TEST_CASE(FullReadIntervalGrowsWithWorkerCount) {
  BOOST_TEST((pool::fullReadInterval(0) == 4s));
  BOOST_TEST((pool::fullReadInterval(48) == 4s));
  BOOST_TEST((pool::fullReadInterval(350) == 4s));
  BOOST_TEST((pool::fullReadInterval(1400) == 14s));
  BOOST_TEST((pool::fullReadInterval(3000) == 30s));
  BOOST_TEST((pool::fullReadInterval(100000) == 30s));
}
