#include "Utilities/Replay/Report.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <ostream>
#include <set>

#include <nlohmann/json.hpp>

namespace cornellift::replay {
namespace {

constexpr double BacklogWindowMilliseconds = 600000;
constexpr double NanosecondsPerMicrosecond = 1000;

double meanOf(const std::vector<double> &Values) {
  if (Values.empty())
    return 0;
  return std::accumulate(Values.begin(), Values.end(), 0.0) / static_cast<double>(Values.size());
}

double ratio(double Value, double Base) { return Base > 0 ? Value / Base : 0; }

void addDistribution(Figures &Result, const std::string &Name, const std::vector<double> &Values) {
  Result[Name + "_mean"] = meanOf(Values);
  Result[Name + "_p50"] = quantile(Values, 0.5);
  Result[Name + "_p99"] = quantile(Values, 0.99);
  Result[Name + "_p999"] = quantile(Values, 0.999);
}

/// Caches the plan, because planning takes longer than a replay and most policies complete the same
/// jobs.
const IdealSchedule &planOnce(const Trace &Input, const std::vector<std::uint8_t> &Completed,
                              PlanCache &Cache) {
  if (!Cache.Plan || Cache.Completed != Completed) {
    Cache.Completed = Completed;
    Cache.Plan = planClairvoyant(Input, Completed);
  }
  return *Cache.Plan;
}

void addResponses(Figures &Figures, const Trace &Input, const ReplayResult &Result,
                  PlanCache &Cache) {
  std::vector<std::uint8_t> Completed;
  for (const auto &Outcome : Result.Jobs)
    Completed.push_back(Outcome.End == JobEnd::Completed ? 1 : 0);
  if (Cache.Mode == Planning::None) {
    std::vector<double> Responses;
    for (std::size_t Job = 0; Job < Completed.size(); ++Job)
      if (Completed[Job] != 0 && Input.Jobs[Job].At >= Input.WarmUp)
        Responses.push_back(Result.Jobs[Job].Response);
    addDistribution(Figures, "response_ms", Responses);
    return;
  }
  const auto &Ideal = planOnce(Input, Completed, Cache);
  std::vector<double> Responses;
  std::vector<double> Planned;
  std::vector<double> Tail;
  std::vector<double> Bounds;
  std::vector<double> Ratios;
  for (std::size_t Job = 0; Job < Completed.size(); ++Job) {
    if (Completed[Job] == 0 || Input.Jobs[Job].At < Input.WarmUp || Ideal.Planned[Job] <= 0)
      continue;
    Responses.push_back(Result.Jobs[Job].Response);
    Planned.push_back(Ideal.Planned[Job]);
    Tail.push_back(Ideal.Tail[Job]);
    Bounds.push_back(Ideal.LowerBound[Job]);
    Ratios.push_back(Responses.back() / Planned.back());
  }
  addDistribution(Figures, "response_ms", Responses);
  addDistribution(Figures, "ideal_ms", Planned);
  addDistribution(Figures, "bound_ms", Bounds);
  addDistribution(Figures, "job_ratio", Ratios);
  // High quantiles are compared with the plan that has the lowest 0.99 quantile, which may differ
  // from the plan with the lowest mean.
  for (const auto &[Name, Share] : {std::pair{"p99", 0.99}, std::pair{"p999", 0.999}})
    Figures[std::string("ideal_ms_") + Name] = quantile(Tail, Share);
  for (const char *Name : {"mean", "p50", "p99", "p999"})
    Figures[std::string(Name) + "_ratio"] = ratio(Figures["response_ms_" + std::string(Name)],
                                                  Figures["ideal_ms_" + std::string(Name)]);
}

void addOutcomes(Figures &Figures, const Trace &Input, const ReplayResult &Result) {
  std::map<JobEnd, double> Ends;
  double Good = 0;
  double FailedGood = 0;
  double Untrue = 0;
  double ImpossibleStarted = 0;
  double Resubmitted = 0;
  for (std::size_t Job = 0; Job < Result.Jobs.size(); ++Job) {
    const auto &Outcome = Result.Jobs[Job];
    ++Ends[Outcome.End];
    bool IsGood = Input.Jobs[Job].Nature == JobNature::Good;
    Good += IsGood ? 1 : 0;
    FailedGood += IsGood && Outcome.End == JobEnd::Failed ? 1 : 0;
    Untrue += Outcome.RefusedAfterStart ? 1 : 0;
    Resubmitted += Outcome.Submissions - std::min(1U, Outcome.Submissions);
    ImpossibleStarted += Input.Jobs[Job].Label == "impossible" && Outcome.Started ? 1 : 0;
  }
  auto Count = static_cast<double>(Result.Jobs.size());
  Figures["jobs"] = Count;
  Figures["completed"] = Ends[JobEnd::Completed];
  Figures["refused"] = Ends[JobEnd::Refused];
  Figures["refused_share"] = ratio(Ends[JobEnd::Refused], Count);
  Figures["failed_share"] = ratio(FailedGood, Good);
  Figures["cancelled"] = Ends[JobEnd::Cancelled];
  Figures["unanswered_jobs"] = Ends[JobEnd::Unanswered];
  Figures["untrue_refusals"] = Untrue;
  Figures["resubmissions"] = Resubmitted;
  Figures["impossible_started"] = ImpossibleStarted;
}

void addDeadlines(Figures &Figures, const Trace &Input, const ReplayResult &Result) {
  double Late = 0;
  double LateFlagged = 0;
  double InTime = 0;
  double InTimeFlagged = 0;
  std::vector<double> Leads;
  std::vector<double> Refusals;
  for (std::size_t Job = 0; Job < Result.Jobs.size(); ++Job) {
    const auto &Outcome = Result.Jobs[Job];
    const auto &Content = Input.Jobs[Job];
    if (!Content.Deadline)
      continue;
    if (Outcome.End == JobEnd::Refused)
      Refusals.push_back(Outcome.Response);
    if (Outcome.End != JobEnd::Completed)
      continue;
    double Lead = Content.At + *Content.Deadline - Outcome.FlaggedAt;
    bool IsFlagged = Outcome.FlaggedAt >= 0 && Lead > 0;
    bool IsLate = Outcome.Response > *Content.Deadline;
    ++(IsLate ? Late : InTime);
    (IsLate ? LateFlagged : InTimeFlagged) += IsFlagged ? 1 : 0;
    if (IsLate && IsFlagged)
      Leads.push_back(Lead);
  }
  Figures["deadline_in_time"] = InTime;
  Figures["deadline_late"] = Late;
  Figures["deadline_refused"] = static_cast<double>(Refusals.size());
  Figures["deadline_refused_after_ms_p50"] = quantile(Refusals, 0.5);
  Figures["deadline_refused_after_ms_p99"] = quantile(Refusals, 0.99);
  Figures["late_flagged_share"] = Late > 0 ? LateFlagged / Late : 1;
  Figures["late_flag_lead_ms_p50"] = quantile(Leads, 0.5);
  Figures["flagged_in_time_share"] = ratio(InTimeFlagged, InTime);
}

void addMessages(Figures &Figures, const ReplayResult &Result) {
  const auto &Messages = Result.Messages;
  auto Tasks = static_cast<double>(std::max<std::uint64_t>(1, Result.Tasks));
  auto PerTask = [&](std::uint64_t Count) { return static_cast<double>(Count) / Tasks; };
  Figures["tasks"] = static_cast<double>(Result.Tasks);
  Figures["messages_per_task"] =
      PerTask(Messages.Starts + Messages.wasted() - Messages.Refused + Messages.SlotExchange);
  Figures["wasted_per_task"] = PerTask(Messages.wasted());
  Figures["wasted_refused"] = PerTask(Messages.Refused);
  Figures["wasted_probes"] = PerTask(Messages.Probes);
  Figures["wasted_duplicates"] = PerTask(Messages.Duplicates);
  Figures["wasted_status_queries"] = PerTask(Messages.StatusQueries);
  Figures["wasted_fences"] = PerTask(Messages.Fences);
  Figures["wasted_cancelled"] = PerTask(Messages.WastedCancels);
  Figures["slot_exchange_per_task"] = PerTask(Messages.SlotExchange);
  Figures["store_calls"] = static_cast<double>(Messages.Store);
  Figures["double_starts"] = static_cast<double>(Result.DoubleStarts);
}

void addLoad(Figures &Figures, const Trace &Input, const ReplayResult &Result) {
  double Busy = 0;
  double Slots = 0;
  for (const auto &Sample : Result.Samples) {
    if (Sample.Waiting < Sample.Slots || Sample.Slots == 0)
      continue;
    Busy += Sample.Busy;
    Slots += Sample.Slots;
  }
  Figures["goodput_in_overload"] =
      Slots > 0 ? Busy / Slots * ratio(Result.UsefulWork, Result.TotalWork) : 1;
  Figures["useful_work_share"] = ratio(Result.UsefulWork, Result.TotalWork);
  Figures["longest_over_quota_ms"] = Result.LongestOverQuota;
  Figures["longest_under_quota_wait_ms"] = Result.LongestUnderQuotaWait;
  Figures["silent_found_after_ms"] = Result.LongestSilence;
  Figures["ejected_share"] = Result.EjectedShare;
  double Late = 0;
  for (std::size_t Job = 0; Job < Result.Jobs.size(); ++Job) {
    const auto &Outcome = Result.Jobs[Job];
    bool Left = Outcome.End == JobEnd::Unanswered ||
                Input.Jobs[Job].At + Outcome.Response > Input.BurstEnd + BacklogWindowMilliseconds;
    Late += Input.Jobs[Job].Label.starts_with("burst-") && Left ? 1 : 0;
  }
  Figures["burst_backlog_after_10_minutes"] = Late;
  Figures["burst_drained_after_ms"] =
      Result.EndOfBurst >= 0 ? std::max(0.0, Result.EndOfBurst - Input.BurstEnd) : 0;
}

void addTimes(Figures &Figures, const ReplayResult &Result) {
  std::vector<double> Microseconds;
  Microseconds.reserve(Result.Times.Next.size());
  for (auto Nanoseconds : Result.Times.Next)
    Microseconds.push_back(Nanoseconds / NanosecondsPerMicrosecond);
  Figures["decision_us_mean"] = meanOf(Microseconds);
  Figures["decision_us_p99"] = quantile(Microseconds, 0.99);
  auto Placements = static_cast<double>(std::max<std::uint64_t>(1, Result.Times.Placements));
  double NextTotal = std::accumulate(Microseconds.begin(), Microseconds.end(), 0.0);
  Figures["decision_us_per_placement"] = NextTotal / Placements;
  Figures["scheduler_us_per_task"] =
      static_cast<double>(Result.Times.Total) / NanosecondsPerMicrosecond / Placements;
}

std::set<std::string> namesOf(std::span<const PolicyFigures> Policies) {
  std::set<std::string> Names;
  for (const auto &Policy : Policies)
    for (const auto &[Name, Value] : Policy.Values)
      Names.insert(Name);
  return Names;
}

double valueOf(const PolicyFigures &Policy, const std::string &Name) {
  auto Found = Policy.Values.find(Name);
  return Found == Policy.Values.end() ? std::nan("") : Found->second;
}

void writeText(std::string_view TraceName, std::span<const PolicyFigures> Policies,
               std::ostream &Output) {
  constexpr int NameWidth = 32;
  constexpr int ValueWidth = 18;
  Output << std::left << std::setw(NameWidth) << TraceName << std::right;
  for (const auto &Policy : Policies)
    Output << std::setw(ValueWidth) << Policy.Policy;
  Output << '\n';
  for (const auto &Name : namesOf(Policies)) {
    Output << std::left << std::setw(NameWidth) << Name << std::right;
    for (const auto &Policy : Policies)
      Output << std::setw(ValueWidth) << std::setprecision(6) << valueOf(Policy, Name);
    Output << '\n';
  }
}

void writeCsv(std::string_view TraceName, std::span<const PolicyFigures> Policies,
              std::ostream &Output) {
  auto Names = namesOf(Policies);
  Output << "trace,policy";
  for (const auto &Name : Names)
    Output << ',' << Name;
  Output << '\n';
  for (const auto &Policy : Policies) {
    Output << TraceName << ',' << Policy.Policy;
    for (const auto &Name : Names)
      Output << ',' << std::setprecision(9) << valueOf(Policy, Name);
    Output << '\n';
  }
}

void writeJson(std::string_view TraceName, std::span<const PolicyFigures> Policies,
               std::ostream &Output) {
  nlohmann::json Result{{"trace", TraceName}, {"policies", nlohmann::json::array()}};
  for (const auto &Policy : Policies)
    Result["policies"].push_back({{"policy", Policy.Policy}, {"figures", Policy.Values}});
  Output << Result.dump(1) << '\n';
}

} // namespace

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  auto Rank = std::ceil(Share * static_cast<double>(Values.size())) - 1;
  auto Position = static_cast<std::ptrdiff_t>(std::max(0.0, Rank));
  std::nth_element(Values.begin(), Values.begin() + Position, Values.end());
  return Values[static_cast<std::size_t>(Position)];
}

