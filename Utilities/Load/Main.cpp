#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Settings.h"
#include "Utilities/Load/EntryProbe.h"
#include "Utilities/Load/LoadReport.h"
#include "Utilities/Load/LoadRun.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <span>

using namespace cornellift;
using core::SettingType;

namespace {

constexpr std::string_view Program = "cornellift-load";

const core::SettingSpec Specs[] = {
    {"entry", "Addresses and ports of entry VMs, separated by commas", SettingType::Text,
     "127.0.0.1:8080"},
    {"key", "The team's key", SettingType::Text, ""},
    {"entry-pids", "Process ids of the entry processes, to measure their processor time",
     SettingType::Text, ""},
    {"trace", "Trace whose jobs are sent instead of identical ones; see docs/TRACES.md",
     SettingType::Text, ""},
    {"team-keys", "With --trace: keys of its teams as TEAM=KEY,...", SettingType::Text, ""},
    {"service", "Service of the jobs", SettingType::Text, "slips"},
    {"kind", "Kind of the jobs", SettingType::Text, "branch-batch"},
    {"jobs", "Number of jobs", SettingType::Integer, "1000", 1, 1000000},
    {"tasks", "Tasks of each job", SettingType::Integer, "1", 1, 10000},
    {"run-ms", "Run time of each task in milliseconds", SettingType::Real, "50", 0, 60000},
    {"rate", "Mean arrivals of jobs per second", SettingType::Real, "100", 0.01, 100000},
    {"seed", "Seed of the arrival times", SettingType::Integer, "1"},
    {"connections", "Connections, which limit the jobs in flight", SettingType::Integer, "64", 1,
     2000},
    {"longest-ms", "End of the run in milliseconds", SettingType::Integer, "60000", 1, 600000},
    {"format", "text, csv or json", SettingType::Text, "text"},
};

/// The first counter is all starts; the others count wasted messages.
const std::vector<std::string> MessageCounters = {
    "cornellift_starts_total",           "cornellift_starts_refused_total",
    "cornellift_starts_unwritten_total", "cornellift_task_questions_total",
    "cornellift_task_fences_total",      "cornellift_endpoint_probes_total"};
const std::vector<std::string> MessageNames = {"starts",         "refused", "unwritten",
                                               "status_queries", "fences",  "probes"};

std::vector<load::PlannedJob> planUniform(const core::Settings &Settings) {
  load::UniformJobs Options;
  Options.Key = Settings.text("key");
  Options.Service = Settings.text("service");
  Options.Kind = Settings.text("kind");
  Options.Jobs = static_cast<std::uint64_t>(Settings.integer("jobs"));
  Options.TasksPerJob = static_cast<std::uint32_t>(Settings.integer("tasks"));
  Options.RunMilliseconds = Settings.real("run-ms");
  Options.JobsPerSecond = Settings.real("rate");
  Options.Seed = static_cast<std::uint64_t>(Settings.integer("seed"));
  return load::planUniform(Options);
}

/// Returns a trace without a name when --trace is not given.
std::optional<replay::Trace> readTrace(const core::Settings &Settings) {
  const auto &File = Settings.text("trace");
  if (File.empty())
    return replay::Trace();
  std::ifstream Input(File);
  if (!Input)
    return core::fail(core::ErrorKind::NotFound, "cannot read " + File + "; check the path");
  return replay::readTrace(Input);
}

std::optional<std::vector<load::PlannedJob>> makePlan(const core::Settings &Settings,
                                                      const replay::Trace &Content) {
  if (Content.Name.empty())
    return planUniform(Settings);
  std::map<std::string, std::string> Keys;
  for (const auto &Entry : Settings.list("team-keys")) {
    auto Middle = Entry.find('=');
    if (Middle == std::string::npos)
      return core::fail(core::ErrorKind::Malformed, "--team-keys: give TEAM=KEY,...");
    Keys[Entry.substr(0, Middle)] = Entry.substr(Middle + 1);
  }
  return load::planTrace(Content, Keys);
}

/// The start counter includes refused and unwritten starts; subtracts them, so that each message is
/// counted once.
void addMessages(load::LoadReport &Report, const std::vector<double> &Before,
                 const std::vector<double> &After) {
  auto Tasks = static_cast<double>(std::max<std::uint64_t>(1, Report.Tasks));
  for (std::size_t Index = 0; Index < MessageNames.size(); ++Index)
    Report.MessagesPerTask.emplace_back(MessageNames[Index],
                                        (After[Index] - Before[Index]) / Tasks);
  for (std::size_t Index : {1, 2})
    Report.MessagesPerTask[0].second -= Report.MessagesPerTask[Index].second;
}

int reportUnreachable() {
  std::cerr << Program << ": " << core::lastReason().Message << std::endl;
  return static_cast<int>(core::ExitStatus::Unreachable);
}

} // namespace

int main(int Count, char **Arguments) {
  auto Settings = core::Settings::parse(
      Program, "Sends jobs at random times and reports the overhead of the entry VMs", Specs,
      std::span<const char *const>(Arguments, static_cast<std::size_t>(Count)));
  if (!Settings)
    return core::reportBadUsage(Program);
  const auto &Format = Settings->text("format");
  if (Settings->list("entry").empty() ||
      (Format != "text" && Format != "csv" && Format != "json")) {
    core::fail(core::ErrorKind::Malformed, "give --entry addresses and --format text, csv or json");
    return core::reportBadUsage(Program);
  }
  auto Content = readTrace(*Settings);
  auto Plan = Content ? makePlan(*Settings, *Content) : std::nullopt;
  if (!Plan)
    return core::reportBadUsage(Program);
  auto Entries = Settings->list("entry");
  auto ProcessIds = Settings->list("entry-pids");
  auto MessagesBefore = load::readCounters(Entries, MessageCounters);
  auto ProcessorBefore = load::processorMicroseconds(ProcessIds);
  if (!MessagesBefore || !ProcessorBefore)
    return reportUnreachable();
  auto Connections = static_cast<std::uint32_t>(Settings->integer("connections"));
  auto RunTimeLimit = std::chrono::milliseconds(Settings->integer("longest-ms"));
  auto Report = load::LoadRun({Entries, std::move(*Plan), Connections, RunTimeLimit}).run();
  auto MessagesAfter = load::readCounters(Entries, MessageCounters);
  auto ProcessorAfter = load::processorMicroseconds(ProcessIds);
  if (!MessagesAfter || !ProcessorAfter)
    return reportUnreachable();
  addMessages(Report, *MessagesBefore, *MessagesAfter);
  Report.ProcessorMeasured = !ProcessIds.empty();
  Report.ProcessorMicrosecondsPerTask =
      (*ProcessorAfter - *ProcessorBefore) /
      static_cast<double>(std::max<std::uint64_t>(1, Report.Tasks));
  if (!Content->Name.empty())
    load::compareWithIdeal(Report, *Content);
  std::cout << load::renderReport(std::move(Report), Format) << std::flush;
  return 0;
}
