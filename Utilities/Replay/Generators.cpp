#include "Utilities/Replay/Generators.h"

#include "Libraries/LibCore/Reason.h"
#include "Utilities/Replay/Workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace cornellift::replay {
namespace {

constexpr double MillisecondsPerSecond = 1000;
constexpr double BurstLoad = 5;
/// Share of the tasks that run for longer than a second.
constexpr double LongTaskShare = 0.02;
/// Standard deviation of the logarithm of declared over true run times, and the share of tasks
/// whose declaration is off by a further factor of ten.
constexpr double DeclarationDeviation = 0.7;
constexpr double TenfoldShare = 0.05;
constexpr double SpeedDeviation = 0.25;
constexpr double DriftDeviation = 0.02;
constexpr double DriftInterval = 5000;
constexpr std::uint32_t WorkersPerRack = 6;

class Generator {
public:
  explicit Generator(const GeneratorOptions &Options, Workload Base)
      : Options_(Options), Workload_(std::move(Base)), Random_(Options.Seed) {}

  Trace make() {
    scaleWorkload();
    makeHeader();
    makeWorkers();
    makeDrift();
    makeJobs();
    applyScenario();
    auto ByTime = [](const auto &Left, const auto &Right) { return Left.At < Right.At; };
    std::stable_sort(Result_.Changes.begin(), Result_.Changes.end(), ByTime);
    std::stable_sort(Result_.Jobs.begin(), Result_.Jobs.end(), ByTime);
    return std::move(Result_);
  }

private:
  double uniform(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(Random_);
  }
  double normal(double Deviation) {
    return std::normal_distribution<double>(0, Deviation)(Random_);
  }
  std::uint32_t below(std::size_t Count) { return static_cast<std::uint32_t>(Random_() % Count); }
  double end() const { return Options_.Seconds * MillisecondsPerSecond; }

  /// Applies the options for run times, data centres and teams. Generated teams have unequal
  /// shares; the team "counter", if the workload has one, gets the mean share.
  void scaleWorkload() {
    for (auto &Shape : Workload_.Shapes)
      Shape.Median *= Options_.RunTimeScale;
    if (Options_.DataCentres > 0)
      Workload_.DataCentres.clear();
    for (std::uint32_t Index = 0; Index < Options_.DataCentres; ++Index)
      Workload_.DataCentres.push_back("centre-" + std::to_string(Index));
    if (Options_.Teams == 0)
      return;
    bool HasCounter = Workload_.Teams.back().Name == "counter";
    Workload_.Teams.clear();
    constexpr std::uint32_t LargestShare = 5;
    for (std::uint32_t Index = 0; Index + (HasCounter ? 1 : 0) < Options_.Teams; ++Index)
      Workload_.Teams.push_back({"team-" + std::to_string(Index), 1.0 + Index % LargestShare});
    if (HasCounter)
      Workload_.Teams.push_back({"counter", (1 + LargestShare) / 2.0});
  }

  void makeHeader() {
    Result_.Name =
        (Workload_.Workers.empty() ? Options_.Workload : "configured") + "-" + Options_.Scenario;
    Result_.Seed = Options_.Seed;
    Result_.OneWay = Workload_.OneWay;
    Result_.WarmUp = end() / 4;
    Result_.EntryVms = Options_.EntryVms;
    Result_.Services = Workload_.Services;
    for (const auto &Shape : Workload_.Shapes) {
      auto &Kinds = Result_.Services[Shape.Service].Kinds;
      KindOfShape_.push_back(static_cast<std::uint32_t>(Kinds.size()));
      Kinds.push_back(Shape.Kind);
    }
    Result_.Teams = Workload_.Teams;
  }

  void makeWorkers() {
    for (std::uint32_t Index = 0; Index < Options_.Workers; ++Index) {
      TraceWorker Worker;
      if (Workload_.Workers.empty()) {
        Worker.Name = "w" + std::to_string(Index);
        Worker.DataCentre =
            Workload_.DataCentres[Index / WorkersPerRack % Workload_.DataCentres.size()];
        Worker.Capacity = Workload_.Capacity;
      } else {
        Worker = Workload_.Workers[Index];
      }
      Worker.Speed = std::clamp(std::exp(normal(SpeedDeviation)), 0.5, 1.8);
      Capacity_ += Worker.Slots * Worker.Speed;
      Result_.Workers.push_back(std::move(Worker));
    }
  }

