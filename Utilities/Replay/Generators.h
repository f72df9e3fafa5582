#pragma once

#include "Utilities/Replay/Trace.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::replay {

/// Options of a generated trace.
struct GeneratorOptions {
  std::string Workload = "slipworks"; ///< slipworks or alarcon.
  std::string Scenario = "calm";      ///< One of scenarioNames().
  double Load = 0.7;                  ///< Offered work over the capacity of the workers.
  double Seconds = 40;                ///< Time span of the arrivals.
  std::uint32_t Workers = 50;
  std::uint32_t EntryVms = 1;
  std::uint32_t Teams = 0;       ///< Number of generated teams; 0 keeps the workload's teams.
  std::uint32_t DataCentres = 0; ///< 0 keeps those of the workload.
  double RunTimeScale = 1;       ///< Factor on the median run times.
  std::uint64_t Seed = 1;
  /// A configuration document or null. Its services and teams and the first Workers endpoints of
  /// its largest data centre replace those of the workload.
  nlohmann::json Configuration;
};

/// Names of the scenarios: calm, and one for each fault.
std::span<const std::string_view> scenarioNames();

/// Generates a trace, which depends on the options only. Returns an empty optional with Malformed
/// for an unknown workload or scenario.
std::optional<Trace> generateTrace(const GeneratorOptions &Options);

} // namespace cornellift::replay
