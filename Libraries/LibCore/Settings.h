#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::core {

/// Exit statuses of every binary.
enum class ExitStatus {
  Success = 0,
  RequestFailed = 1,
  BadUsage = 2,
  Unreachable = 3,
  OutcomeUnknown = 4
};

/// Kind of value that a setting takes.
enum class SettingType { Text, Integer, Real, Flag };

/// One setting: flag `--name`, environment variable `CORNELLIFT_NAME`, or line `name=value` of a
/// settings file. The flag wins over the variable, and the variable over the file.
struct SettingSpec {
  std::string Name;        ///< Lower case with dashes.
  std::string Description; ///< With the unit.
  SettingType Type = SettingType::Text;
  std::optional<std::string> Default; ///< Required when empty and the type is not Flag.
  double Minimum = 0;                 ///< For Integer and Real.
  double Maximum = 9e15;
};

/// Checked settings of one process, from its flags and environment.
class Settings {
public:
  /// Parses and checks. Prints --help or --version and exits with 0 when they are given. Returns an
  /// empty optional with Malformed for an unknown flag, or naming all bad values and missing
  /// settings, a line each. The value of the setting FileSetting, when it is named and not empty,
  /// is the path of a settings file; lines of the file that name no setting are ignored.
  static std::optional<Settings> parse(std::string_view Program, std::string_view Summary,
                                       std::span<const SettingSpec> Specs,
                                       std::span<const char *const> Arguments,
                                       std::string_view PositionalHelp = "",
                                       std::string_view FileSetting = "");

  const std::string &text(std::string_view Name) const;
  std::int64_t integer(std::string_view Name) const;
  double real(std::string_view Name) const;
  bool flag(std::string_view Name) const;

  /// Comma-separated text as a list; empty for an empty text.
  std::vector<std::string> list(std::string_view Name) const;

  /// All settings in force as lines `name=value`, as a settings file has them.
  std::string format() const;

  /// Arguments that are not flags, in order.
  std::span<const std::string> positional() const { return Positional_; }

private:
  std::map<std::string, std::string, std::less<>> Values_;
  std::vector<std::string> Positional_;
};

/// Prints "program: reason" to standard error and returns the exit status for bad usage.
int reportBadUsage(std::string_view Program);

} // namespace cornellift::core
