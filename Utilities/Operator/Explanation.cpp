#include "Utilities/Operator/Explanation.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <istream>
#include <optional>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace cornellift::operators {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// Lines this long before the job's first line may explain its decisions.
constexpr milliseconds ContextPeriod{5000};

std::optional<milliseconds> parseTime(const std::string &Text) {
  std::tm Calendar{};
  const char *Rest = strptime(Text.c_str(), "%Y-%m-%d %H:%M:%S", &Calendar);
  if (!Rest)
    return std::nullopt;
  milliseconds Fraction(*Rest == ',' ? std::atoi(Rest + 1) : 0);
  return milliseconds(std::chrono::seconds(timegm(&Calendar))) + Fraction;
}

std::string formatTime(milliseconds At) {
  auto Seconds = std::chrono::floor<std::chrono::seconds>(At);
  std::time_t Time = Seconds.count();
  std::tm Calendar{};
  gmtime_r(&Time, &Calendar);
  std::ostringstream Out;
  Out << std::put_time(&Calendar, "%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
      << (At - Seconds).count();
  return Out.str();
}

std::optional<LogLine> parseLine(const std::string &Text) {
  auto Begin = Text.find('{');
  auto Parsed =
      Begin == std::string::npos ? Json() : Json::parse(Text.substr(Begin), nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("timestamp") || !Parsed.contains("message"))
    return std::nullopt;
  auto At = parseTime(Parsed.value("timestamp", ""));
  if (!At)
    return std::nullopt;
  LogLine Line;
  Line.At = *At;
  Line.Message = Parsed.value("message", "");
  auto Context = Parsed.value("context_map", Json::object());
  for (const auto &[Name, Value] : Context.items())
    Line.Fields[Name] = Value.is_string() ? Value.get<std::string>() : Value.dump();
  std::istringstream Words(Text.substr(0, Begin));
  for (std::string Word; Words >> Word;)
    Line.Vm = Word;
  return Line;
}

void renderLine(std::ostream &Out, const LogLine &Line, milliseconds First, bool IsJobLine) {
  Out << formatTime(Line.At) << std::setw(8) << (Line.At - First).count() << " ms "
      << (IsJobLine ? "  " : "| ") << Line.Vm << "  " << Line.Message;
  for (const auto &[Name, Value] : Line.Fields) {
    if (Name == "inputs")
      Out << ' ' << Value;
    else if (Name != "job" && Name != "held_ms")
      Out << ' ' << Name << '=' << Value;
  }
  Out << '\n';
}

} // namespace

void Explanation::read(std::istream &Log, std::string_view Name) {
  std::string Vm(Name);
  for (std::string Text; std::getline(Log, Text);) {
    if (Text.empty())
      continue;
    auto Line = parseLine(Text);
    if (!Line) {
      ++UnparsedLineCount_;
      continue;
    }
    if (Line->Message == "started" && Line->Fields.contains("vm"))
      Vm = Line->Fields["vm"];
    if (Line->Vm.empty())
      Line->Vm = Vm;
    add(std::move(*Line));
  }
}

void Explanation::add(LogLine Line) {
  auto Job = Line.Fields.find("job");
  if (Job == Line.Fields.end())
    return ContextLines_.push_back(std::move(Line));
  if (Job->second != Job_)
    return;
  // Lines may be buffered; held_ms is the delay between the decision and its log line.
  if (auto Held = Line.Fields.find("held_ms"); Held != Line.Fields.end())
    Line.At -= milliseconds(std::lround(std::strtod(Held->second.c_str(), nullptr)));
  JobLines_.push_back(std::move(Line));
}

std::set<std::string> Explanation::workersOfJob() const {
  std::set<std::string> Names;
  for (const auto &Line : JobLines_) {
    if (auto Worker = Line.Fields.find("worker"); Worker != Line.Fields.end())
      Names.insert(Worker->second);
    auto Inputs = Line.Fields.find("inputs");
    std::istringstream Words(Inputs == Line.Fields.end() ? std::string() : Inputs->second);
    for (std::string Word; Words >> Word;)
      if (Word.starts_with("worker="))
        Names.insert(Word.substr(Word.find('=') + 1));
  }
  return Names;
}

std::vector<const LogLine *> Explanation::selectLines() const {
  auto [First, Last] = std::minmax_element(
      JobLines_.begin(), JobLines_.end(),
      [](const LogLine &Left, const LogLine &Right) { return Left.At < Right.At; });
  std::set<std::string> Vms;
  for (const auto &Line : JobLines_)
    Vms.insert(Line.Vm);
  auto Workers = workersOfJob();
  std::vector<const LogLine *> Lines;
  for (const auto &Line : JobLines_)
    Lines.push_back(&Line);
  for (const auto &Line : ContextLines_) {
    if (Line.At < First->At - ContextPeriod || Line.At > Last->At || !Vms.contains(Line.Vm))
      continue;
    // A refused request without a job identifier belongs to another job.
    if (Line.Message == "request refused")
      continue;
    auto Worker = Line.Fields.find("worker");
    if (Worker == Line.Fields.end() || Workers.contains(Worker->second))
      Lines.push_back(&Line);
  }
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const LogLine *Left, const LogLine *Right) { return Left->At < Right->At; });
  return Lines;
}

std::string Explanation::render() const {
  if (JobLines_.empty())
    return {};
  std::ostringstream Out;
  auto Lines = selectLines();
  auto First = std::find_if(Lines.begin(), Lines.end(),
                            [](const LogLine *Line) { return Line->Fields.contains("job"); });
  for (const auto *Line : Lines)
    renderLine(Out, *Line, (*First)->At, Line->Fields.contains("job"));
  return Out.str();
}

} // namespace cornellift::operators
