#include "Libraries/LibConfiguration/Document.h"
#include "Libraries/LibCore/Reason.h"
#include "Utilities/Replay/Comparison.h"
#include "Utilities/Replay/Generators.h"
#include "Utilities/Replay/Workload.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::replay;

namespace {

Trace readFile(const std::filesystem::path &File) {
  std::ifstream Input(File);
  auto Result = readTrace(Input);
  BOOST_REQUIRE_MESSAGE(Result, File << ": " << core::lastReason().Message);
  return *Result;
}

/// The baselines run only when an expectation compares with them.
std::vector<std::string> policiesFor(const Trace &Input) {
  bool IsRelative = std::any_of(Input.Expectations.begin(), Input.Expectations.end(),
                                [](const auto &Known) { return Known.Metric == "p99_gain"; });
  return IsRelative ? presetNames() : std::vector<std::string>{"default"};
}

} // namespace

// Guards against a change to a policy or rule that breaks the expectations of a recorded trace.
BOOST_AUTO_TEST_CASE(RecordedTracesMeetTheirExpectations) {
  constexpr int RecordedFaults = 12;
  int Files = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(CORNELLIFT_RECORDED)) {
    auto Input = readFile(Entry.path());
    BOOST_TEST_CONTEXT(Entry.path().filename()) {
      auto Runs = compare(Input, policiesFor(Input), std::nullopt);
      BOOST_TEST(!Input.Expectations.empty());
      BOOST_TEST(checkExpectations(Input.Expectations, Runs.front().Figures, std::cout));
    }
    ++Files;
  }
  BOOST_TEST(Files >= RecordedFaults);
}

// Guards against a scaled configuration that an entry VM rejects, or whose endpoints, teams or
// services differ from those of its trace.
BOOST_AUTO_TEST_CASE(ScaledConfigurationFitsItsTrace) {
  for (const char *Name : {"slipworks", "alarcon"}) {
    std::ifstream File(std::string(CORNELLIFT_EXAMPLES) + "/" + Name + ".json");
    GeneratorOptions Options;
    Options.Configuration = nlohmann::json::parse(File);
    Options.Workers = 12;
    Options.Seconds = 2;
    auto Input = generateTrace(Options);
    BOOST_REQUIRE_MESSAGE(Input, core::lastReason().Message);
    auto Policy = findPreset("two-choices");
    auto Scaled = configuration::Document::fromJson(
        scaledDocument(Options.Configuration, *Input, 17301, *Policy));
    BOOST_REQUIRE_MESSAGE(Scaled, core::lastReason().Message);
    auto Known = Scaled->toKernelConfiguration(1);
    BOOST_TEST(Known.Policy.Placement == "two-choices");
    BOOST_TEST(Known.Endpoints.size() == Input->Workers.size());
    BOOST_TEST(Known.Teams.size() == Input->Teams.size());
    BOOST_TEST(Known.Services.size() == Input->Services.size());
  }
}
