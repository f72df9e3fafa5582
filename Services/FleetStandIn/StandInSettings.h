#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cornellift::standin {

/// Validated settings of the stand-in for the store and the workers.
struct StandInSettings {
  std::uint16_t ControlPort = 0;
  std::uint16_t StorePort = 0;
  std::uint16_t FirstWorkerPort = 0; ///< Zero selects free ports.
  std::vector<std::string> DataCentres;
  std::uint32_t WorkersPerDataCentre = 0;
  std::vector<double> Speeds; ///< Speeds of the workers, in turn.
  double Cores = 0;
  std::string Service;
  std::string ConfigurationFile; ///< Written to the store at startup; none when empty.

  static std::optional<StandInSettings> parse(std::span<const char *const> Arguments);
};

} // namespace cornellift::standin
