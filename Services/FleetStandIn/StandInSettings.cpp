#include "Services/FleetStandIn/StandInSettings.h"

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Settings.h"

#include <cstdlib>

namespace cornellift::standin {
namespace {

using core::SettingType;

const core::SettingSpec Specs[] = {
    {"control-port", "Port for the tests' own calls; 0 takes a free one", SettingType::Integer, "0",
     0, 65535},
    {"store-port", "Port of the store; 0 takes a free one", SettingType::Integer, "0", 0, 65535},
    {"first-worker-port", "Port of the first worker, the others follow; 0 takes free ones",
     SettingType::Integer, "0", 0, 65535},
    {"data-centres", "Names, separated by commas", SettingType::Text, "ikeja,yaba"},
    {"workers", "Workers in each data centre", SettingType::Integer, "4", 0, 1000},
    {"speeds", "Speeds of the workers in turn, separated by commas", SettingType::Text, "1"},
    {"cores", "Cores of each worker", SettingType::Real, "8", 0.1, 1024},
    {"service", "Service of the workers", SettingType::Text, "print"},
    {"configuration-file", "The operators' configuration, put into the store at the start",
     SettingType::Text, ""},
};

} // namespace

std::optional<StandInSettings> StandInSettings::parse(std::span<const char *const> Arguments) {
  auto Parsed = core::Settings::parse("cornellift-fleet-stand-in",
                                      "Stands in for the platform's store and workers in tests",
                                      Specs, Arguments);
  if (!Parsed)
    return std::nullopt;
  StandInSettings Result;
  Result.ControlPort = static_cast<std::uint16_t>(Parsed->integer("control-port"));
  Result.StorePort = static_cast<std::uint16_t>(Parsed->integer("store-port"));
  Result.FirstWorkerPort = static_cast<std::uint16_t>(Parsed->integer("first-worker-port"));
  Result.DataCentres = Parsed->list("data-centres");
  Result.WorkersPerDataCentre = static_cast<std::uint32_t>(Parsed->integer("workers"));
  for (const auto &Text : Parsed->list("speeds"))
    Result.Speeds.push_back(std::strtod(Text.c_str(), nullptr));
  for (double Speed : Result.Speeds)
    if (!(Speed > 0))
      return core::fail(core::ErrorKind::Malformed,
                        "--speeds: a speed is not above zero; give numbers such as 0.7,1.5");
  Result.Cores = Parsed->real("cores");
  Result.Service = Parsed->text("service");
  Result.ConfigurationFile = Parsed->text("configuration-file");
  return Result;
}

} // namespace cornellift::standin
