#include "Services/PoolDaemon/PlacementReport.h"
#include "Utilities/Operator/Tables.h"

#include <limits>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;

namespace {

PlacementExplanation explanation() {
  PlacementExplanation Explained;
  Explained.ObjectiveMilliseconds = 210.04;
  Explained.UsefulMilliseconds = std::numeric_limits<double>::infinity();
  Explained.StepCount = 1;
  StepExplanation Step;
  Step.Tasks = 4;
  Step.DataRack = "r\"1";
  Step.TypicalMilliseconds = 100;
  Step.Outlook = TaskOutlook::WaitsForData;
  Step.EligibleCount = 1;
  Step.Places = 2;
  Step.Eligible.push_back({"far", "yaba", PeerIndex{3}, 305, 2, false, true, false});
  Step.Excluded[Exclusion::Draining] = {5, {"a", "b"}};
  Step.Wait = {25, 2, 125, 4, 200, 180, {}};
  Explained.Steps.push_back(Step);
  return Explained;
}

nlohmann::json report(const PlacementExplanation &Explained) {
  return nlohmann::json::parse(pool::renderPlacement(
      {"ikeja-1", "r", "slips", 7, [](PeerIndex) { return std::string("yaba-2"); }}, Explained));
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Guards against a report that is no JSON because of a name or a number, and against a report
// without the manager that a task would be delegated to.
BOOST_AUTO_TEST_CASE(ReportIsJsonWithAllParts) {
  auto Report = report(explanation());
  BOOST_TEST(Report.at("useful_ms").is_null());
  BOOST_TEST(Report.at("objective_ms") == 210.0);
  const auto &Step = Report.at("steps").at(0);
  BOOST_TEST(Step.at("data_rack") == "r\"1");
  BOOST_TEST(Step.at("eligible").at(0).at("manager") == "yaba-2");
  BOOST_TEST(Step.at("excluded").at(0).at("workers") == 5);
  BOOST_TEST(!Report.at("unknown").empty());
}

// Guards against a text that leaves out the decision, or what isn't known.
BOOST_AUTO_TEST_CASE(TextHasTheDecisionAndItsReasons) {
  std::ostringstream Out;
  operators::printPlacement(Out, report(explanation()));
  auto Text = Out.str();
  for (const char *Part :
       {"manager ikeja-1", "admission: admitted", "step 1 of 1: 4 tasks", "waits_for_data",
        "room in 25.0 ms", "4 tasks wait for it, at most 200.0 ms", "yaba-2", "305.0",
        "draining  5        a, b", "not known:\n"})
    BOOST_TEST(contains(Text, Part), Part << " not in\n" << Text);
}
