#include "Libraries/LibCore/Settings.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

namespace cornellift::core {
namespace {

std::string environmentName(std::string_view Name) {
  std::string Result = "CORNELLIFT_";
  for (char Letter : Name)
    Result +=
        Letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(Letter)));
  return Result;
}

std::string describe(const SettingSpec &Spec) {
  return Spec.Description + " [" + environmentName(Spec.Name) + "]";
}

std::string boundText(double Bound) {
  std::ostringstream Out;
  Out << std::setprecision(15) << Bound;
  return Out.str();
}

bool isTrueWord(std::string_view Value) { return Value == "true" || Value == "1"; }

bool checkNumber(const SettingSpec &Spec, std::string_view Value) {
  double Number = 0;
  auto Parsed = std::from_chars(Value.data(), Value.data() + Value.size(), Number);
  bool Whole = Spec.Type == SettingType::Real || Value.find_first_of(".eE") == Value.npos;
  if (Parsed.ec != std::errc() || Parsed.ptr != Value.data() + Value.size() || !Whole)
    return failFalse(ErrorKind::Malformed, "--" + Spec.Name + ": \"" + std::string(Value) +
                                               "\" is not a number; give one such as " +
                                               boundText(Spec.Minimum));
  if (!(Number >= Spec.Minimum && Number <= Spec.Maximum))
    return failFalse(ErrorKind::Malformed, "--" + Spec.Name + ": " + std::string(Value) +
                                               " is out of bounds; give a value from " +
                                               boundText(Spec.Minimum) + " to " +
                                               boundText(Spec.Maximum));
  return true;
}

bool checkValue(const SettingSpec &Spec, std::string_view Value) {
  if (Spec.Type == SettingType::Integer || Spec.Type == SettingType::Real)
    return checkNumber(Spec, Value);
  if (Spec.Type == SettingType::Flag && !isTrueWord(Value) && Value != "false" && Value != "0")
    return failFalse(ErrorKind::Malformed, "--" + Spec.Name + ": \"" + std::string(Value) +
                                               "\" is not a boolean; give true or false");
  return true;
}

cxxopts::Options makeOptions(std::string_view Program, std::string_view Summary,
                             std::span<const SettingSpec> Specs, std::string_view PositionalHelp) {
  cxxopts::Options Options{std::string(Program), std::string(Summary)};
  auto Add = Options.add_options();
  for (const auto &Spec : Specs) {
    auto Value = Spec.Type == SettingType::Flag
                     ? cxxopts::value<std::string>()->implicit_value("true")
                     : cxxopts::value<std::string>();
    if (Spec.Default && Spec.Type != SettingType::Flag)
      Value->default_value(*Spec.Default);
    Add(Spec.Name, describe(Spec), Value);
  }
  Add("help", "Print this help and exit");
  Add("version", "Print the version and exit");
  Add("positional", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"positional"});
  Options.positional_help(std::string(PositionalHelp));
  return Options;
}

using FileValues = std::map<std::string, std::string, std::less<>>;

/// Reads lines `name=value`; empty lines and lines that begin with # are skipped.
std::optional<FileValues> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return fail(ErrorKind::NotFound,
                "cannot read the settings file \"" + Path + "\"; give its right path");
  FileValues Values;
  for (std::string Line; std::getline(File, Line);) {
    auto Equals = Line.find('=');
    if (Line.empty() || Line.front() == '#' || Equals == std::string::npos)
      continue;
    Values[Line.substr(0, Equals)] = Line.substr(Equals + 1);
  }
  return Values;
}

/// The flag takes precedence over the environment, the environment over the file, and the file over
/// the default.
std::optional<std::string> valueOf(const SettingSpec &Spec, const cxxopts::ParseResult &Parsed,
                                   const FileValues &File) {
  if (Parsed.count(Spec.Name) > 0)
    return Parsed[Spec.Name].as<std::string>();
  if (const char *FromEnvironment = std::getenv(environmentName(Spec.Name).c_str()))
    return std::string(FromEnvironment);
  if (auto FromFile = File.find(Spec.Name); FromFile != File.end())
    return FromFile->second;
  if (Spec.Type == SettingType::Flag)
    return Spec.Default.value_or("false");
  return Spec.Default;
}

void addError(std::string &Errors, std::string_view Message) {
  Errors.append(Errors.empty() ? "" : "\n").append(Message);
}

} // namespace

std::optional<Settings> Settings::parse(std::string_view Program, std::string_view Summary,
                                        std::span<const SettingSpec> Specs,
                                        std::span<const char *const> Arguments,
                                        std::string_view PositionalHelp,
                                        std::string_view FileSetting) {
  auto Options = makeOptions(Program, Summary, Specs, PositionalHelp);
  Settings Result;
  try {
    auto Parsed = Options.parse(static_cast<int>(Arguments.size()), Arguments.data());
    if (Parsed.count("help") > 0) {
      std::cout << Options.help({""}) << std::flush;
      std::exit(0);
    }
    if (Parsed.count("version") > 0) {
      std::cout << Program << ' ' << CORNELLIFT_VERSION << std::endl;
      std::exit(0);
    }
    if (Parsed.count("positional") > 0)
      Result.Positional_ = Parsed["positional"].as<std::vector<std::string>>();
    FileValues File;
    for (const auto &Spec : Specs) {
      auto Path = Spec.Name == FileSetting ? valueOf(Spec, Parsed, File) : std::nullopt;
      if (!Path || Path->empty())
        continue;
      auto Read = readFile(*Path);
      if (!Read)
        return std::nullopt;
      File = std::move(*Read);
    }
    std::string Errors;
    for (const auto &Spec : Specs) {
      auto Value = valueOf(Spec, Parsed, File);
      if (!Value)
        addError(Errors,
                 "--" + Spec.Name + " is missing; give it or set " + environmentName(Spec.Name));
      else if (!checkValue(Spec, *Value))
        addError(Errors, lastReason().Message);
      else
        Result.Values_.emplace(Spec.Name, *Value);
    }
    if (!Errors.empty())
      return fail(ErrorKind::Malformed, Errors);
  } catch (const std::exception &Error) {
    return fail(ErrorKind::Malformed, std::string(Error.what()) + "; see --help");
  }
  return Result;
}

const std::string &Settings::text(std::string_view Name) const {
  return Values_.find(Name)->second;
}

std::int64_t Settings::integer(std::string_view Name) const { return std::stoll(text(Name)); }

double Settings::real(std::string_view Name) const { return std::stod(text(Name)); }

bool Settings::flag(std::string_view Name) const { return isTrueWord(text(Name)); }

std::string Settings::format() const {
  std::string Text;
  for (const auto &[Name, Value] : Values_)
    Text.append(Name).append("=").append(Value).append("\n");
  return Text;
}

std::vector<std::string> Settings::list(std::string_view Name) const {
  std::vector<std::string> Result;
  std::istringstream Stream(text(Name));
  for (std::string Entry; std::getline(Stream, Entry, ',');)
    if (!Entry.empty())
      Result.push_back(Entry);
  return Result;
}

int reportBadUsage(std::string_view Program) {
  std::cerr << Program << ": " << lastReason().Message << std::endl;
  return static_cast<int>(ExitStatus::BadUsage);
}

} // namespace cornellift::core
