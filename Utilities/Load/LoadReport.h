#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::load {

/// Figures of one load run.
struct LoadReport {
  std::uint64_t Jobs = 0;
  std::uint64_t Tasks = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Refused = 0; ///< Answered with "not run".
  std::uint64_t Unknown = 0; ///< Answered with "may have run", or not at all.
  double Seconds = 0;
  std::vector<double> AddedMilliseconds; ///< Response minus the longest run time on an endpoint.
  double WastedPerTask = 0;
  double MicrosecondsOfProcessor = 0; ///< Of the entry processes, per task; zero when not measured.
  bool ProcessorMeasured = false;
};

/// Renders as "text", "csv" or "json".
std::string renderReport(LoadReport Report, std::string_view Format);

} // namespace cornellift::load
