#include "Utilities/Replay/Comparison.h"

#include "Libraries/LibCore/Reason.h"
#include "Utilities/Replay/ReplayRun.h"

#include <algorithm>
#include <array>
#include <limits>

namespace cornellift::replay {
namespace {

/// Response time in milliseconds that stands for a job that did not complete.
constexpr double UncompletedResponseMilliseconds = 1e9;

struct Preset {
  const char *Name;
  kernel::PolicyConfiguration Policy;
};

/// A baseline ignores speeds, teams and health: one FIFO queue, no ejection.
kernel::PolicyConfiguration baseline(const char *Placement) {
  kernel::PolicyConfiguration Policy;
  Policy.Placement = Placement;
  Policy.Ordering = "arrival";
  Policy.Admission = "queue-bound";
  Policy.MaximumEjectedShare = 0;
  return Policy;
}

constexpr std::array<std::string_view, 4> BaselineNames{"random", "round-robin", "two-choices",
                                                        "least-connections"};

const std::vector<Preset> &presets() {
  static const std::vector<Preset> Known = [] {
    std::vector<Preset> Result{{"default", {}}, {"default-0", baseline("first-free")}};
    for (auto Name : BaselineNames)
      Result.push_back({Name.data(), baseline(Name.data())});
    return Result;
  }();
  return Known;
}

bool isBaseline(std::string_view Name) {
  return std::find(BaselineNames.begin(), BaselineNames.end(), Name) != BaselineNames.end();
}

std::vector<double> responsesOf(const Trace &Input, const ReplayResult &Result) {
  std::vector<double> Responses;
  for (std::size_t Job = 0; Job < Result.Jobs.size(); ++Job)
    if (Result.Jobs[Job].End == JobEnd::Completed && Input.Jobs[Job].At >= Input.WarmUp)
      Responses.push_back(Result.Jobs[Job].Response);
  return Responses;
}

/// 0.99 quantile of the response times of all good jobs, including those that did not complete.
/// Refused and cancelled jobs are excluded.
double tailWithFailures(const Trace &Input, const ReplayResult &Result) {
  std::vector<double> Responses;
  for (std::size_t Job = 0; Job < Result.Jobs.size(); ++Job) {
    const auto &Outcome = Result.Jobs[Job];
    if (Input.Jobs[Job].Nature != JobNature::Good || Input.Jobs[Job].At < Input.WarmUp ||
        Outcome.End == JobEnd::Refused || Outcome.End == JobEnd::Cancelled)
      continue;
    Responses.push_back(Outcome.End == JobEnd::Completed ? Outcome.Response
                                                         : UncompletedResponseMilliseconds);
  }
  return quantile(std::move(Responses), 0.99);
}

void addReprints(const Trace &Input, const ReplayResult &Result,
                 const kernel::PolicyConfiguration &Policy, std::optional<double> MessageCost,
                 Figures &Values) {
  // The trace of reprints alone has no burst, so its window is taken from the whole trace.
  double From = burstStart(Input);
  double InBurst = reprintQuantile(Input, Result, From, Result.EndOfBurst);
  if (Result.EndOfBurst < 0 || InBurst < 0)
    return;
  auto Idle = onlyReprints(Input);
  auto IdleResult = ReplayRun(Idle, Policy, MessageCost).run();
  double OnIdle = reprintQuantile(Idle, IdleResult, From, Result.EndOfBurst);
  Values["reprint_p99_ms"] = InBurst;
  Values["reprint_idle_p99_ms"] = OnIdle;
  Values["reprint_p99_over_idle"] = OnIdle > 0 ? InBurst / OnIdle : 0;
}

} // namespace

std::vector<std::string> presetNames() {
  std::vector<std::string> Names;
  for (const auto &Preset : presets())
    Names.emplace_back(Preset.Name);
  return Names;
}

std::optional<kernel::PolicyConfiguration> findPreset(std::string_view Name) {
  for (const auto &Preset : presets())
    if (Preset.Name == Name)
      return Preset.Policy;
  std::string Known;
  for (const auto &Preset : presets())
    Known += std::string(Known.empty() ? "" : ", ") + Preset.Name;
  return core::fail(core::ErrorKind::NotFound,
                    "unknown policy \"" + std::string(Name) + "\"; use one of " + Known);
}

std::vector<ComparedRun> compare(const Trace &Input, std::span<const std::string> Presets,
                                 std::optional<double> MessageCost, Planning Mode) {
  std::vector<ComparedRun> Runs;
  PlanCache Cache{Mode, {}, {}};
  double OwnTail = UncompletedResponseMilliseconds;
  double BestBaseline = std::numeric_limits<double>::infinity();
  for (const auto &Name : Presets) {
    auto Policy = findPreset(Name).value_or(kernel::PolicyConfiguration{});
    auto Result = ReplayRun(Input, Policy, MessageCost).run();
    auto Values = measure(Input, Result, Cache);
    if (Runs.empty()) {
      addReprints(Input, Result, Policy, MessageCost, Values);
      OwnTail = tailWithFailures(Input, Result);
    }
    if (isBaseline(Name))
      BestBaseline = std::min(BestBaseline, tailWithFailures(Input, Result));
    Runs.push_back({{Name, std::move(Values)}, responsesOf(Input, Result), Result.Samples});
  }
  if (!Runs.empty() && BestBaseline < std::numeric_limits<double>::infinity()) {
    Runs.front().Figures.Values["p99_gain"] = BestBaseline / OwnTail;
  }
  return Runs;
}

} // namespace cornellift::replay
