#include "Utilities/Load/LoadPlan.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornellift;

namespace {

replay::Trace makeTrace() {
  replay::Trace Result;
  Result.Services = {{"slips", 20, {{"reprint", 150, {1, 512, 0}}}}};
  Result.Teams = {{"counter", 1}};
  replay::TraceJob Job;
  Job.At = 250;
  Job.Tasks = {{300, 30, {2, 2048, 0}, {1, 1024, 0}}};
  Result.Jobs = {Job};
  return Result;
}

} // namespace

// Guards against endpoints that run for the declared run time instead of the true one, and against
// revealing the true run time to the entry VM.
BOOST_AUTO_TEST_CASE(TrueRunTimesGoToTheEndpointOnly) {
  auto Plan = load::planTrace(makeTrace(), {{"counter", "secret"}});
  BOOST_REQUIRE(Plan && Plan->size() == 1);
  const auto &Job = Plan->front();
  BOOST_TEST(Job.Key == "secret");
  BOOST_TEST(core::toMilliseconds(Job.At) == 250);
  auto Body = nlohmann::json::parse("{" + Job.Body + "}");
  BOOST_TEST(Body["service"] == "slips");
  BOOST_TEST(Body["kind"] == "reprint");
  const auto &Task = Body["tasks"][0];
  BOOST_TEST(Task["run_ms"] == 30);
  BOOST_TEST(Task["memory_mb"] == 2048);
  auto Payload = nlohmann::json::parse(Task["payload"].get<std::string>());
  BOOST_TEST(Payload["run_ms"] == 300);
  BOOST_TEST(Payload["memory_mb"] == 1024);
}

// Guards against planning jobs of a team without a key, which every entry VM would reject.
BOOST_AUTO_TEST_CASE(EveryTeamNeedsAKey) { BOOST_TEST(!load::planTrace(makeTrace(), {})); }
