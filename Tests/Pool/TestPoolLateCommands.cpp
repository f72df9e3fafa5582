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

// Guards against a run that is started again while a late command for an earlier run of its task is
// being stopped on the same incarnation.
BOOST_AUTO_TEST_CASE(ARunIsNotStartedAgainBesideAnEarlierOne) {
  for (std::uint64_t Seed : {120, 286}) {
    auto Found = test::playRestartsBesideLateCommands(Seed);
    BOOST_CHECK_MESSAGE(Found.empty(),
                        "seed " << Seed << ": " << (Found.empty() ? "" : Found.front()));
  }
}