  /// Lets the speeds of generated workers drift. Workers of a configuration are also run as
  /// stand-in processes, whose speed is constant.
  void makeDrift() {
    if (!Workload_.Workers.empty())
      return;
    std::vector<double> Speeds;
    for (const auto &Worker : Result_.Workers)
      Speeds.push_back(Worker.Speed);
    for (double At = DriftInterval; At < end(); At += DriftInterval)
      for (std::uint32_t Index = 0; Index < Speeds.size(); ++Index) {
        Speeds[Index] = std::clamp(Speeds[Index] * std::exp(normal(DriftDeviation)), 0.5, 1.8);
        Result_.Changes.push_back({At, SpeedChange{Index, Speeds[Index]}});
      }
  }

  TraceTask makeTask(const JobShape &Shape) {
    TraceTask Task;
    bool IsLong = uniform(0, 1) < LongTaskShare;
    Task.True = IsLong ? uniform(1500, 5000)
                       : std::clamp(Shape.Median * std::exp(normal(Shape.Deviation)), 50.0, 1000.0);
    double Error = std::exp(normal(DeclarationDeviation));
    if (uniform(0, 1) < TenfoldShare)
      Error *= uniform(0, 1) < 0.5 ? 10 : 0.1;
    Task.Declared = Task.True * Error;
    const auto &Needed = Shape.Kind.Needed;
    double Use = uniform(0.3, 1);
    Task.TrueSize = {Needed.Processors * Use, Needed.MemoryMegabytes * Use, 0};
    Task.DeclaredSize = {Needed.Processors * uniform(1, 1.5),
                         Needed.MemoryMegabytes * uniform(1, 2), 0};
    return Task;
  }

  std::uint32_t drawShape() {
    double Draw = uniform(0, 1);
    for (std::uint32_t Kind = 0; Kind + 1 < Workload_.Shapes.size(); ++Kind) {
      if (Draw < Workload_.Shapes[Kind].Weight)
        return Kind;
      Draw -= Workload_.Shapes[Kind].Weight;
    }
    return static_cast<std::uint32_t>(Workload_.Shapes.size() - 1);
  }

  TraceJob makeJob(double At) {
    TraceJob Job;
    Job.At = At;
    auto Drawn = drawShape();
    const auto &Shape = Workload_.Shapes[Drawn];
    Job.Service = Shape.Service;
    Job.Kind = KindOfShape_[Drawn];
    Job.Label = Shape.Label;
    // The team "counter" sends all of the reprints and no other jobs.
    bool IsCounter = Shape.Label == "reprint";
    auto Teams = Workload_.Teams.size();
    if (Workload_.Teams.back().Name == "counter")
      Job.Team = static_cast<std::uint32_t>(IsCounter ? Teams - 1 : below(Teams - 1));
    else
      Job.Team = below(Teams);
    double Size = Shape.SmallestJob * std::pow(Shape.LargestJob / Shape.SmallestJob, uniform(0, 1));
    // Limits the size of a job, so that it is a small part of the total work on a small fleet too.
    double Largest = std::max(1.0, 3.5 * Options_.Workers * 8);
    auto Count = static_cast<std::uint32_t>(std::lround(std::min(Size, Largest)));
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Job.Tasks.push_back(makeTask(Shape));
    return Job;
  }

  static double workOf(const TraceJob &Job) {
    double Work = 0;
    for (const auto &Task : Job.Tasks)
      Work += Task.True;
    return Work;
  }

  /// Adds jobs at independent uniform times until their work is the given share of the capacity.
  /// The number of jobs follows from the work: with job sizes this uneven, the load of a Poisson
  /// stream would be off by a tenth.
  void makeArrivals(double From, double Until, double Load, std::string_view LabelPrefix) {
    double Work = Load * Capacity_ * (Until - From);
    while (Work > 0) {
      auto Job = makeJob(uniform(From, Until));
      Job.Label = std::string(LabelPrefix) + Job.Label;
      Work -= workOf(Job);
      Result_.Jobs.push_back(std::move(Job));
    }
  }

  void makeJobs() { makeArrivals(0, end(), Options_.Load, ""); }

  void expectAtMost(const char *Metric, double Bound) {
    Result_.Expectations.push_back({Metric, Bound, std::nullopt});
  }
  void expectAtLeast(const char *Metric, double Bound) {
    Result_.Expectations.push_back({Metric, std::nullopt, Bound});
  }
  void change(double At, decltype(TimedChange::Content) Content) {
    Result_.Changes.push_back({At, std::move(Content)});
  }

  void applyScenario();
  void applyBurst();
  void applyWorkerFaults();
  void applyOutages();
  void applyFlapping();
  void applyDeadlines();
  void applySilence();
  void applyWrongDeclarations();
  void applyImpossibleJobs();
  void applyStragglers(std::uint32_t Count);

