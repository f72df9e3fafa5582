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

/// Figures of one run by name; docs/TRACES.md explains each.
using Figures = std::map<std::string, double, std::less<>>;

/// Empty responses give a quantile of zero. Share is in 0 to 1.
double quantile(std::vector<double> Values, double Share);

/// Whether a run is compared with the clairvoyant schedule, which takes minutes for 1,400 workers.
enum class Planning { Clairvoyant, None };

/// The last plan of a trace and the jobs that it is for.
struct PlanCache {
  Planning Mode = Planning::Clairvoyant;
  std::vector<std::uint8_t> Completed;
  std::optional<IdealSchedule> Plan;
};

/// Figures of a run against the clairvoyant schedule of the jobs that it completed.
Figures measure(const Trace &Input, const ReplayResult &Result, PlanCache &Cache);

/// When the first job of the burst arrives; negative without a burst.
double firstOfBurst(const Trace &Input);

/// Quantile 0.99 of the response times of the single reprints that arrived in the given time;
/// negative when there are none.
double reprintQuantile(const Trace &Input, const ReplayResult &Result, double From, double Until);

/// The trace with nothing but its single reprints.
Trace onlyReprints(const Trace &Input);

/// One policy's figures.
struct PolicyFigures {
  std::string Policy;
  Figures Values;
};

enum class ReportFormat { Text, Csv, Json };

std::optional<ReportFormat> parseFormat(std::string_view Name);

/// Writes one column per policy as text, one row per policy as CSV, or one object per policy.
void writeReport(std::string_view TraceName, std::span<const PolicyFigures> Policies,
                 ReportFormat Format, std::ostream &Output);

/// Writes a line per expectation to Output and returns whether all hold for the first policy.
bool checkExpectations(std::span<const Expectation> Expectations, const PolicyFigures &Checked,
                       std::ostream &Output);

} // namespace cornellift::replay
