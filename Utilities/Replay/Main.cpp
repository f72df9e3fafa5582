#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Settings.h"
#include "Utilities/Replay/Comparison.h"
#include "Utilities/Replay/CostMeasurement.h"
#include "Utilities/Replay/Generators.h"
#include "Utilities/Replay/Plots.h"
#include "Utilities/Replay/Recording.h"
#include "Utilities/Replay/Workload.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <span>

namespace {

using namespace cornellift;
using core::ExitStatus;
using core::SettingType;

constexpr const char *Program = "cornellift-replay";

const core::SettingSpec Specs[] = {
    {"trace", "File of JSON lines to replay; empty to generate", SettingType::Text, ""},
    {"workload", "Generated workload: slipworks or alarcon", SettingType::Text, "slipworks"},
    {"configuration", "Document whose services, teams and endpoints replace the workload's",
     SettingType::Text, ""},
    {"write-configuration", "With --configuration: write the scaled document to this file and exit",
     SettingType::Text, ""},
    {"first-port", "First port of the endpoints in the scaled document", SettingType::Integer,
     "17301", 1, 65000},
    {"scenario", "Generated scenario; docs/TRACES.md lists them", SettingType::Text, "calm"},
    {"load", "Offered work over the capacity of the workers", SettingType::Real, "0.7", 0.01, 10},
    {"seconds", "Time span of the arrivals in seconds", SettingType::Real, "40", 1, 100000},
    {"workers", "Number of workers", SettingType::Integer, "50", 1, 10000},
    {"entry-vms", "Number of entry VMs", SettingType::Integer, "1", 1, 1000},
    {"teams", "Number of teams, with unequal shares; 0 for the workload's", SettingType::Integer,
     "0", 0, 1000},
    {"data-centres", "Number of data centres; 0 for the workload's", SettingType::Integer, "0", 0,
     100},
    {"run-time-scale", "Multiplies the medians of the run times", SettingType::Real, "1", 0.01,
     100},
    {"seed", "Seed of the trace and of the policies", SettingType::Integer, "1"},
    {"write-trace", "Write the trace to this file and exit", SettingType::Text, ""},
    {"record",
     "Replay the rounded trace under every policy, write it to this file with the counts "
     "that all of them agree on as its outcome, and exit",
     SettingType::Text, ""},
    {"policies", "Comma-separated policies, the checked one first; all for every one",
     SettingType::Text, "all"},
    {"message-costs", "Comma-separated milliseconds: replay the first policy with each",
     SettingType::Text, ""},
    {"format", "text, csv or json", SettingType::Text, "text"},
    {"plots", "Directory for plot data and gnuplot scripts; empty for none", SettingType::Text, ""},
    {"without-ideal", "Do not plan the clairvoyant schedule", SettingType::Flag, "false"},
    {"check", "Exit with 1 unless the trace's expectations hold", SettingType::Flag, "false"},
    {"cost", "Measure decision times and memory instead of a replay", SettingType::Flag, "false"},
};

/// Returns JSON null when no document is given, and an empty optional with NotFound when the file
/// holds no JSON object.
std::optional<nlohmann::json> readConfiguration(const core::Settings &Settings) {
  const auto &File = Settings.text("configuration");
  if (File.empty())
    return nlohmann::json();
  std::ifstream Input(File);
  auto Document = nlohmann::json::parse(Input, nullptr, false);
  if (!Document.is_object())
    return core::fail(core::ErrorKind::NotFound, "no JSON object in " + File + "; check the path");
  return Document;
}

std::optional<replay::Trace> makeTrace(const core::Settings &Settings) {
  if (const auto &File = Settings.text("trace"); !File.empty()) {
    std::ifstream Input(File);
    if (!Input)
      return core::fail(core::ErrorKind::NotFound, "cannot read " + File + "; check the path");
    return replay::readTrace(Input);
  }
  auto Document = readConfiguration(Settings);
  if (!Document)
    return std::nullopt;
  replay::GeneratorOptions Options;
  Options.Configuration = std::move(*Document);
  Options.Workload = Settings.text("workload");
  Options.Scenario = Settings.text("scenario");
  Options.Load = Settings.real("load");
  Options.Seconds = Settings.real("seconds");
  Options.Workers = static_cast<std::uint32_t>(Settings.integer("workers"));
  Options.Teams = static_cast<std::uint32_t>(Settings.integer("teams"));
  Options.DataCentres = static_cast<std::uint32_t>(Settings.integer("data-centres"));
  Options.RunTimeScale = Settings.real("run-time-scale");
  Options.EntryVms = static_cast<std::uint32_t>(Settings.integer("entry-vms"));
  Options.Seed = static_cast<std::uint64_t>(Settings.integer("seed"));
  return replay::generateTrace(Options);
}

std::optional<std::vector<std::string>> choosePresets(const core::Settings &Settings) {
  if (Settings.text("policies") == "all")
    return replay::presetNames();
  auto Names = Settings.list("policies");
  for (const auto &Name : Names)
    if (!replay::findPreset(Name))
      return std::nullopt;
  return Names;
}

int replayMessageCosts(const replay::Trace &Input, const core::Settings &Settings,
                       std::span<const std::string> Presets) {
  std::vector<replay::MessageCostPoint> Points;
  std::cout << "message_cost_ms  wasted_per_task  mean_ratio  p99_ratio\n";
  for (const auto &Text : Settings.list("message-costs")) {
    double Cost = 0;
    if (std::from_chars(Text.data(), Text.data() + Text.size(), Cost).ec != std::errc())
      return core::reportBadUsage(Program);
    auto Runs = replay::compare(Input, Presets.first(1), Cost);
    auto &Values = Runs.front().Figures.Values;
    Points.push_back({Cost, Values["wasted_per_task"], Values["mean_ratio"], Values["p99_ratio"]});
    std::cout << Cost << "  " << Points.back().WastedPerTask << "  " << Points.back().MeanRatio
              << "  " << Points.back().P99Ratio << std::endl;
  }
  const auto &Plots = Settings.text("plots");
  if (!Plots.empty() && !replay::writeMessageCostPlot(Plots, Points))
    return core::reportBadUsage(Program);
  return static_cast<int>(ExitStatus::Success);
}

int replayAll(const replay::Trace &Input, const core::Settings &Settings,
              std::span<const std::string> Presets, replay::ReportFormat Format) {
  auto Mode =
      Settings.flag("without-ideal") ? replay::Planning::None : replay::Planning::Clairvoyant;
  auto Runs = replay::compare(Input, Presets, std::nullopt, Mode);
  std::vector<replay::PolicyFigures> Figures;
  Figures.reserve(Runs.size());
  for (const auto &Run : Runs)
    Figures.push_back(Run.Figures);
  replay::writeReport(Input.Name, Figures, Format, std::cout);
  const auto &Plots = Settings.text("plots");
  if (!Plots.empty() && !replay::writePlots(Plots, Runs))
    return core::reportBadUsage(Program);
  auto &CheckOutput = Format == replay::ReportFormat::Text ? std::cout : std::cerr;
  bool Holds = replay::checkExpectations(Input.Expectations, Figures.front(), CheckOutput);
  bool Fails = Settings.flag("check") && !Holds;
  return static_cast<int>(Fails ? ExitStatus::RequestFailed : ExitStatus::Success);
}

int recordTrace(replay::Trace Input, const std::string &File) {
  replay::roundTrace(Input);
  auto Figures = replay::addPolicyIndependentCounts(Input);
  std::ofstream Output(File);
  replay::writeTrace(Input, Output);
  bool Holds = replay::checkExpectations(Input.Expectations, Figures, std::cout);
  return static_cast<int>(Output && Holds ? ExitStatus::Success : ExitStatus::RequestFailed);
}

int writeConfiguration(const replay::Trace &Input, const core::Settings &Settings,
                       const std::string &Preset, const std::string &File) {
  auto Document = readConfiguration(Settings);
  auto Policy = replay::findPreset(Preset);
  if (!Document || Document->is_null() || !Policy) {
    core::fail(core::ErrorKind::Malformed, "--write-configuration needs --configuration");
    return core::reportBadUsage(Program);
  }
  std::ofstream Output(File);
  auto FirstPort = static_cast<int>(Settings.integer("first-port"));
  Output << replay::scaledDocument(std::move(*Document), Input, FirstPort, *Policy).dump(1) << '\n';
  return static_cast<int>(Output ? ExitStatus::Success : ExitStatus::RequestFailed);
}

} // namespace