Figures measure(const Trace &Input, const ReplayResult &Result, PlanCache &Cache) {
  Figures Values;
  addResponses(Values, Input, Result, Cache);
  addOutcomes(Values, Input, Result);
  addDeadlines(Values, Input, Result);
  addMessages(Values, Result);
  addLoad(Values, Input, Result);
  addTimes(Values, Result);
  return Values;
}

double burstStart(const Trace &Input) {
  for (const auto &Job : Input.Jobs)
    if (Job.Label.starts_with("burst-"))
      return Job.At;
  return -1;
}

double reprintQuantile(const Trace &Input, const ReplayResult &Result, double From, double Until) {
  std::vector<double> Responses;
  for (std::size_t Job = 0; Job < Input.Jobs.size(); ++Job) {
    const auto &Content = Input.Jobs[Job];
    if (Content.Label.ends_with("reprint") && Content.At >= From && Content.At <= Until &&
        Result.Jobs[Job].End == JobEnd::Completed)
      Responses.push_back(Result.Jobs[Job].Response);
  }
  return Responses.empty() ? -1 : quantile(std::move(Responses), 0.99);
}

Trace onlyReprints(const Trace &Input) {
  Trace Result = Input;
  for (auto &Job : Result.Jobs)
    if (!Job.Label.ends_with("reprint"))
      Job.Tasks.clear();
  std::erase_if(Result.Jobs, [](const TraceJob &Job) { return Job.Tasks.empty(); });
  return Result;
}

