#include "Utilities/Load/LoadReport.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
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

std::vector<std::pair<std::string, double>> columns(const LoadReport &Report) {
  const auto &Added = Report.AddedMilliseconds;
  return {{"jobs", static_cast<double>(Report.Jobs)},
          {"tasks", static_cast<double>(Report.Tasks)},
          {"complete", static_cast<double>(Report.Complete)},
          {"refused", static_cast<double>(Report.Refused)},
          {"unknown", static_cast<double>(Report.Unknown)},
          {"seconds", Report.Seconds},
          {"added_p50_ms", quantile(Added, 0.5)},
          {"added_p99_ms", quantile(Added, 0.99)},
          {"added_p999_ms", quantile(Added, 0.999)},
          {"added_max_ms", quantile(Added, 1)},
          {"wasted_per_task", Report.WastedPerTask},
          {"entry_cpu_us_per_task",
           Report.ProcessorMeasured ? Report.MicrosecondsOfProcessor : std::nan("")}};
}

} // namespace

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