int main(int Count, char **Arguments) {
  auto Settings = core::Settings::parse(
      Program, "Replays traces through the kernel on a virtual clock", Specs,
      std::span<const char *const>(Arguments, static_cast<std::size_t>(Count)));
  if (!Settings)
    return core::reportBadUsage(Program);
  if (Settings->flag("cost")) {
    replay::measureCost(static_cast<std::uint64_t>(Settings->integer("seed")),
                        Settings->real("load"), std::cout);
    return static_cast<int>(ExitStatus::Success);
  }
  auto Format = replay::parseFormat(Settings->text("format"));
  auto Presets = choosePresets(*Settings);
  auto Input = Format && Presets && !Presets->empty() ? makeTrace(*Settings) : std::nullopt;
  if (!Input)
    return core::reportBadUsage(Program);
  if (const auto &File = Settings->text("write-trace"); !File.empty()) {
    std::ofstream Output(File);
    replay::writeTrace(*Input, Output);
    return static_cast<int>(Output ? ExitStatus::Success : ExitStatus::RequestFailed);
  }
  if (const auto &File = Settings->text("record"); !File.empty())
    return recordTrace(std::move(*Input), File);
  if (const auto &File = Settings->text("write-configuration"); !File.empty())
    return writeConfiguration(*Input, *Settings, Presets->front(), File);
  if (!Settings->text("message-costs").empty())
    return replayMessageCosts(*Input, *Settings, *Presets);
  return replayAll(*Input, *Settings, *Presets, *Format);
}
