#include "Utilities/Replay/Trace.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <ostream>
#include <type_traits>

#include <nlohmann/json.hpp>

namespace cornellift::replay {
namespace {

using Json = nlohmann::json;
using State = WorkerChange::State;

const std::array<std::pair<State, const char *>, 3> StateNames{
    {{State::Normal, "normal"}, {State::FailsAll, "fails_all"}, {State::Down, "down"}}};

const char *nameOf(State Value) {
  for (const auto &[Known, Name] : StateNames)
    if (Known == Value)
      return Name;
  return "";
}

State stateOf(const std::string &Text) {
  for (const auto &[Known, Name] : StateNames)
    if (Text == Name)
      return Known;
  throw std::invalid_argument("unknown state \"" + Text + "\"; use normal, fails_all or down");
}

Json sizeJson(const kernel::Resources &Size) {
  return {Size.Processors, Size.MemoryMegabytes, Size.Accelerators};
}

kernel::Resources sizeOf(const Json &Value) {
  return {Value.at(0).get<double>(), Value.at(1).get<double>(), Value.at(2).get<double>()};
}

Json taskJson(const TraceTask &Task) {
  return {Task.True, Task.Declared, sizeJson(Task.DeclaredSize), sizeJson(Task.TrueSize)};
}

TraceTask taskOf(const Json &Value) {
  return {Value.at(0).get<double>(), Value.at(1).get<double>(), sizeOf(Value.at(2)),
          sizeOf(Value.at(3))};
}

void readHeader(const Json &Line, Trace &Result) {
  Result.Name = Line.at("name").get<std::string>();
  Result.Seed = Line.at("seed").get<std::uint64_t>();
  Result.OneWay = Line.at("one_way_ms").get<double>();
  Result.WarmUp = Line.value("warm_up_ms", 0.0);
  Result.BurstEnd = Line.value("burst_end_ms", -1.0);
  Result.EntryVms = Line.value("entry_vms", 1U);
}

void readService(const Json &Line, Trace &Result) {
  TraceService Service;
  Service.Name = Line.at("name").get<std::string>();
  Service.MessageCost = Line.value("message_cost_ms", 1.0);
  for (const auto &Kind : Line.at("kinds"))
    Service.Kinds.push_back({Kind.at("name").get<std::string>(),
                             Kind.at("expected_ms").get<double>(), sizeOf(Kind.at("needed"))});
  Result.Services.push_back(std::move(Service));
}

void readTeam(const Json &Line, Trace &Result) {
  Result.Teams.push_back({Line.at("name").get<std::string>(), Line.at("share").get<double>()});
}

void readWorker(const Json &Line, Trace &Result) {
  Result.Workers.push_back({Line.at("name").get<std::string>(),
                            Line.at("data_centre").get<std::string>(), Line.value("slots", 8U),
                            sizeOf(Line.at("capacity")), Line.at("speed").get<double>()});
}

void readJob(const Json &Line, Trace &Result) {
  TraceJob Job;
  Job.At = Line.at("at_ms").get<double>();
  Job.Label = Line.value("label", "");
  Job.Team = Line.at("team").get<std::uint32_t>();
  Job.Service = Line.at("service").get<std::uint32_t>();
  Job.Kind = Line.at("kind").get<std::uint32_t>();
  Job.Nature = Line.value("failing", false) ? JobNature::Failing : JobNature::Good;
  if (Line.contains("deadline_ms"))
    Job.Deadline = Line.at("deadline_ms").get<double>();
  for (const auto &Task : Line.at("tasks"))
    Job.Tasks.push_back(taskOf(Task));
  if (Job.Team >= Result.Teams.size() || Job.Service >= Result.Services.size() ||
      Job.Kind >= Result.Services[Job.Service].Kinds.size() || Job.Tasks.empty())
    throw std::invalid_argument("the job has no tasks, or names a team, service or kind that no "
                                "earlier line defines");
  Result.Jobs.push_back(std::move(Job));
}

std::uint32_t workerOf(const Json &Line, const Trace &Known) {
  auto Worker = Line.at("worker").get<std::uint32_t>();
  if (Worker >= Known.Workers.size())
    throw std::invalid_argument("no earlier line defines that worker");
  return Worker;
}

void readSpeed(const Json &Line, Trace &Result) {
  Result.Changes.push_back({Line.at("at_ms").get<double>(),
                            SpeedChange{workerOf(Line, Result), Line.at("speed").get<double>()}});
}

void readWorkerChange(const Json &Line, Trace &Result) {
  Result.Changes.push_back(
      {Line.at("at_ms").get<double>(),
       WorkerChange{workerOf(Line, Result), stateOf(Line.at("state").get<std::string>())}});
}

void readDataCentreChange(const Json &Line, Trace &Result) {
  Result.Changes.push_back({Line.at("at_ms").get<double>(),
                            DataCentreChange{Line.at("data_centre").get<std::string>(),
                                             stateOf(Line.at("state").get<std::string>())}});
}

void readEntryVmLost(const Json &Line, Trace &Result) {
  Result.Changes.push_back(
      {Line.at("at_ms").get<double>(), EntryVmLost{Line.at("entry_vm").get<std::uint32_t>()}});
}

void readStore(const Json &Line, Trace &Result) {
  Result.Changes.push_back(
      {Line.at("at_ms").get<double>(), StoreChange{Line.at("answers").get<bool>()}});
}

void readCancel(const Json &Line, Trace &Result) {
  Result.Changes.push_back(
      {Line.at("at_ms").get<double>(), CancelWave{Line.at("share").get<double>()}});
}

void readSilence(const Json &Line, Trace &Result) {
  Result.Changes.push_back(
      {Line.at("at_ms").get<double>(), ConnectionsSilent{workerOf(Line, Result)}});
}

void readExpectation(const Json &Line, Trace &Result) {
  Expectation Expected;
  Expected.Metric = Line.at("metric").get<std::string>();
  if (Line.contains("at_most"))
    Expected.AtMost = Line.at("at_most").get<double>();
  if (Line.contains("at_least"))
    Expected.AtLeast = Line.at("at_least").get<double>();
  Result.Expectations.push_back(std::move(Expected));
}

using LineReader = void (*)(const Json &, Trace &);

const std::map<std::string, LineReader, std::less<>> &lineReaders() {
  static const std::map<std::string, LineReader, std::less<>> Readers{
      {"trace", readHeader},
      {"service", readService},
      {"team", readTeam},
      {"worker", readWorker},
      {"job", readJob},
      {"speed", readSpeed},
      {"worker_state", readWorkerChange},
      {"data_centre_state", readDataCentreChange},
      {"entry_vm_lost", readEntryVmLost},
      {"store", readStore},
      {"cancel", readCancel},
      {"silent", readSilence},
      {"expect", readExpectation}};
  return Readers;
}

Json changeJson(const SpeedChange &Change) {
  return {{"type", "speed"}, {"worker", Change.Worker}, {"speed", Change.Speed}};
}

Json changeJson(const WorkerChange &Change) {
  return {{"type", "worker_state"}, {"worker", Change.Worker}, {"state", nameOf(Change.Next)}};
}

Json changeJson(const DataCentreChange &Change) {
  return {{"type", "data_centre_state"},
          {"data_centre", Change.DataCentre},
          {"state", nameOf(Change.Next)}};
}

Json changeJson(const EntryVmLost &Change) {
  return {{"type", "entry_vm_lost"}, {"entry_vm", Change.EntryVm}};
}

Json changeJson(const StoreChange &Change) {
  return {{"type", "store"}, {"answers", Change.Answers}};
}

Json changeJson(const CancelWave &Change) { return {{"type", "cancel"}, {"share", Change.Share}}; }

Json changeJson(const ConnectionsSilent &Change) {
  return {{"type", "silent"}, {"worker", Change.Worker}};
}

Json serviceJson(const TraceService &Service) {
  Json Kinds = Json::array();
  for (const auto &Kind : Service.Kinds)
    Kinds.push_back(
        {{"name", Kind.Name}, {"expected_ms", Kind.Expected}, {"needed", sizeJson(Kind.Needed)}});
  return {{"type", "service"},
          {"name", Service.Name},
          {"message_cost_ms", Service.MessageCost},
          {"kinds", Kinds}};
}

Json jobJson(const TraceJob &Job) {
  Json Line{{"type", "job"},         {"at_ms", Job.At},        {"label", Job.Label},
            {"team", Job.Team},      {"service", Job.Service}, {"kind", Job.Kind},
            {"tasks", Json::array()}};
  if (Job.Nature == JobNature::Failing)
    Line["failing"] = true;
  if (Job.Deadline)
    Line["deadline_ms"] = *Job.Deadline;
  for (const auto &Task : Job.Tasks)
    Line["tasks"].push_back(taskJson(Task));
  return Line;
}

Json expectationJson(const Expectation &Expected) {
  Json Line{{"type", "expect"}, {"metric", Expected.Metric}};
  if (Expected.AtMost)
    Line["at_most"] = *Expected.AtMost;
  if (Expected.AtLeast)
    Line["at_least"] = *Expected.AtLeast;
  return Line;
}

} // namespace

std::optional<Trace> readTrace(std::istream &Input) {
  Trace Result;
  std::string Text;
  for (std::size_t Number = 1; std::getline(Input, Text); ++Number) {
    if (Text.empty())
      continue;
    try {
      auto Line = Json::parse(Text);
      auto Reader = lineReaders().find(Line.at("type").get<std::string>());
      if (Reader == lineReaders().end())
        throw std::invalid_argument("unknown type; see docs/TRACES.md");
      Reader->second(Line, Result);
    } catch (const std::exception &Error) {
      return core::fail(core::ErrorKind::Malformed,
                        "line " + std::to_string(Number) + " of the trace: " + Error.what());
    }
  }
  if (Result.Name.empty() || Result.Workers.empty() || Result.EntryVms == 0)
    return core::fail(core::ErrorKind::Malformed,
                      "the trace needs a line of type trace and one of type worker");
  auto ByTime = [](const auto &Left, const auto &Right) { return Left.At < Right.At; };
  std::stable_sort(Result.Changes.begin(), Result.Changes.end(), ByTime);
  std::stable_sort(Result.Jobs.begin(), Result.Jobs.end(), ByTime);
  return Result;
}

void writeTrace(const Trace &Content, std::ostream &Output) {
  Output << Json{{"type", "trace"},
                 {"name", Content.Name},
                 {"seed", Content.Seed},
                 {"one_way_ms", Content.OneWay},
                 {"warm_up_ms", Content.WarmUp},
                 {"burst_end_ms", Content.BurstEnd},
                 {"entry_vms", Content.EntryVms}}
         << '\n';
  for (const auto &Service : Content.Services)
    Output << serviceJson(Service) << '\n';
  for (const auto &Team : Content.Teams)
    Output << Json{{"type", "team"}, {"name", Team.Name}, {"share", Team.Share}} << '\n';
  for (const auto &Worker : Content.Workers)
    Output << Json{{"type", "worker"},
                   {"name", Worker.Name},
                   {"data_centre", Worker.DataCentre},
                   {"slots", Worker.Slots},
                   {"capacity", sizeJson(Worker.Capacity)},
                   {"speed", Worker.Speed}}
           << '\n';
  for (const auto &Change : Content.Changes) {
    auto Line = std::visit([](const auto &Kind) { return changeJson(Kind); }, Change.Content);
    Line["at_ms"] = Change.At;
    Output << Line << '\n';
  }
  for (const auto &Job : Content.Jobs)
    Output << jobJson(Job) << '\n';
  for (const auto &Expected : Content.Expectations)
    Output << expectationJson(Expected) << '\n';
}

} // namespace cornellift::replay
