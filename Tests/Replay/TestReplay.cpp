#include "Libraries/LibCore/Reason.h"
#include "Utilities/Replay/Comparison.h"
#include "Utilities/Replay/Generators.h"
#include "Utilities/Replay/ReplayRun.h"

#include <iostream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::replay;

namespace {

Trace makeTrace(std::string Workload, std::string Scenario, double Seconds) {
  GeneratorOptions Options;
  Options.Workload = std::move(Workload);
  Options.Scenario = std::move(Scenario);
  Options.Seconds = Seconds;
  Options.Seed = 1;
  auto Result = generateTrace(Options);
  BOOST_REQUIRE(Result);
  return *Result;
}

/// Replays the default policy, and the baselines when an expectation compares with them.
void replayAndCheck(const Trace &Input) {
  std::vector<std::string> Policies{"default"};
  for (const auto &Expected : Input.Expectations)
    if (Expected.Metric == "p99_gain")
      Policies = presetNames();
  auto Runs = compare(Input, Policies, std::nullopt);
  BOOST_TEST(!Input.Expectations.empty());
  BOOST_TEST(checkExpectations(Input.Expectations, Runs.front().Figures, std::cout), Input.Name);
}

std::vector<double> responses(const Trace &Input) {
  std::vector<double> Result;
  for (const auto &Outcome : ReplayRun(Input, {}, std::nullopt).run().Jobs)
    Result.push_back(Outcome.Response);
  return Result;
}

} // namespace

// Each guards against a change that breaks the expectations of the generated scenario.
BOOST_AUTO_TEST_CASE(BurstOutcome) { replayAndCheck(makeTrace("slipworks", "burst", 12)); }
BOOST_AUTO_TEST_CASE(BlackHoleOutcome) { replayAndCheck(makeTrace("alarcon", "black-hole", 20)); }
BOOST_AUTO_TEST_CASE(StragglersOutcome) { replayAndCheck(makeTrace("alarcon", "stragglers", 40)); }
BOOST_AUTO_TEST_CASE(CancelWaveOutcome) {
  replayAndCheck(makeTrace("slipworks", "cancel-wave", 12));
}
BOOST_AUTO_TEST_CASE(DeclarationsOutcome) {
  replayAndCheck(makeTrace("alarcon", "declarations", 40));
}
BOOST_AUTO_TEST_CASE(DataCentreLostOutcome) {
  replayAndCheck(makeTrace("slipworks", "data-centre-lost", 12));
}
BOOST_AUTO_TEST_CASE(EntryVmLostOutcome) {
  replayAndCheck(makeTrace("slipworks", "entry-vm-lost", 12));
}
BOOST_AUTO_TEST_CASE(StoreAwayOutcome) { replayAndCheck(makeTrace("slipworks", "store-away", 12)); }
BOOST_AUTO_TEST_CASE(FlappingOutcome) { replayAndCheck(makeTrace("slipworks", "flapping", 12)); }
BOOST_AUTO_TEST_CASE(ImpossibleAndBadJobsOutcome) {
  replayAndCheck(makeTrace("slipworks", "impossible-and-bad", 12));
}

// Guards against a comment on the burst that states a longer time after it than the trace has.
BOOST_AUTO_TEST_CASE(BurstLeavesTheStatedTime) {
  auto Left = [](double Seconds) {
    GeneratorOptions Options;
    Options.Scenario = "burst";
    Options.Workers = 1;
    Options.Seconds = Seconds;
    auto Result = generateTrace(Options);
    BOOST_REQUIRE(Result);
    return Seconds - Result->BurstEnd / 1000;
  };
  BOOST_TEST(Left(700) == 470, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Left(886) >= 600);
  BOOST_TEST(Left(885) < 600);
}

// Guards against decisions that depend on addresses, hash seeds or the real clock.
BOOST_AUTO_TEST_CASE(SameSeedGivesSameResponses) {
  auto Input = makeTrace("slipworks", "flapping", 8);
  Input.EntryVms = 3;
  BOOST_TEST((responses(Input) == responses(Input)));
}

// Guards against fields that are written to a trace but not read back.
BOOST_AUTO_TEST_CASE(WrittenTraceReadsBack) {
  auto Input = makeTrace("alarcon", "entry-vm-lost", 2);
  std::stringstream First;
  writeTrace(Input, First);
  auto Read = readTrace(First);
  BOOST_REQUIRE(Read);
  std::stringstream Second;
  writeTrace(*Read, Second);
  BOOST_TEST(First.str() == Second.str());
}

// Guards against a malformed line that is skipped without an error.
BOOST_AUTO_TEST_CASE(ErrorInATraceNamesTheLine) {
  std::istringstream Input("{\"type\":\"team\",\"name\":\"a\",\"share\":1}\n{\"type\":\"wat\"}\n");
  BOOST_TEST(!readTrace(Input));
  BOOST_TEST(core::lastReason().Message.find("line 2") != std::string::npos);
}
