#include "Utilities/Caller/CallerCommand.h"

#include <span>

using namespace cornellift;
using core::SettingType;

namespace {

const core::SettingSpec Specs[] = {
    {"entry", "Addresses and ports of entry VMs, separated by commas", SettingType::Text,
     "127.0.0.1:8080"},
    {"key", "The team's key", SettingType::Text, ""},
    {"tls-ca", "PEM file with the CAs that the entry VMs' certificates are verified against",
     SettingType::Text, ""},
    {"file", "Job as JSON without its id; generated when empty", SettingType::Text, ""},
    {"id", "Identifier of an earlier submission to repeat", SettingType::Text, ""},
    {"service", "Service of a generated job", SettingType::Text, "slips"},
    {"kind", "Kind of a generated job", SettingType::Text, "branch-batch"},
    {"tasks", "Tasks of a generated job", SettingType::Integer, "10", 1, 10000},
    {"run-ms", "Run time of a generated task in milliseconds", SettingType::Real, "100", 0, 60000},
    {"timeout-ms", "Give up after this many milliseconds", SettingType::Integer, "60000", 1,
     3600000},
    {"json", "Print the answer as JSON", SettingType::Flag, {}},
    {"quiet", "Do not print the identifier or the progress", SettingType::Flag, {}},
};

} // namespace

int main(int Count, char **Arguments) {
  auto Settings = core::Settings::parse(
      "cornellift-caller", "Submits a job and prints its results, one per line", Specs,
      std::span<const char *const>(Arguments, static_cast<std::size_t>(Count)),
      "submit | outcome ID | status ID | cancel ID");
  if (!Settings)
    return core::reportBadUsage("cornellift-caller");
  return static_cast<int>(caller::CallerCommand(*Settings).run());
}
