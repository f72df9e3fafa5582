#include "Utilities/Operator/OperatorCommand.h"

#include <iostream>
#include <span>

using namespace cornellift;
using core::SettingType;

namespace {

const core::SettingSpec Specs[] = {
    {"entry", "Addresses and ports of entry VMs, separated by commas", SettingType::Text,
     "127.0.0.1:8080"},
    {"key", "The operator's key", SettingType::Text, ""},
    {"tls-ca", "PEM file with the CAs that the entry VMs' certificates are verified against",
     SettingType::Text, ""},
    {"why", "Reason of the change, kept with the version", SettingType::Text, ""},
    {"base-version", "Version that the patch was made against; 0 takes the one in force",
     SettingType::Integer, "0"},
    {"patch-id", "Id of an earlier attempt to send the same patch, to repeat it", SettingType::Text,
     ""},
    {"timeout-ms", "Give up after this many milliseconds", SettingType::Integer, "30000", 1,
     3600000},
    {"wait-ms", "How long the caller of an asked job waits; 0 takes the route's timeout",
     SettingType::Integer, "0", 0, 3600000},
    {"json", "Print answers as JSON", SettingType::Flag, {}},
};

} // namespace

int main(int Count, char **Arguments) {
  constexpr std::string_view Program = "cornellift-operator";
  auto Settings = core::Settings::parse(
      Program, "Reads and changes the configuration", Specs,
      std::span<const char *const>(Arguments, static_cast<std::size_t>(Count)),
      "patch FILE|- | seed FILE | undo VERSION | drain VM | drain-endpoint NAME | show | version | "
      "status | diff [FROM TO] | audit [FROM TO] | check FILE | explain JOB LOG|-... | where HOST "
      "PATH FILE|-");
  if (!Settings)
    return core::reportBadUsage(Program);
  try {
    return static_cast<int>(operators::OperatorCommand(*Settings).run());
  } catch (const nlohmann::json::exception &Error) {
    std::cerr << Program << ": the entry VM's answer is malformed; check that its version matches: "
              << Error.what() << std::endl;
    return static_cast<int>(core::ExitStatus::RequestFailed);
  }
}
