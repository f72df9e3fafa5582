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

std::string yesNo(const json &Value) { return Value.get<bool>() ? "yes" : "no"; }

std::string joined(const json &Texts) {
  std::string Result;
  for (const auto &Each : Texts)
    Result += (Result.empty() ? "" : ", ") + cell(Each);
  return Result;
}

/// What the workers near a step's data offer, and whether its tasks wait for that.
void printWait(std::ostream &Out, const json &Wait) {
  if (Wait.at("room_ms").is_null())
    Out << "  near the data: no worker of this manager\n";
  else
    Out << "  near the data: room in " << Wait.at("room_ms") << " ms (error "
        << Wait.at("room_error_ms") << " ms), expected end in " << Wait.at("near_end_ms")
        << " ms\n";
  if (Wait.at("tasks") != 0)
    Out << "  " << Wait.at("tasks") << " tasks wait for it, at most " << Wait.at("deadline_ms")
        << " ms; expected gain " << Wait.at("expected_gain_ms") << " ms each\n";
  if (!cell(Wait.at("why_not")).empty())
    Out << "  " << (Wait.at("tasks") == 0 ? "no task waits" : "no more tasks wait")
        << " for it: " << cell(Wait.at("why_not")) << '\n';
}

void printStep(std::ostream &Out, const json &Step) {
  Out << Step.at("tasks") << " tasks, expected run time " << Step.at("typical_ms") << " ms";
  if (!cell(Step.at("required_label")).empty())
    Out << ", label " << cell(Step.at("required_label"));
  if (!cell(Step.at("data_rack")).empty())
    Out << ", data on " << cell(Step.at("data_rack"));
  Out << ": the first task " << cell(Step.at("outlook")) << '\n';
  if (Step.contains("wait"))
    printWait(Out, Step.at("wait"));
  Out << "  " << Step.at("eligible_total") << " eligible workers with places for "
      << Step.at("places") << " such tasks\n";
  std::vector<Row> Rows = {
      {"  WORKER", "DATA CENTRE", "MANAGER", "END MS", "PLACES", "NEAR DATA", "COLD", "WANTED"}};
  for (const auto &Each : Step.at("eligible"))
    Rows.push_back({"  " + cell(Each.at("worker")), cell(Each.at("data_centre")),
                    cell(Each.at("manager")), cell(Each.at("end_ms")), cell(Each.at("places")),
                    yesNo(Each.at("near_data")), yesNo(Each.at("cold")),
                    yesNo(Each.at("rack_wanted"))});
  if (Rows.size() > 1)
    printTable(Out, Rows);
  Rows = {{"  EXCLUDED", "WORKERS", "SUCH AS"}};
  for (const auto &Group : Step.at("excluded"))
    Rows.push_back(
        {"  " + cell(Group.at("why")), cell(Group.at("workers")), joined(Group.at("examples"))});
  if (Rows.size() > 1)
    printTable(Out, Rows);
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

void printPlacement(std::ostream &Out, const json &Report) {
  Out << "manager " << cell(Report.at("manager")) << ", route " << cell(Report.at("route"))
      << ", service " << cell(Report.at("service")) << ", configuration "
      << Report.at("configuration") << '\n'
      << "admission: " << cell(Report.at("admission")) << "; objective in "
      << Report.at("objective_ms") << " ms, of use for " << Report.at("useful_ms") << " ms\n"
      << Report.at("waiting_jobs") << " jobs wait, " << Report.at("jobs_ahead") << " of them ahead";
  if (!Report.at("wait_ms").is_null())
    Out << ", placed in " << Report.at("wait_ms") << " ms";
  Out << '\n';
  std::size_t Number = 0;
  for (const auto &Step : Report.at("steps")) {
    Out << "step " << ++Number << " of " << Report.at("steps_total") << ": ";
    printStep(Out, Step);
  }
  Out << "not known:\n";
  for (const auto &Each : Report.at("unknown"))
    Out << "  " << cell(Each) << '\n';
}

} // namespace cornellift::operators
