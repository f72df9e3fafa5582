#pragma once

#include "Utilities/Replay/Trace.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornellift::load {

/// Measurements of one load run.
struct LoadReport {
  std::uint64_t Jobs = 0;
  std::uint64_t Tasks = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Refused = 0; ///< Answered with "not run".
  std::uint64_t Unknown = 0; ///< Answered with "may have run", or unanswered.
  double Seconds = 0;
  std::vector<double> AddedMilliseconds; ///< Response minus the longest run time on an endpoint.
  std::vector<double> Responses; ///< Milliseconds by job of the plan; negative when not complete.
  /// Messages to the endpoints per task, by kind. The first kind is the successful starts; all
  /// others count as wasted.
  std::vector<std::pair<std::string, double>> MessagesPerTask;
  std::vector<std::pair<std::string, double>> Ratios; ///< Relative to the clairvoyant schedule.
  /// CPU time of the entry processes; zero when not measured.
  double ProcessorMicrosecondsPerTask = 0;
  bool ProcessorMeasured = false;
};

/// Sets the ratios of the response times to those of the clairvoyant schedule, over the jobs that
/// arrived after the trace's warm-up and completed.
void compareWithIdeal(LoadReport &Report, const replay::Trace &Content);

/// Renders as "text", "csv" or "json".
std::string renderReport(LoadReport Report, std::string_view Format);

} // namespace cornellift::load
