#include "Services/PoolDaemon/DaemonSettings.h"

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Settings.h"

#include <cmath>

namespace cornellift::pool {
namespace {

using core::SettingType;

constexpr double WeightPerCore = 1000;

const core::SettingSpec Specs[] = {
    {"node-file", "Settings file with lines of the form name=value; none if empty",
     SettingType::Text, ""},
    {"vm-name", "Name of this entry VM", SettingType::Text, {}},
    {"data-centre", "Name of this VM's data centre", SettingType::Text, {}},
    {"data-centres", "Names of all data centres, separated by commas", SettingType::Text, ""},
    {"caller-address", "IP address and port for callers", SettingType::Text, {}},
    {"readiness-address", "IP address and port for readiness checks", SettingType::Text, {}},
    {"mesh-address", "IP address and port for other entry processes", SettingType::Text, {}},
    {"mesh-advertised-address",
     "Mesh address that is announced to other entry processes; mesh-address if empty",
     SettingType::Text, ""},
    {"metrics-port", "Port for metrics, on the IP address for callers", SettingType::Integer,
     "9464", 1, 65535},
    {"seed-addresses", "Mesh addresses of other entry processes, separated by commas",
     SettingType::Text, ""},
    {"store-address", "IP address and port of the platform's store", SettingType::Text, {}},
    {"platform", "Name of the platform's message formats", SettingType::Text, "kv"},
    {"processor-share", "Cores that this VM may use; VMs with more cores are preferred as managers",
     SettingType::Real, "1", 0.001, 1024},
    {"stop-seconds", "Time from the stop request until the process is killed", SettingType::Real,
     "10", 0.5, 3600},
    {"remote-factor", "Run time of a task away from its data, relative to that near its data",
     SettingType::Real, "1", 1, 100},
    {"memory-megabytes", "Memory that this process may use", SettingType::Real, "256", 16, 1048576},
    {"caller-memory-megabytes",
     "Memory for callers' connections, requests and jobs; half of memory-megabytes if 0",
     SettingType::Real, "0", 0, 1048576},
    {"maximum-descriptors", "Descriptors that this process may use", SettingType::Integer, "3072",
     256, 1048576},
    {"caller-connections",
     "Connections of callers served at once; a third of maximum-descriptors if 0",
     SettingType::Integer, "0", 0, 1048576},
    {"no-data-waits", "Tasks never wait for room near their data", SettingType::Flag, {}},
    {"log-lines-per-second",
     "Log lines about served requests; failures and state changes have ten times as many each",
     SettingType::Integer, "20", 1, 100000},
    {"log-held-lines", "Suppressed log lines that are kept in memory in case their request fails",
     SettingType::Integer, "512", 0, 1000000},
    {"check", "Check and print the settings in force, then exit", SettingType::Flag, {}},
    {"log-level", "debug, info, warn or error", SettingType::Text, "info"},
};

constexpr double BytesPerMegabyte = 1024 * 1024;
/// Share of the process's memory for callers. The rest is left to the process itself: its workers,
/// peers and configuration.
constexpr double CallerMemoryShare = 0.5;
/// Share of the process's memory for jobs that it manages, whichever process has accepted them.
constexpr double ManagerMemoryShare = 0.25;
/// One descriptor in so many is for a caller. The rest is left to connections to workers, peers and
/// the store, and to files.
constexpr std::int64_t DescriptorsPerCaller = 3;

std::size_t callerMemory(const core::Settings &Parsed) {
  auto Stated = Parsed.real("caller-memory-megabytes");
  auto Megabytes = Stated > 0 ? Stated : CallerMemoryShare * Parsed.real("memory-megabytes");
  return static_cast<std::size_t>(Megabytes * BytesPerMegabyte);
}

std::size_t managerMemory(const core::Settings &Parsed) {
  return static_cast<std::size_t>(ManagerMemoryShare * Parsed.real("memory-megabytes") *
                                  BytesPerMegabyte);
}

std::size_t callerConnections(const core::Settings &Parsed) {
  auto Stated = Parsed.integer("caller-connections");
  return static_cast<std::size_t>(
      Stated > 0 ? Stated : Parsed.integer("maximum-descriptors") / DescriptorsPerCaller);
}

bool readAddress(const core::Settings &Parsed, std::string_view Name,
                 reactor::Tcp::endpoint &Address) {
  auto Value = reactor::parseAddress(Parsed.text(Name));
  if (!Value)
    return core::failFalse(core::ErrorKind::Malformed,
                           "--" + std::string(Name) + ": " + core::lastReason().Message);
  Address = *Value;
  return true;
}

} // namespace

std::optional<DaemonSettings> DaemonSettings::parse(std::span<const char *const> Arguments) {
  auto Parsed = core::Settings::parse("cornellift-poold",
                                      "Entry process: takes jobs and runs them on leased workers",
                                      Specs, Arguments, "", "node-file");
  if (!Parsed)
    return std::nullopt;
  DaemonSettings Result;
  if (!readAddress(*Parsed, "caller-address", Result.CallerAddress) ||
      !readAddress(*Parsed, "readiness-address", Result.ReadinessAddress) ||
      !readAddress(*Parsed, "mesh-address", Result.MeshAddress) ||
      !readAddress(*Parsed, "store-address", Result.StoreAddress))
    return std::nullopt;
  Result.VmName = Parsed->text("vm-name");
  Result.DataCentre = Parsed->text("data-centre");
  for (auto &Name : Parsed->list("data-centres"))
    Result.DataCentres.insert(std::move(Name));
  Result.DataCentres.insert(Result.DataCentre);
  Result.AdvertisedAddress = Parsed->text("mesh-advertised-address");
  if (Result.AdvertisedAddress.empty())
    Result.AdvertisedAddress = reactor::formatAddress(Result.MeshAddress);
  if (!reactor::parseAddress(Result.AdvertisedAddress))
    return core::fail(core::ErrorKind::Malformed,
                      "--mesh-advertised-address: " + core::lastReason().Message);
  Result.MetricsAddress = reactor::Tcp::endpoint(
      Result.CallerAddress.address(), static_cast<unsigned short>(Parsed->integer("metrics-port")));
  Result.SeedAddresses = Parsed->list("seed-addresses");
  Result.Platform = Parsed->text("platform");
  Result.Weight =
      static_cast<std::uint32_t>(std::lround(Parsed->real("processor-share") * WeightPerCore));
  Result.StopTimeout = core::fromMilliseconds(Parsed->real("stop-seconds") * 1000);
  Result.RemoteFactor = Parsed->real("remote-factor");
  Result.CallerMemoryBytes = callerMemory(*Parsed);
  Result.ManagerMemoryBytes = managerMemory(*Parsed);
  Result.CallerConnections = callerConnections(*Parsed);
  Result.HasDataWaits = !Parsed->flag("no-data-waits");
  Result.LogLinesPerSecond = static_cast<std::uint32_t>(Parsed->integer("log-lines-per-second"));
  Result.SuppressedLineCapacity = static_cast<std::uint32_t>(Parsed->integer("log-held-lines"));
  Result.LogLevel = Parsed->text("log-level");
  Result.File = Parsed->text("node-file");
  Result.IsCheckOnly = Parsed->flag("check");
  Result.Text = Parsed->format();
  return Result;
}

} // namespace cornellift::pool