std::optional<ReportFormat> parseFormat(std::string_view Name) {
  if (Name == "text")
    return ReportFormat::Text;
  if (Name == "csv")
    return ReportFormat::Csv;
  if (Name == "json")
    return ReportFormat::Json;
  return core::fail(core::ErrorKind::Malformed,
                    "unknown format \"" + std::string(Name) + "\"; use text, csv or json");
}

void writeReport(std::string_view TraceName, std::span<const PolicyFigures> Policies,
                 ReportFormat Format, std::ostream &Output) {
  if (Format == ReportFormat::Text)
    writeText(TraceName, Policies, Output);
  else if (Format == ReportFormat::Csv)
    writeCsv(TraceName, Policies, Output);
  else
    writeJson(TraceName, Policies, Output);
}

bool checkExpectations(std::span<const Expectation> Expectations, const PolicyFigures &Checked,
                       std::ostream &Output) {
  bool AllHold = true;
  for (const auto &Expected : Expectations) {
    double Value = valueOf(Checked, Expected.Metric);
    // An expectation on a figure that was not measured fails.
    bool Holds = !std::isnan(Value) && (!Expected.AtMost || Value <= *Expected.AtMost) &&
                 (!Expected.AtLeast || Value >= *Expected.AtLeast);
    AllHold = AllHold && Holds;
    Output << (Holds ? "holds  " : "fails  ") << Expected.Metric << " = " << Value;
    if (Expected.AtMost)
      Output << ", at most " << *Expected.AtMost;
    if (Expected.AtLeast)
      Output << ", at least " << *Expected.AtLeast;
    Output << '\n';
  }
  return AllHold;
}

} // namespace cornellift::replay
