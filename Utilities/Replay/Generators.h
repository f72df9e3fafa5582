#pragma once

#include "Utilities/Replay/Trace.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::replay {

/// What to generate.
struct GeneratorOptions {
  std::string Workload = "slipworks"; ///< slipworks or alarcon.
  std::string Scenario = "calm";      ///< One of scenarioNames().
  double Load = 0.7;                  ///< Offered work over the workers' capacity.
  double Seconds = 40;                ///< Length of the arrivals.
  std::uint32_t Workers = 50;
  std::uint32_t EntryVms = 1;
  std::uint32_t Teams = 0;       ///< Replaces the workload's; zero keeps them.
  std::uint32_t DataCentres = 0; ///< Likewise.
  double RunTimeScale = 1;       ///< Multiplies the medians of the run times.
  std::uint64_t Seed = 1;
  /// A configuration document; when given, its services, teams and Workers of its endpoints replace
  /// those of the workload.
  nlohmann::json Configuration;
};

/// Names of the scenarios: calm and the faults.
std::span<const std::string_view> scenarioNames();

/// Generates a trace. Equal options give equal traces. Returns an empty optional with Malformed
/// for an unknown workload or scenario.
std::optional<Trace> generateTrace(const GeneratorOptions &Options);

} // namespace cornellift::replay