  GeneratorOptions Options_;
  Workload Workload_;
  std::mt19937_64 Random_;
  Trace Result_;
  double Capacity_ = 0;
  std::vector<std::uint32_t> KindOfShape_; ///< Position among its service's kinds.
};

constexpr std::array<std::string_view, 15> Scenarios{
    "calm",        "burst",        "black-hole",         "straggler",     "stragglers",
    "cancel-wave", "declarations", "data-centre-lost",   "entry-vm-lost", "store-away",
    "flapping",    "impossible",   "impossible-and-bad", "deadlines",     "silent"};

void Generator::applyBurst() {
  double From = end() * 0.3;
  // The burst takes a twentieth of the trace, at most 20 s, so that a trace of 700 s has 470 s
  // after it; the 10 minutes that its backlog is given need a trace of 886 s.
  double Until = std::min(From + end() * 0.05, From + 20000);
  makeArrivals(From, Until, BurstLoad, "burst-");
  Result_.BurstEnd = Until;
  expectAtMost("wasted_per_task", 0.02);
  expectAtLeast("goodput_in_overload", 0.97);
  expectAtMost("burst_backlog_after_10_minutes", 0);
  if (Options_.Workload == "slipworks")
    expectAtMost("reprint_p99_over_idle", 1.5);
  if (Options_.Teams > 0)
    expectAtMost("longest_over_quota_ms", 5000);
}

void Generator::applyStragglers(std::uint32_t Count) {
  constexpr double SpeedOfStraggler = 0.1;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    auto Worker = (Index * 7 + 3) % Options_.Workers;
    std::erase_if(Result_.Changes, [&](const TimedChange &Change) {
      const auto *Drift = std::get_if<SpeedChange>(&Change.Content);
      return Drift && Drift->Worker == Worker && Change.At >= end() / 4;
    });
    change(end() / 4, SpeedChange{Worker, SpeedOfStraggler});
  }
}

void Generator::applyWorkerFaults() {
  if (Options_.Scenario == "black-hole") {
    change(end() / 4, WorkerChange{5 % Options_.Workers, WorkerChange::State::FailsAll});
    expectAtLeast("p99_gain", 2);
    expectAtMost("ejected_share", 0.2);
  } else if (Options_.Scenario == "straggler") {
    applyStragglers(1);
    expectAtLeast("p99_gain", 2);
  } else if (Options_.Scenario == "stragglers") {
    applyStragglers(std::max(1U, Options_.Workers / 10));
    expectAtLeast("p99_gain", 2);
  }
}

void Generator::applyOutages() {
  double Half = end() / 2;
  if (Options_.Scenario == "cancel-wave") {
    makeArrivals(end() * 0.4, Half, BurstLoad, "burst-");
    change(Half, CancelWave{0.9});
    expectAtMost("wasted_per_task", 0.02);
    expectAtMost("unanswered_jobs", 0);
  } else if (Options_.Scenario == "data-centre-lost") {
    change(Half, DataCentreChange{Workload_.DataCentres[1], WorkerChange::State::Down});
    change(end() * 0.8, DataCentreChange{Workload_.DataCentres[1], WorkerChange::State::Normal});
    expectAtMost("unanswered_jobs", 0);
    expectAtMost("wasted_per_task", 0.1);
  } else if (Options_.Scenario == "entry-vm-lost") {
    Result_.EntryVms = std::max(3U, Options_.EntryVms);
    change(Half, EntryVmLost{1});
    expectAtMost("unanswered_jobs", 0);
    expectAtMost("double_starts", 0);
  } else if (Options_.Scenario == "store-away") {
    change(end() / 4, StoreChange{false});
    expectAtMost("failed_share", 0);
    expectAtMost("store_calls", 0);
  }
}

void Generator::applyFlapping() {
  constexpr double MeanUp = 4000;
  constexpr double MeanDown = 1500;
  auto Count = std::max(1U, Options_.Workers / 10);
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    auto Worker = (Index * 9 + 1) % Options_.Workers;
    double At = end() / 4;
    while (At < end()) {
      At += uniform(0.5, 1.5) * MeanUp;
      change(At, WorkerChange{Worker, WorkerChange::State::Down});
      At += uniform(0.5, 1.5) * MeanDown;
      change(At, WorkerChange{Worker, WorkerChange::State::Normal});
    }
  }
  expectAtMost("wasted_per_task", 0.1);
  expectAtMost("unanswered_jobs", 0);
}

