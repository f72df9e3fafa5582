#include "Utilities/Operator/Tables.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <ostream>
#include <string>
#include <vector>

namespace cornellift::operators {
namespace {

using nlohmann::json;
using Row = std::vector<std::string>;

std::string cell(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printTable(std::ostream &Out, const std::vector<Row> &Rows) {
  constexpr std::size_t Gap = 2;
  std::vector<std::size_t> Widths(Rows.front().size(), 0);
  for (const auto &Line : Rows)
    for (std::size_t Column = 0; Column < Line.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Line[Column].size() + Gap);
  for (const auto &Line : Rows) {
    for (std::size_t Column = 0; Column + 1 < Line.size(); ++Column)
      Out << std::left << std::setw(static_cast<int>(Widths[Column])) << Line[Column];
    Out << Line.back() << '\n';
  }
}

std::string timeText(std::int64_t EpochMilliseconds) {
  constexpr std::int64_t MillisecondsPerSecond = 1000;
  std::time_t Seconds = EpochMilliseconds / MillisecondsPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::string Result(32, '\0');
  Result.resize(std::strftime(Result.data(), Result.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts));
  return Result;
}

} // namespace

void printStatus(std::ostream &Out, const json &Status) {
  Out << "entry VM " << cell(Status.at("entry_vm")) << " in " << cell(Status.at("data_centre"))
      << ", version " << Status.at("version") << (Status.at("ready") ? "" : ", not ready")
      << (Status.at("relay") ? ", relay" : "")
      << (Status.at("store_reachable") ? "" : ", the platform's store does not reply") << '\n';
  for (const auto &DataCentre : Status.at("cut_off_data_centres"))
    Out << "cut off: " << cell(DataCentre) << '\n';
  std::vector<Row> Rows = {{"ENTRY VM", "DATA CENTRE", "STATE", "VERSION"}};
  for (const auto &Member : Status.at("members"))
    Rows.push_back({cell(Member.at("entry_vm")), cell(Member.at("data_centre")),
                    cell(Member.at("state")), cell(Member.at("version"))});
  printTable(Out, Rows);
}

void printAudit(std::ostream &Out, const json &Audit) {
  std::vector<Row> Rows = {{"VERSION", "WHEN", "WHO", "WHY", "PATCH"}};
  for (const auto &Record : Audit.at("records"))
    Rows.push_back({cell(Record.at("version")), timeText(Record.at("when_ms").get<std::int64_t>()),
                    cell(Record.at("who")), cell(Record.at("why")), cell(Record.at("patch"))});
  printTable(Out, Rows);
}

} // namespace cornellift::operators
