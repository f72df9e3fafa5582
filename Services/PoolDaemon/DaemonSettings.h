#pragma once

#include "Libraries/LibReactor/Asio.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cornellift::pool {

/// Checked settings of the pool daemon.
struct DaemonSettings {
  std::string VmName;
  std::string DataCentre;
  std::set<std::string> DataCentres; ///< All of the deployment.
  reactor::Tcp::endpoint CallerAddress;
  reactor::Tcp::endpoint ReadinessAddress;
  reactor::Tcp::endpoint MeshAddress;
  std::string AdvertisedAddress; ///< Where other processes reach the mesh address.
  reactor::Tcp::endpoint MetricsAddress;
  reactor::Tcp::endpoint StoreAddress;
  std::vector<std::string> SeedAddresses; ///< Mesh addresses of other entry processes.
  std::string Platform;                   ///< Name of the platform's formats.
  std::uint32_t Weight = 1;               ///< Processing power in thousandths of a core.
  core::Duration StopTimeout{0};          ///< From the stop request until the process is killed.
  double RemoteFactor = 1;            ///< Ratio of run times away from the data to those near it.
  bool HasDataWaits = true;           ///< Tasks may wait for room near their data.
  std::size_t CallerMemoryBytes = 0;  ///< Most that callers make the process hold.
  std::size_t CallerConnections = 0;  ///< Most that callers have open at once.
  std::size_t ManagerMemoryBytes = 0; ///< Most that the jobs take which this process manages.
  std::string LogLevel;
  std::uint32_t LogLinesPerSecond = 0; ///< Rate limit of lines about served requests.
  std::uint32_t SuppressedLineCapacity =
      0;                    ///< Suppressed lines that are kept in case their request fails.
  std::string File;         ///< Settings file; empty for none.
  bool IsCheckOnly = false; ///< Print the settings instead of serving.
  std::string Text;         ///< All settings, a line each.

  /// Fails with Malformed; the message names the setting and the remedy.
  static std::optional<DaemonSettings> parse(std::span<const char *const> Arguments);
};

} // namespace cornellift::pool
