#pragma once

#include "Utilities/Replay/Clairvoyant.h"
#include "Utilities/Replay/ReplayResult.h"
#include "Utilities/Replay/Trace.h"

#include <iosfwd>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::replay {

/// Figures of one run by name; docs/TRACES.md describes each.
using Figures = std::map<std::string, double, std::less<>>;

/// Quantile of the values, 0 when there are none. Share is in 0 to 1.
double quantile(std::vector<double> Values, double Share);

/// Selects whether a run is compared with the clairvoyant schedule, which takes minutes for 1,400
/// workers.
enum class Planning { Clairvoyant, None };

/// The latest plan of a trace and the set of jobs that it covers.
struct PlanCache {
  Planning Mode = Planning::Clairvoyant;
  std::vector<std::uint8_t> Completed;
  std::optional<IdealSchedule> Plan;
};

/// Computes the figures of a run, compared with the clairvoyant schedule of the completed jobs.
Figures measure(const Trace &Input, const ReplayResult &Result, PlanCache &Cache);

/// Arrival of the first job of the burst in milliseconds; negative without a burst.
double burstStart(const Trace &Input);

/// 0.99 quantile of the response times of the single reprints that arrive from From to Until, all
/// in milliseconds; negative when there are none.
double reprintQuantile(const Trace &Input, const ReplayResult &Result, double From, double Until);

/// Returns the trace with all jobs removed but single reprints.
Trace onlyReprints(const Trace &Input);

/// One policy's figures.
struct PolicyFigures {
  std::string Policy;
  Figures Values;
};

enum class ReportFormat { Text, Csv, Json };

/// Parses text, csv or json. Returns an empty optional with Malformed for anything else.
std::optional<ReportFormat> parseFormat(std::string_view Name);

/// Writes one column per policy as text, one row per policy as CSV, or one JSON object per policy.
void writeReport(std::string_view TraceName, std::span<const PolicyFigures> Policies,
                 ReportFormat Format, std::ostream &Output);

/// Writes a line per expectation to Output and returns whether all hold for the checked figures.
bool checkExpectations(std::span<const Expectation> Expectations, const PolicyFigures &Checked,
                       std::ostream &Output);

} // namespace cornellift::replay
