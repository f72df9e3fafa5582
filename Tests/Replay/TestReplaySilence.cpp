#include "Utilities/Replay/Comparison.h"
#include "Utilities/Replay/Generators.h"

#include <iostream>

#include <boost/test/unit_test.hpp>

using namespace cornellift::replay;

// A task on a silent connection must be found within twice its expected run time.
BOOST_AUTO_TEST_CASE(SilentConnectionIsFoundInTime) {
  GeneratorOptions Options;
  Options.Scenario = "silent";
  Options.Seed = 1;
  auto Input = generateTrace(Options);
  BOOST_REQUIRE(Input);
  std::vector<std::string> Policies{"default"};
  auto Runs = compare(*Input, Policies, std::nullopt, Planning::None);
  BOOST_TEST(checkExpectations(Input->Expectations, Runs.front().Figures, std::cout));
}
