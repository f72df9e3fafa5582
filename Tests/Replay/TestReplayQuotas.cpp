#include "Utilities/Replay/Comparison.h"
#include "Utilities/Replay/Generators.h"

#include <iostream>

#include <boost/test/unit_test.hpp>

using namespace cornellift::replay;

// No team may exceed its quota for longer than 5 s while others wait. Checked with many teams of
// unequal quotas on several entry VMs.
BOOST_AUTO_TEST_CASE(NoTeamStaysOverItsQuota) {
  GeneratorOptions Options;
  Options.Scenario = "burst";
  Options.Load = 0.95;
  Options.Seconds = 60;
  Options.EntryVms = 8;
  Options.Teams = 58;
  auto Input = generateTrace(Options);
  BOOST_REQUIRE(Input);
  std::vector<std::string> Policies{"default"};
  auto Runs = compare(*Input, Policies, std::nullopt, Planning::None);
  BOOST_TEST(checkExpectations(Input->Expectations, Runs.front().Figures, std::cout));
}
