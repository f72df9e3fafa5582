#pragma once

#include "Libraries/LibCore/Settings.h"
#include "Libraries/LibCore/Time.h"
#include "Services/EntryDaemon/KeyTable.h"

#include <optional>
#include <span>
#include <string>

namespace cornellift::entry {

/// Checked settings of one entry process.
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
  core::Duration StopTime{0}; ///< Running requests may take this long after a planned stop begins.
  core::Settings All;         ///< For the settings of further duties.

  /// Prints --help or --version and exits with 0 when they are given. Returns an empty optional
  /// with Malformed and a remedy otherwise.
  static std::optional<DaemonSettings> parse(std::span<const char *const> Arguments);
};

} // namespace cornellift::entry
