#include "Services/EntryDaemon/DaemonSettings.h"

#include "Libraries/LibCore/Reason.h"

#include <chrono>

namespace cornellift::entry {
namespace {

using core::SettingType;

const core::SettingSpec Specs[] = {
    {"vm-name", "Name of this entry VM, without dots", SettingType::Text, {}},
    {"data-centre", "Name of the data centre", SettingType::Text, {}},
    {"http-address", "IP address for callers and operators", SettingType::Text, "127.0.0.1"},
    {"http-port", "Port for callers and operators; 0 chooses a free one", SettingType::Integer,
     "8080", 0, 65535},
    {"http-connections", "Maximum number of concurrent connections", SettingType::Integer, "512", 8,
     4096},
    {"tls-certificate", "PEM file; plain HTTP when empty", SettingType::Text, ""},
    {"tls-key", "PEM file of the certificate's key", SettingType::Text, ""},
    {"team-keys", "Callers' keys as team=key, separated by commas", SettingType::Text, ""},
    {"operator-keys", "Operators' keys as name=key, separated by commas", SettingType::Text, ""},
    {"configuration-file", "Run without a platform, with the configuration document in this file",
     SettingType::Text, ""},
    {"platform-address", "Address and port of the platform's service", SettingType::Text, ""},
    {"peer-address", "Address and port for other entry VMs; runs without peers when empty",
     SettingType::Text, ""},
    {"seed-peers", "Other entry VMs as name=address:port, separated by commas", SettingType::Text,
     ""},
    {"peer-routes",
     "Replacements for announced peer addresses, as announced=reached, separated by commas; for "
     "networks that translate addresses",
     SettingType::Text, ""},
    {"log-level", "debug, info, warn or error", SettingType::Text, "info"},
    {"log-file", "File for the log; standard error when empty", SettingType::Text, ""},
    {"stop-time-ms", "Milliseconds that running requests may take at a planned stop",
     SettingType::Integer, "30000", 0, 600000},
};

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= 63 &&
         Text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
}

bool checkNames(const DaemonSettings &Settings) {
  if (!isName(Settings.EntryVm) || !isName(Settings.DataCentre))
    return core::failFalse(core::ErrorKind::Malformed,
                           "--vm-name and --data-centre take 1 to 63 of a-z, 0-9 and dashes; give "
                           "names such as ikeja-1 and ikeja");
  const auto &Level = Settings.LogLevel;
  if (Level != "debug" && Level != "info" && Level != "warn" && Level != "error")
    return core::failFalse(core::ErrorKind::Malformed,
                           "--log-level: give debug, info, warn or error");
  if (Settings.TlsCertificate.empty() != Settings.TlsKey.empty())
    return core::failFalse(core::ErrorKind::Malformed,
                           "--tls-certificate and --tls-key belong together; give both or none");
  if (Settings.ConfigurationFile.empty() && Settings.All.text("platform-address").empty())
    return core::failFalse(core::ErrorKind::Malformed,
                           "no configuration: give --platform-address or --configuration-file");
  return true;
}

} // namespace

std::optional<DaemonSettings> DaemonSettings::parse(std::span<const char *const> Arguments) {
  auto All = core::Settings::parse(
      "cornellift-entryd", "Entry process: takes jobs and starts their tasks", Specs, Arguments);
  if (!All)
    return std::nullopt;
  auto TeamKeys = KeyTable::parse(All->list("team-keys"));
  auto OperatorKeys = TeamKeys ? KeyTable::parse(All->list("operator-keys")) : std::nullopt;
  if (!OperatorKeys)
    return std::nullopt;
  DaemonSettings Result;
  Result.EntryVm = All->text("vm-name");
  Result.DataCentre = All->text("data-centre");
  Result.HttpAddress = All->text("http-address");
  Result.HttpPort = static_cast<int>(All->integer("http-port"));
  Result.HttpConnections = static_cast<std::size_t>(All->integer("http-connections"));
  Result.TlsCertificate = All->text("tls-certificate");
  Result.TlsKey = All->text("tls-key");
  Result.TeamKeys = std::move(*TeamKeys);
  Result.OperatorKeys = std::move(*OperatorKeys);
  Result.ConfigurationFile = All->text("configuration-file");
  Result.LogLevel = All->text("log-level");
  Result.LogFile = All->text("log-file");
  Result.StopTimeout = std::chrono::milliseconds(All->integer("stop-time-ms"));
  Result.All = std::move(*All);
  if (!checkNames(Result))
    return std::nullopt;
  return Result;
}

} // namespace cornellift::entry
