#include "Tests/Pool/RandomFaults.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;

// Guards against a task that runs twice at the same time: a start without a reply was carried out
// seconds later by the worker's next incarnation, after its task had been started elsewhere.
BOOST_AUTO_TEST_CASE(AStartThatALaterIncarnationExecutesRunsNoTaskTwice) {
  auto First = test::numberFromEnvironment("CORNELLIFT_FIRST_SEED", 1);
  auto Count = test::numberFromEnvironment("CORNELLIFT_SEEDS", 20);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    auto Found = test::playRestartsBesideLateCommands(Seed);
    BOOST_CHECK_MESSAGE(Found.empty(), "seed " << Seed << ": " << Found.size()
                                               << " violations, the first: "
                                               << (Found.empty() ? "" : Found.front()));
  }
}
