#include "Utilities/Load/LoadReport.h"

#include "Utilities/Replay/Clairvoyant.h"
#include "Utilities/Replay/Report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace cornellift::load {
namespace {

double quantile(const std::vector<double> &Sorted, double Probability) {
  if (Sorted.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(std::ceil(Probability * static_cast<double>(Sorted.size())));
  return Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1];
}

double mean(const std::vector<double> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         static_cast<double>(std::max<std::size_t>(1, Values.size()));
}

std::vector<std::pair<std::string, double>> columns(const LoadReport &Report) {
  const auto &Added = Report.AddedMilliseconds;
  double All = 0;
  for (const auto &[Name, Value] : Report.MessagesPerTask)
    All += Value;
  double Starts = Report.MessagesPerTask.empty() ? 0 : Report.MessagesPerTask.front().second;
  std::vector<std::pair<std::string, double>> Result{
      {"jobs", static_cast<double>(Report.Jobs)},
      {"tasks", static_cast<double>(Report.Tasks)},
      {"complete", static_cast<double>(Report.Complete)},
      {"refused", static_cast<double>(Report.Refused)},
      {"unknown", static_cast<double>(Report.Unknown)},
      {"seconds", Report.Seconds},
      {"added_p50_ms", quantile(Added, 0.5)},
      {"added_p99_ms", quantile(Added, 0.99)},
      {"added_p999_ms", quantile(Added, 0.999)},
      {"added_max_ms", quantile(Added, 1)},
      {"wasted_per_task", All - Starts},
      {"entry_cpu_us_per_task",
       Report.ProcessorMeasured ? Report.ProcessorMicrosecondsPerTask : std::nan("")},
      {"messages_per_task", All}};
  for (const auto &[Name, Value] : Report.MessagesPerTask)
    if (&Value != &Report.MessagesPerTask.front().second)
      Result.emplace_back("wasted_" + Name, Value);
  Result.insert(Result.end(), Report.Ratios.begin(), Report.Ratios.end());
  return Result;
}

} // namespace

void compareWithIdeal(LoadReport &Report, const replay::Trace &Content) {
  std::vector<std::uint8_t> Completed;
  for (double Response : Report.Responses)
    Completed.push_back(Response >= 0 ? 1 : 0);
  auto Ideal = replay::planClairvoyant(Content, Completed);
  std::vector<double> Responses;
  std::vector<double> Planned;
  std::vector<double> Tail;
  for (std::size_t Job = 0; Job < Completed.size(); ++Job) {
    if (Completed[Job] == 0 || Content.Jobs[Job].At < Content.WarmUp)
      continue;
    Responses.push_back(Report.Responses[Job]);
    Planned.push_back(Ideal.Planned[Job]);
    Tail.push_back(Ideal.Tail[Job]);
  }
  Report.Ratios = {{"compared_jobs", static_cast<double>(Responses.size())},
                   {"mean_ratio", mean(Responses) / mean(Planned)},
                   {"p50_ratio", replay::quantile(Responses, 0.5) / replay::quantile(Planned, 0.5)},
                   {"p99_ratio", replay::quantile(Responses, 0.99) / replay::quantile(Tail, 0.99)}};
}

std::string renderReport(LoadReport Report, std::string_view Format) {
  std::sort(Report.AddedMilliseconds.begin(), Report.AddedMilliseconds.end());
  std::ostringstream Out;
  Out << std::setprecision(6);
  auto Columns = columns(Report);
  if (Format == "json") {
    nlohmann::json Object;
    for (const auto &[Name, Value] : Columns)
      Object[Name] = Value;
    return Object.dump() + "\n";
  }
  if (Format == "text") {
    for (const auto &[Name, Value] : Columns)
      Out << std::left << std::setw(24) << Name << Value << '\n';
    return Out.str();
  }
  for (const auto &[Name, Value] : Columns)
    Out << (Name == "jobs" ? "" : ",") << Name;
  Out << '\n';
  for (const auto &[Name, Value] : Columns)
    Out << (Name == "jobs" ? "" : ",") << Value;
  Out << '\n';
  return Out.str();
}

} // namespace cornellift::load
