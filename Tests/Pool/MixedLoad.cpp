#include "Tests/Pool/MixedLoad.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

namespace cornellift::test {
namespace {

/// Standard deviations of the logarithms of a job's number of tasks and of its run time.
constexpr double WidthSpread = 0.6;
constexpr double RunTimeSpread = 0.3;
/// Largest number of tasks of a job, relative to the mean of its kind.
constexpr double LargestWidth = 4;
/// By this share the longest of a number of tasks takes longer for each doubling of that number, as
/// the manager assumes for objectives.
constexpr double LongestPerDoubling = 0.06;
constexpr double MeanSpeed =
    (SlowWorkerSpeed + FastWorkerSpeed + FastWorkerSpeed) / SlowWorkerInterval;
constexpr core::Duration Step = std::chrono::milliseconds(10);
/// Longer than the last jobs wait and run.
constexpr core::Duration DrainTime = std::chrono::seconds(6);
/// The tenth of a kind's jobs with the most work.
constexpr std::size_t WidestPart = 10;

/// A job that was submitted.
struct Offered {
  JobKey Key{};
  double Work = 0; ///< Core-milliseconds.
  core::Duration Objective{};
};

/// Core-milliseconds of a job in the mean.
double meanWorkOf(const LoadKind &Kind) { return Kind.Tasks * Kind.RunMilliseconds * Kind.Cores; }

Offered submitOne(PoolSimulation &Simulation, const LoadKind &Kind, std::mt19937_64 &Random) {
  auto Spread = [&](double Deviation) {
    std::normal_distribution<double> Normal(-Deviation * Deviation / 2, Deviation);
    return std::exp(Normal(Random));
  };
  CallerWork Work;
  Work.Tasks = static_cast<std::uint32_t>(
      std::clamp(std::round(Kind.Tasks * Spread(WidthSpread)), 1.0, LargestWidth * Kind.Tasks));
  Work.RunMilliseconds = Kind.RunMilliseconds * Spread(RunTimeSpread);
  Work.Cores = Kind.Cores;
  Work.Route = Kind.Route;
  Work.Priority = Kind.Priority;
  Work.Stretch = Kind.Stretch;
  double Longest = Work.RunMilliseconds * (1 + LongestPerDoubling * std::log2(Work.Tasks));
  auto Objective = core::fromMilliseconds(Kind.Stretch * Longest + TargetLatencyMilliseconds);
  return {Simulation.submit(Work), Work.Tasks * Work.RunMilliseconds * Work.Cores, Objective};
}

bool isInTime(const PoolSimulation &Simulation, const Offered &Job) {
  auto Answer = Simulation.answerOf(Job.Key);
  return Answer && Answer->Verdict == JobVerdict::Completed &&
         Simulation.latencyOf(Job.Key) <= Job.Objective;
}

double shareOf(std::span<const Offered> Jobs, const std::function<bool(const Offered &)> &Test) {
  auto Count = std::count_if(Jobs.begin(), Jobs.end(), Test);
  return Jobs.empty() ? 0 : static_cast<double>(Count) / static_cast<double>(Jobs.size());
}

/// Mean time until a refusal, in milliseconds; zero without one.
double refusedAfter(const PoolSimulation &Simulation, std::span<const Offered> Jobs) {
  double Sum = 0;
  double Count = 0;
  for (const auto &Job : Jobs) {
    auto Answer = Simulation.answerOf(Job.Key);
    if (!Answer || Answer->Verdict != JobVerdict::Rejected)
      continue;
    Sum += core::toMilliseconds(Simulation.latencyOf(Job.Key));
    Count += 1;
  }
  return Count > 0 ? Sum / Count : 0;
}

KindResult judge(const PoolSimulation &Simulation, std::vector<Offered> &Jobs) {
  std::sort(Jobs.begin(), Jobs.end(),
            [](const Offered &Left, const Offered &Right) { return Left.Work > Right.Work; });
  auto InTime = [&](const Offered &Job) { return isInTime(Simulation, Job); };
  auto HasVerdict = [&](std::span<const Offered> Among, JobVerdict Verdict) {
    return shareOf(Among, [&](const Offered &Job) {
      auto Answer = Simulation.answerOf(Job.Key);
      return Answer && Answer->Verdict == Verdict;
    });
  };
  auto Widest = std::span<const Offered>(Jobs).first(Jobs.size() / WidestPart);
  return {Jobs.size(),
          shareOf(Jobs, InTime),
          shareOf(Widest, InTime),
          HasVerdict(Widest, JobVerdict::Rejected),
          HasVerdict(Jobs, JobVerdict::Rejected),
          HasVerdict(Jobs, JobVerdict::GivenUp),
          refusedAfter(Simulation, Jobs)};
}

} // namespace

std::string LoadResult::describe() const {
  std::ostringstream Out;
  Out.precision(3);
  Out << "work in time " << WorkInTime;
  for (const auto &Kind : Kinds)
    Out << "; " << Kind.Jobs << " jobs, in time " << Kind.InTime << ", widest " << Kind.WidestInTime
        << " (rejected " << Kind.WidestRejected << "), rejected " << Kind.Rejected << ", given up "
        << Kind.GivenUp;
  return Out.str();
}

LoadResult offer(PoolSimulation &Simulation, std::span<const LoadKind> Kinds, double Load,
                 core::Duration Span) {
  double Room = static_cast<double>(Simulation.workerCount()) * WorkerCores * MeanSpeed;
  std::mt19937_64 Random(1); // The same load, whatever the simulation draws.
  std::vector<std::vector<Offered>> Jobs(Kinds.size());
  for (auto End = Simulation.now() + Span; Simulation.now() < End; Simulation.run(Step))
    for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind) {
      double Mean = Load * Room * Kinds[Kind].WorkShare * core::toMilliseconds(Step) /
                    meanWorkOf(Kinds[Kind]);
      auto Count = std::poisson_distribution<int>(Mean)(Random);
      for (int Each = 0; Each < Count; ++Each)
        Jobs[Kind].push_back(submitOne(Simulation, Kinds[Kind], Random));
    }
  Simulation.run(DrainTime);
  LoadResult Result;
  double Offer = 0;
  double Served = 0;
  for (auto &OfKind : Jobs) {
    Result.Kinds.push_back(judge(Simulation, OfKind));
    for (const auto &Job : OfKind) {
      Offer += Job.Work;
      Served += isInTime(Simulation, Job) ? Job.Work : 0;
    }
  }
  Result.WorkInTime = Served / Offer;
  return Result;
}

} // namespace cornellift::test
