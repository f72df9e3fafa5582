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

/// Logarithm of the odds against a job whose tasks take longer than expected by the given factor.
double logOddsAgainstLength(double LogFactor, double Deviation, double OverlongShare) {
  double BySpread = square(LogFactor) / (2 * square(std::max(Deviation, SiblingDeviation)));
  double ByShare = -std::log(std::max(OverlongShare, MinimumShare)) +
                   OverlongTailExponent * (LogFactor - std::log(OverlongFactor));
  return std::min({BySpread, TailExponent * LogFactor, std::max(0.0, ByShare)});
}

/// How much more likely the neighbours' run times are if the worker is slower by the given factor.
double neighbourLogOdds(std::span<const NeighbourRun> Neighbours, double LogSlowdown) {
  double Sum = 0;
  for (const auto &Each : Neighbours) {
    auto Against = [&](double LogFactor) {
      return LogFactor > 0
                 ? logOddsAgainstLength(LogFactor, Each.Deviation, Each.OverlongShare)
                 : square(LogFactor) / (2 * square(std::max(Each.Deviation, SiblingDeviation)));
    };
    double LogFactor = std::log(Each.Milliseconds / Each.ExpectedMilliseconds);
    Sum += std::clamp(Against(LogFactor) - Against(LogFactor - LogSlowdown),
                      -MaximumNeighbourLogOdds, MaximumNeighbourLogOdds);
  }
  return Sum;
}

/// Logarithm of the odds that the worker is at fault rather than the job long, given siblings on
/// other workers.
double logOddsBySiblings(const RunEvidence &Evidence, double SiblingMilliseconds,
                         std::size_t Siblings) {
  double LogSlowdown = std::max(0.0, std::log(Evidence.Own.AtLeast / SiblingMilliseconds));
  double Variance = square(SiblingDeviation) * (1 + 1 / static_cast<double>(Siblings));
  return square(LogSlowdown) / (2 * Variance) - LogOddsAgainstFault +
         neighbourLogOdds(Evidence.Neighbours, LogSlowdown);
}

/// The same, given the spread of the kind. Siblings that are as long would have to be on workers
/// with a fault, too.
double logOddsByKind(const RunEvidence &Evidence, std::size_t Siblings) {
  double LogSlowdown = std::log(Evidence.Own.AtLeast / Evidence.ExpectedMilliseconds);
  return logOddsAgainstLength(LogSlowdown, Evidence.Deviation, Evidence.OverlongShare) -
         LogOddsAgainstFault * static_cast<double>(1 + Siblings) +
         neighbourLogOdds(Evidence.Neighbours, LogSlowdown);
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
  double SoundMilliseconds = Evidence.ExpectedMilliseconds;
  Result.LogOdds = logOddsByKind(Evidence, Elsewhere.size());
  if (!Elsewhere.empty()) {
    double Typical = medianMilliseconds(Elsewhere);
    double LogOdds = logOddsBySiblings(Evidence, Typical, Elsewhere.size());
    if (LogOdds >= Result.LogOdds) {
      Result.LogOdds = LogOdds;
      SoundMilliseconds = Typical;
    }
  }
  Result.Delay = Result.LogOdds > 0 ? RunDelay::SlowWorker : RunDelay::LongJob;
  if (Result.Delay == RunDelay::SlowWorker)
    Result.TypicalMilliseconds = SoundMilliseconds;
  return Result;
}

} // namespace cornellift::kernel
