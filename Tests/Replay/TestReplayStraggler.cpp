#include "Utilities/Replay/Comparison.h"
#include "Utilities/Replay/Generators.h"

#include <iostream>

#include <boost/test/unit_test.hpp>

using namespace cornellift::replay;

// With one straggler, the p99 response time must be at most half of the best baseline's.
BOOST_AUTO_TEST_CASE(StragglerTailIsHalfOfTheBestBaseline) {
  GeneratorOptions Options;
  Options.Workload = "alarcon";
  Options.Scenario = "straggler";
  Options.Seed = 1;
  auto Input = generateTrace(Options);
  BOOST_REQUIRE(Input);
  auto Runs = compare(*Input, presetNames(), std::nullopt);
  BOOST_TEST(checkExpectations(Input->Expectations, Runs.front().Figures, std::cout));
}