/// Half of the jobs get a deadline of 0.8 to 5 times their longest task, and a tenth of the trace
/// adds a load of twice the capacity. Some deadlines can't be met from the start, others become
/// impossible later.
void Generator::applyDeadlines() {
  makeArrivals(end() * 0.4, end() * 0.5, 2, "rush-");
  for (auto &Job : Result_.Jobs) {
    if (uniform(0, 1) < 0.5)
      continue;
    double Longest = 0;
    for (const auto &Task : Job.Tasks)
      Longest = std::max(Longest, Task.True);
    Job.Deadline = Longest * uniform(0.8, 5) + 2 * Workload_.OneWay;
  }
  expectAtMost("untrue_refusals", 0);
  expectAtMost("unanswered_jobs", 0);
  expectAtMost("double_starts", 0);
}

/// On a tenth of the workers, the open connections go silent every few seconds.
void Generator::applySilence() {
  constexpr double MeanInterval = 4000;
  auto Count = std::max(1U, Options_.Workers / 10);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    for (double At = end() / 4; At < end(); At += uniform(0.5, 1.5) * MeanInterval)
      change(At, ConnectionsSilent{(Index * 9 + 1) % Options_.Workers});
  expectAtMost("failed_share", 0);
  expectAtMost("resubmissions", 0);
  // Twice the longest run time: 5 s on a worker of half the typical speed.
  expectAtMost("silent_found_after_ms", 20000);
  expectAtMost("unanswered_jobs", 0);
  expectAtMost("double_starts", 0);
}

void Generator::applyWrongDeclarations() {
  for (auto &Job : Result_.Jobs) {
    double Factor = uniform(0, 1) < 0.5 ? 10 : 0.1;
    for (auto &Task : Job.Tasks)
      Task.Declared = Task.True * Factor * std::exp(normal(0.2));
  }
  expectAtMost("failed_share", 0);
  if (Options_.Workload == "alarcon" && Options_.Load <= 0.7)
    expectAtMost("mean_ratio", 1.10);
}

void Generator::applyImpossibleJobs() {
  bool WithBad = Options_.Scenario == "impossible-and-bad";
  for (std::size_t Index = 0; Index < Result_.Jobs.size(); Index += 20) {
    auto &Job = Result_.Jobs[Index];
    Job.Label = "impossible";
    Job.Tasks.back().DeclaredSize.MemoryMegabytes = Workload_.Capacity.MemoryMegabytes * 4;
    Job.Tasks.back().TrueSize.MemoryMegabytes = Workload_.Capacity.MemoryMegabytes * 3;
  }
  for (std::size_t Index = 10; WithBad && Index < Result_.Jobs.size(); Index += 20) {
    Result_.Jobs[Index].Label = "bad";
    Result_.Jobs[Index].Nature = JobNature::Failing;
  }
  expectAtMost("untrue_refusals", 0);
  expectAtMost("impossible_started", 0);
  expectAtMost("ejected_share", 0);
}

void Generator::applyScenario() {
  if (Options_.Scenario == "calm") {
    expectAtMost("failed_share", 0);
    if (Options_.Workload == "alarcon" && Options_.Load <= 0.9) {
      expectAtMost("mean_ratio", Options_.Load <= 0.7 ? 1.10 : 1.25);
      expectAtMost("p99_ratio", Options_.Load <= 0.7 ? 1.30 : 1.75);
    }
  } else if (Options_.Scenario == "burst") {
    applyBurst();
  } else if (Options_.Scenario == "flapping") {
    applyFlapping();
  } else if (Options_.Scenario == "deadlines") {
    applyDeadlines();
  } else if (Options_.Scenario == "silent") {
    applySilence();
  } else if (Options_.Scenario == "declarations") {
    applyWrongDeclarations();
  } else if (Options_.Scenario.starts_with("impossible")) {
    applyImpossibleJobs();
  } else {
    applyWorkerFaults();
    applyOutages();
  }
}

} // namespace

std::span<const std::string_view> scenarioNames() { return Scenarios; }

std::optional<Trace> generateTrace(const GeneratorOptions &Options) {
  if (std::find(Scenarios.begin(), Scenarios.end(), Options.Scenario) == Scenarios.end())
    return core::fail(core::ErrorKind::Malformed,
                      "unknown scenario \"" + Options.Scenario + "\"; see docs/TRACES.md");
  if (!Options.Configuration.is_null()) {
    auto Base = configuredWorkload(Options.Configuration, Options.Workers);
    return Base ? std::optional(Generator(Options, std::move(*Base)).make()) : std::nullopt;
  }
  if (Options.Workload == "slipworks")
    return Generator(Options, slipworksWorkload()).make();
  if (Options.Workload == "alarcon")
    return Generator(Options, alarconWorkload()).make();
  return core::fail(core::ErrorKind::Malformed,
                    "unknown workload \"" + Options.Workload + "\"; use slipworks or alarcon");
}

} // namespace cornellift::replay
