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

/// Type of a setting's value.
enum class SettingType { Text, Integer, Real, Flag };

/// Definition of a setting: flag `--name`, environment variable `CORNELLIFT_NAME`, or line
/// `name=value` of a settings file. The flag takes precedence over the variable, and the variable
/// over the file.
struct SettingSpec {
  std::string Name;        ///< Lower case with dashes.
  std::string Description; ///< Includes the unit.
  SettingType Type = SettingType::Text;
  std::optional<std::string> Default; ///< Required when empty and the type is not Flag.
  double Minimum = 0;                 ///< For Integer and Real.
  double Maximum = 9e15;
};

/// Validated settings of one process, from its flags, environment and settings file.
class Settings {
public:
  /// Parses and validates the settings. Handles --help and --version by printing the text and
  /// exiting with 0. Fails with Malformed for an unknown flag, or with a message that lists all
  /// invalid and missing settings, one per line. FileSetting, when not empty, is the name of the
  /// setting that holds the path of a settings file (none when its value is empty); lines of the
  /// file that name no setting are ignored. Fails with NotFound when the file cannot be read.
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

  /// All effective settings as lines `name=value`, in the format of a settings file.
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
