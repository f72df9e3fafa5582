#include "Kernel/Pool/RunPrognosis.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cornellift::kernel {
namespace {

/// A run that takes less than this many times the expected time needs no explanation.
constexpr double NotableFactor = 1.5;
/// Logarithm of the odds against a fault of a worker that has no other sign of one.
constexpr double LogOddsAgainstFault = 5.5;
/// Standard deviation of the logarithm of run times within a step, including the error of the
/// workers' estimated speeds.
constexpr double SiblingDeviation = 0.3;
/// Now and then a job is far longer than the spread of its kind suggests: the odds against a job
/// that is longer by some factor grow with this power of it at most.
constexpr double TailExponent = 1.8;
/// The same among overlong jobs, whose share is known.
constexpr double OverlongTailExponent = 0.7;
/// Bound on the evidence from one neighbour.
constexpr double MaximumNeighbourLogOdds = 6;

constexpr double MinimumShare = 1e-6;
/// Slowdowns that are considered: by half, and on in steps of a fifth.
constexpr double LeastLogSlowdown = 0.4;
constexpr double LogSlowdownStep = 0.2;

double square(double Value) { return Value * Value; }

template <typename Member> double medianOf(std::span<const ObservedRun> Runs, Member Of) {
  std::vector<double> Values;
  Values.reserve(Runs.size());
  for (const auto &Each : Runs)
    Values.push_back(Each.*Of);
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

/// Logarithm of the odds against a job whose tasks take longer than expected by the given factor,
/// or shorter.
double logOddsAgainstLength(double LogFactor, double Deviation, double OverlongShare) {
  double BySpread = square(LogFactor) / (2 * square(std::max(Deviation, SiblingDeviation)));
  if (LogFactor <= 0)
    return BySpread;
  double ByShare = -std::log(std::max(OverlongShare, MinimumShare)) +
                   OverlongTailExponent * (LogFactor - std::log(OverlongFactor));
  return std::min({BySpread, TailExponent * LogFactor, std::max(0.0, ByShare)});
}

/// The worker's slowdown that explains the evidence best.
struct Explanation {
  double LogSlowdown = 0;
  double LogOdds = 0;
};

/// How much more likely the neighbours' run times are if the worker is slower by the given factor.
double neighbourLogOdds(std::span<const NeighbourRun> Neighbours, double LogSlowdown) {
  double Sum = 0;
  for (const auto &Each : Neighbours) {
    double LogFactor = std::log(Each.Milliseconds / Each.ExpectedMilliseconds);
    double LogOdds =
        logOddsAgainstLength(LogFactor, Each.Deviation, Each.OverlongShare) -
        logOddsAgainstLength(LogFactor - LogSlowdown, Each.Deviation, Each.OverlongShare);
    Sum += std::clamp(LogOdds, -MaximumNeighbourLogOdds, MaximumNeighbourLogOdds);
  }
  return Sum;
}

/// Finds the slowdown by which the worker is most likely at fault. The run is longer than it should
/// be by LogFactor; Against gives the odds against the part of it that the job has to explain. A
/// long job may well be on a slow worker.
template <typename Function>
Explanation explain(const RunEvidence &Evidence, double LogFactor, double LogOddsAgainst,
                    Function Against) {
  Explanation Best{0, -LogOddsAgainst};
  for (double LogSlowdown = LeastLogSlowdown; LogSlowdown <= LogFactor;
       LogSlowdown += LogSlowdownStep) {
    double LogOdds = Against(LogFactor) - Against(LogFactor - LogSlowdown) - LogOddsAgainst +
                     neighbourLogOdds(Evidence.Neighbours, LogSlowdown);
    if (LogOdds > Best.LogOdds)
      Best = {LogSlowdown, LogOdds};
  }
  return Best;
}

/// Holds the run against its siblings on other workers.
Explanation explainBySiblings(const RunEvidence &Evidence, double SiblingMilliseconds,
                              std::size_t Siblings) {
  double Variance = square(SiblingDeviation) * (1 + 1 / static_cast<double>(Siblings));
  return explain(Evidence, std::log(Evidence.Own.AtLeast / SiblingMilliseconds),
                 LogOddsAgainstFault,
                 [&](double LogFactor) { return square(LogFactor) / (2 * Variance); });
}

/// Holds the run against its kind. Siblings that are as long would have to be on workers with a
/// fault, too.
Explanation explainByKind(const RunEvidence &Evidence, std::size_t Siblings) {
  return explain(Evidence, std::log(Evidence.Own.AtLeast / Evidence.ExpectedMilliseconds),
                 LogOddsAgainstFault * static_cast<double>(1 + Siblings), [&](double LogFactor) {
                   return logOddsAgainstLength(LogFactor, Evidence.Deviation,
                                               Evidence.OverlongShare);
                 });
}

} // namespace

double medianMilliseconds(std::span<const ObservedRun> Runs) {
  return medianOf(Runs, &ObservedRun::Milliseconds);
}

double medianAtLeast(std::span<const ObservedRun> Runs) {
  return medianOf(Runs, &ObservedRun::AtLeast);
}

RunPrognosis prognoseRun(const RunEvidence &Evidence) {
  RunPrognosis Result;
  Result.TypicalMilliseconds = Evidence.Own.Milliseconds;
  if (Evidence.Own.AtLeast < NotableFactor * Evidence.ExpectedMilliseconds)
    return Result;
  std::vector<ObservedRun> Elsewhere;
  for (const auto &Each : Evidence.Siblings)
    if (Each.Worker != Evidence.Own.Worker)
      Elsewhere.push_back(Each);
  Result.Siblings = Elsewhere.size();
  auto Best = explainByKind(Evidence, Elsewhere.size());
  double SoundMilliseconds = Evidence.Own.Milliseconds / std::exp(Best.LogSlowdown);
  if (!Elsewhere.empty()) {
    double Typical = medianMilliseconds(Elsewhere);
    auto BySiblings = explainBySiblings(Evidence, Typical, Elsewhere.size());
    if (BySiblings.LogOdds >= Best.LogOdds) {
      Best = BySiblings;
      SoundMilliseconds = Typical;
    }
  }
  Result.LogOdds = Best.LogOdds;
  if (Result.LogOdds > 0) {
    Result.Delay = RunDelay::SlowWorker;
    Result.TypicalMilliseconds = SoundMilliseconds;
  } else {
    Result.Delay = RunDelay::LongJob;
  }
  return Result;
}

} // namespace cornellift::kernel
