#include "Utilities/Load/LoadPlan.h"

#include "Libraries/LibCore/Reason.h"

#include <random>
#include <utility>

#include <nlohmann/json.hpp>

namespace cornellift::load {
namespace {

using Json = nlohmann::json;

std::string bodyText(const std::string &Service, const std::string &Kind, const Json &Tasks) {
  return R"("service":")" + Service + R"(","kind":")" + Kind + R"(","tasks":)" + Tasks.dump();
}

Json taskJson(const replay::TraceTask &Task) {
  Json Payload{{"run_ms", Task.True},
               {"processors", Task.TrueSize.Processors},
               {"memory_mb", Task.TrueSize.MemoryMegabytes}};
  return {{"payload", Payload.dump()},
          {"run_ms", Task.Declared},
          {"processors", Task.DeclaredSize.Processors},
          {"memory_mb", Task.DeclaredSize.MemoryMegabytes}};
}

} // namespace

std::vector<PlannedJob> planUniform(const UniformJobs &Options) {
  Json Tasks = Json::array();
  for (std::uint32_t Count = 0; Count < Options.TasksPerJob; ++Count)
    Tasks.push_back({{"payload", Json({{"run_ms", Options.RunMilliseconds}}).dump()},
                     {"run_ms", Options.RunMilliseconds}});
  auto Body = bodyText(Options.Service, Options.Kind, Tasks);
  std::mt19937_64 Random(Options.Seed);
  std::exponential_distribution<double> Gap(Options.JobsPerSecond);
  std::vector<PlannedJob> Plan;
  double Seconds = 0;
  for (std::uint64_t Count = 0; Count < Options.Jobs; ++Count) {
    Seconds += Gap(Random);
    Plan.push_back(
        {core::fromMilliseconds(Seconds * 1000), Options.Key, Body, Options.TasksPerJob});
  }
  return Plan;
}

std::optional<std::vector<PlannedJob>>
planTrace(const replay::Trace &Content, const std::map<std::string, std::string> &KeysOfTeams) {
  std::vector<PlannedJob> Plan;
  for (const auto &Job : Content.Jobs) {
    const auto &Team = Content.Teams[Job.Team].Name;
    auto Key = KeysOfTeams.find(Team);
    if (Key == KeysOfTeams.end())
      return core::fail(core::ErrorKind::Malformed,
                        "the team " + Team + " has no key; add it to --team-keys");
    Json Tasks = Json::array();
    for (const auto &Task : Job.Tasks)
      Tasks.push_back(taskJson(Task));
    const auto &Service = Content.Services[Job.Service];
    Plan.push_back({core::fromMilliseconds(Job.At), Key->second,
                    bodyText(Service.Name, Service.Kinds[Job.Kind].Name, Tasks),
                    static_cast<std::uint32_t>(Job.Tasks.size())});
  }
  return Plan;
}

} // namespace cornellift::load
