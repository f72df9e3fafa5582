#include "Kernel/Jobs/Recovery.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift::kernel;

namespace {

constexpr std::uint32_t MaximumTasks = 100;

TaskResult result(const char *Text) { return std::make_shared<const std::string>(Text); }

RecordedTask finished(std::uint32_t Index, std::uint32_t Count, const char *Text) {
  return {Index, Count, RecordedState::Finished, result(Text)};
}

EndpointRecords answered(std::vector<RecordedTask> Tasks) {
  return {{}, EndpointRecords::Reply::Answered, std::move(Tasks)};
}

EndpointRecords silent() { return {{}, EndpointRecords::Reply::NoAnswer, {}}; }

std::vector<TaskOutcome> tasksOf(std::vector<EndpointRecords> Records) {
  auto Recovered = recoverOutcome(Records, MaximumTasks);
  BOOST_REQUIRE(std::holds_alternative<MayHaveRun>(Recovered));
  return std::get<MayHaveRun>(Recovered).Tasks;
}

} // namespace

BOOST_AUTO_TEST_CASE(ResultsOfAllTasksAreComplete) {
  EndpointRecords Records[] = {answered({finished(1, 2, "b")}), silent(),
                               answered({finished(0, 2, "a")})};
  auto Recovered = recoverOutcome(Records, MaximumTasks);
  BOOST_REQUIRE(std::holds_alternative<Complete>(Recovered));
  const auto &Results = std::get<Complete>(Recovered).Results;
  BOOST_REQUIRE(Results.size() == 2);
  BOOST_TEST(*Results[0] == "a");
  BOOST_TEST(*Results[1] == "b");
}

// Guards against a Complete outcome with missing results, and against "not run" for a task without
// a record: its endpoint may have restarted.
BOOST_AUTO_TEST_CASE(MissingTasksMayHaveRun) {
  using enum TaskOutcome;
  auto Tasks = tasksOf({answered({finished(0, 4, "a"), {1, 4, RecordedState::Failed, nullptr}}),
                        answered({{2, 4, RecordedState::Running, nullptr},
                                  {3, 0, RecordedState::FencedBeforeStart, nullptr}})});
  BOOST_TEST((Tasks == std::vector<TaskOutcome>{Finished, Failed, MayHaveRun, MayHaveRun}));
  BOOST_TEST(tasksOf({answered({}), answered({})}).empty());
  BOOST_TEST(tasksOf({}).empty());
}

// Guards against an outcome derived from records that cannot belong to one run of the job.
BOOST_AUTO_TEST_CASE(ContradictoryRecordsAreDiscarded) {
  using enum TaskOutcome;
  auto Tasks = tasksOf({answered({finished(0, 2, "a"), finished(1, 2, "b")}),
                        answered({finished(1, 2, "other")}), answered({finished(1, 2, "b")})});
  BOOST_TEST((Tasks == std::vector<TaskOutcome>{Finished, MayHaveRun}));
  BOOST_TEST(tasksOf({answered({finished(0, 1, "a")}), answered({finished(1, 2, "b")})}).empty());
  BOOST_TEST(tasksOf({answered({finished(0, MaximumTasks + 1, "a")})}).empty());
  BOOST_TEST(tasksOf({answered({finished(7, 1, "a")})}).size() == 1);
}
