#pragma once

#include "Libraries/LibCore/Settings.h"
#include "Libraries/LibCore/Time.h"
#include "Services/EntryDaemon/KeyTable.h"

#include <optional>
#include <span>
#include <string>

namespace cornellift::entry {

/// Validated settings of an entry process.
struct DaemonSettings {
  std::string EntryVm;
  std::string DataCentre;
  std::string HttpAddress;
  int HttpPort = 0;
  std::size_t HttpConnections = 512;
  std::string TlsCertificate;
  std::string TlsKey;
  KeyTable TeamKeys;
  KeyTable OperatorKeys;
  std::string ConfigurationFile; ///< Empty: the configuration comes from the platform and peers.
  std::string LogLevel;
  std::string LogFile;
  /// Bound on the time that running requests may take in a planned stop.
  core::Duration StopTimeout{0};
  core::Settings All; ///< For the settings of other components.

  /// Prints the help or version and exits with 0 on --help or --version. Returns an empty optional
  /// with Malformed, and a message that names a remedy, when the arguments are invalid.
  static std::optional<DaemonSettings> parse(std::span<const char *const> Arguments);
};

} // namespace cornellift::entry
