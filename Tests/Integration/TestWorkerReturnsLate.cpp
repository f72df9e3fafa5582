#include "Tests/Integration/ReturningFleet.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;

// Guards against a task that runs twice at the same time because a command without a reply was
// executed seconds later: by then the worker had returned, and its new incarnation took the start
// while the task ran elsewhere.
BOOST_AUTO_TEST_CASE(LateCommandsToAReturningFleetRunNothingTwice) {
  PoolDeployment Deployment("ReturningFleetLate", fleetSettings());
  BOOST_REQUIRE(Deployment.waitUntilReady(30));
  for (std::size_t Each = 0; Each < Deployment.workerCount(); ++Each)
    Deployment.control("POST", "/worker?id=w-" + std::to_string(Each) + "&late=0.3");
  checkReturningFleet(Deployment, "ReturningFleetLate", {60, 5000, 900, 5000, 200, 5000});
}
