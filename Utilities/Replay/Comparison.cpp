#include "Utilities/Replay/Comparison.h"

#include "Libraries/LibCore/Reason.h"
#include "Utilities/Replay/ReplayRun.h"

#include <algorithm>
#include <array>
#include <limits>

namespace cornellift::replay {
namespace {

struct Preset {
  const char *Name;
  kernel::PolicyConfiguration Policy;
};

/// A baseline knows no speeds, teams or health: one queue in order of arrival, no ejection.
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

void addReprints(const Trace &Input, const ReplayResult &Result,
                 const kernel::PolicyConfiguration &Policy, std::optional<double> MessageCost,
                 Figures &Values) {
  double InBurst = reprintQuantile(Input, Result, Result.EndOfBurst);
  if (Result.EndOfBurst < 0 || InBurst < 0)
    return;
  auto Idle = onlyReprints(Input);
  auto IdleResult = ReplayRun(Idle, Policy, MessageCost).run();
  double OnIdle = reprintQuantile(Idle, IdleResult, Result.EndOfBurst);
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
                    "there is no policy \"" + std::string(Name) + "\"; use some of " + Known);
}

std::vector<ComparedRun> compare(const Trace &Input, std::span<const std::string> Presets,
                                 std::optional<double> MessageCost) {
  std::vector<ComparedRun> Runs;
  PlanCache Cache;
  double BestBaseline = std::numeric_limits<double>::infinity();
  for (const auto &Name : Presets) {
    auto Policy = findPreset(Name).value_or(kernel::PolicyConfiguration{});
    auto Result = ReplayRun(Input, Policy, MessageCost).run();
    auto Values = measure(Input, Result, Cache);
    if (Runs.empty())
      addReprints(Input, Result, Policy, MessageCost, Values);
    if (isBaseline(Name))
      BestBaseline = std::min(BestBaseline, Values["response_ms_p99"]);
    Runs.push_back({{Name, std::move(Values)}, responsesOf(Input, Result), Result.Samples});
  }
  if (!Runs.empty() && BestBaseline < std::numeric_limits<double>::infinity()) {
    auto &First = Runs.front().Figures.Values;
    First["p99_gain"] = BestBaseline / std::max(1e-9, First["response_ms_p99"]);
  }
  return Runs;
}

} // namespace cornellift::replay
