#include "Kernel/Scheduling/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

constexpr double DefaultRunTimeMilliseconds = 300;
constexpr double PriorWeight = 2;
constexpr double PriorSlopeWeight = 4;
/// Before evidence, half of the logarithm of a declaration is believed.
constexpr double PriorSlope = 0.5;
constexpr double PriorDeviation = 0.8;
/// A deviation below this would call every small delay improbable.
constexpr double MinimumDeviation = 0.1;

double logMilliseconds(core::Duration Span) { return std::log(core::toMilliseconds(Span)); }

} // namespace

std::vector<DeclaredRunTime> splitDeclarations(std::span<const TaskSpec> Tasks) {
  std::vector<DeclaredRunTime> Result(Tasks.size());
  double Sum = 0;
  double DeclaredCount = 0;
  for (const auto &Task : Tasks) {
    if (Task.DeclaredRunTime.count() <= 0)
      continue;
    Sum += logMilliseconds(Task.DeclaredRunTime);
    DeclaredCount += 1;
  }
  double Mean = DeclaredCount > 0 ? Sum / DeclaredCount : 0;
  for (std::size_t Index = 0; Index < Tasks.size(); ++Index) {
    auto Declared = Tasks[Index].DeclaredRunTime;
    if (Declared.count() > 0)
      Result[Index] = {static_cast<float>(Mean),
                       static_cast<float>(logMilliseconds(Declared) - Mean), true};
  }
  return Result;
}

double RunTimeEstimate::medianMilliseconds() const { return std::exp(LogMean); }

double RunTimeEstimate::meanMilliseconds() const {
  return std::exp(LogMean + LogDeviation * LogDeviation / 2);
}

double RunTimeEstimate::quantileMilliseconds(double Score) const {
  return std::exp(LogMean + Score * LogDeviation);
}

void RunTimeEstimator::configure(const KernelConfiguration &Configuration) {
  HalfLifeSeconds_ = std::max(1.0, Configuration.Policy.EvidenceHalfLifeSeconds);
  Kinds_.resize(std::max(Kinds_.size(), Configuration.Services.size()));
  for (std::size_t Service = 0; Service < Configuration.Services.size(); ++Service) {
    const auto &Kinds = Configuration.Services[Service].Kinds;
    auto &Learned = Kinds_[Service];
    Learned.resize(std::max(Learned.size(), Kinds.size()));
    for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind)
      Learned[Kind].PriorLog = Kinds[Kind].ExpectedRunTime.count() > 0
                                   ? logMilliseconds(Kinds[Kind].ExpectedRunTime)
                                   : std::log(DefaultRunTimeMilliseconds);
  }
}

const RunTimeEstimator::Evidence *RunTimeEstimator::find(ServiceIndex Service,
                                                         KindIndex Kind) const {
  auto ServicePosition = static_cast<std::size_t>(Service);
  auto KindPosition = static_cast<std::size_t>(Kind);
  if (ServicePosition >= Kinds_.size() || KindPosition >= Kinds_[ServicePosition].size())
    return nullptr;
  return &Kinds_[ServicePosition][KindPosition];
}

RunTimeEstimator::Line RunTimeEstimator::fit(const Evidence &Kind) {
  Line Result;
  double Weight = Kind.Weight + PriorWeight;
  Result.MeanY = (Kind.SumY + PriorWeight * Kind.PriorLog) / Weight;
  Result.MeanJob = (Kind.SumJob + PriorWeight * Kind.PriorLog) / Weight;
  double PriorSquare = PriorWeight * Kind.PriorLog * Kind.PriorLog;
  double Variance = Kind.SumJobJob + PriorSquare - Weight * Result.MeanJob * Result.MeanJob;
  double Covariance = Kind.SumJobY + PriorSquare - Weight * Result.MeanJob * Result.MeanY;
  Result.JobSlope =
      (Covariance + PriorSlopeWeight * PriorSlope) / (std::max(0.0, Variance) + PriorSlopeWeight);
  Result.WithinSlope =
      (Kind.SumWithinY + PriorSlopeWeight * PriorSlope) / (Kind.SumWithinWithin + PriorSlopeWeight);
  return Result;
}

double RunTimeEstimator::predict(const Line &Fitted, const DeclaredRunTime &Declared) {
  if (!Declared.IsDeclared)
    return Fitted.MeanY;
  return Fitted.MeanY + Fitted.JobSlope * (Declared.Job - Fitted.MeanJob) +
         Fitted.WithinSlope * Declared.Within;
}

RunTimeEstimate RunTimeEstimator::estimate(ServiceIndex Service, KindIndex Kind,
                                           const DeclaredRunTime &Declared) const {
  const auto *Known = find(Service, Kind);
  if (!Known)
    return {Declared.IsDeclared ? static_cast<double>(Declared.Job + Declared.Within)
                                : std::log(DefaultRunTimeMilliseconds),
            PriorDeviation};
  double Variance = (Known->SumError + PriorWeight * PriorDeviation * PriorDeviation) /
                    (Known->Weight + PriorWeight);
  return {predict(fit(*Known), Declared), std::max(MinimumDeviation, std::sqrt(Variance))};
}

void RunTimeEstimator::decay(Evidence &Kind, core::TimePoint Now) const {
  double Seconds = core::toMilliseconds(Now - Kind.LastDecay) / 1000;
  Kind.LastDecay = Now;
  double Factor = std::exp2(-std::max(0.0, Seconds) / HalfLifeSeconds_);
  for (double *Sum : {&Kind.Weight, &Kind.SumY, &Kind.SumJob, &Kind.SumJobJob, &Kind.SumJobY,
                      &Kind.SumWithinWithin, &Kind.SumWithinY, &Kind.SumError})
    *Sum *= Factor;
}

void RunTimeEstimator::learn(ServiceIndex Service, KindIndex Kind, const DeclaredRunTime &Declared,
                             double LogMilliseconds, core::TimePoint Now) {
  if (!find(Service, Kind))
    return;
  auto &Known = Kinds_[static_cast<std::size_t>(Service)][static_cast<std::size_t>(Kind)];
  decay(Known, Now);
  auto Fitted = fit(Known);
  double Error = LogMilliseconds - predict(Fitted, Declared);
  // An undeclared task says nothing about the slopes.
  double Job = Declared.IsDeclared ? static_cast<double>(Declared.Job) : Fitted.MeanJob;
  double Within = Declared.IsDeclared ? static_cast<double>(Declared.Within) : 0;
  Known.Weight += 1;
  Known.SumY += LogMilliseconds;
  Known.SumJob += Job;
  Known.SumJobJob += Job * Job;
  Known.SumJobY += Job * LogMilliseconds;
  Known.SumWithinWithin += Within * Within;
  Known.SumWithinY += Within * (LogMilliseconds - Fitted.MeanY);
  Known.SumError += Error * Error;
}

} // namespace cornellift::kernel
