#include "Kernel/RunTimeEstimator.h"

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

RunTimeEstimate RunTimeEstimator::estimate(ServiceIndex Service, KindIndex Kind,
                                           core::Duration Declared) const {
  const auto *Known = find(Service, Kind);
  if (!Known)
    return {Declared.count() > 0 ? logMilliseconds(Declared) : std::log(DefaultRunTimeMilliseconds),
            PriorDeviation};
  double Weight = Known->Weight + PriorWeight;
  double MeanX = (Known->SumX + PriorWeight * Known->PriorLog) / Weight;
  double MeanY = (Known->SumY + PriorWeight * Known->PriorLog) / Weight;
  double PriorSquare = PriorWeight * Known->PriorLog * Known->PriorLog;
  double VarianceX = Known->SumXX + PriorSquare - Weight * MeanX * MeanX;
  double VarianceY = Known->SumYY + PriorSquare - Weight * MeanY * MeanY;
  double Covariance = Known->SumXY + PriorSquare - Weight * MeanX * MeanY;
  double Slope =
      (Covariance + PriorSlopeWeight * PriorSlope) / (std::max(0.0, VarianceX) + PriorSlopeWeight);
  double Residual = VarianceY - 2 * Slope * Covariance + Slope * Slope * VarianceX;
  double Deviation =
      std::sqrt(std::max(0.0, Residual + PriorWeight * PriorDeviation * PriorDeviation) / Weight);
  double X = Declared.count() > 0 ? logMilliseconds(Declared) : MeanX;
  return {MeanY + Slope * (X - MeanX), std::max(MinimumDeviation, Deviation)};
}

void RunTimeEstimator::decay(Evidence &Kind, core::TimePoint Now) const {
  double Seconds = core::toMilliseconds(Now - Kind.LastDecay) / 1000;
  Kind.LastDecay = Now;
  double Factor = std::exp2(-std::max(0.0, Seconds) / HalfLifeSeconds_);
  for (double *Sum : {&Kind.Weight, &Kind.SumX, &Kind.SumY, &Kind.SumXX, &Kind.SumXY, &Kind.SumYY})
    *Sum *= Factor;
}

void RunTimeEstimator::learn(ServiceIndex Service, KindIndex Kind, core::Duration Declared,
                             double LogMilliseconds, core::TimePoint Now) {
  const auto *Found = find(Service, Kind);
  if (!Found)
    return;
  auto &Known = Kinds_[static_cast<std::size_t>(Service)][static_cast<std::size_t>(Kind)];
  decay(Known, Now);
  double X = Declared.count() > 0 ? logMilliseconds(Declared) : LogMilliseconds;
  Known.Weight += 1;
  Known.SumX += X;
  Known.SumY += LogMilliseconds;
  Known.SumXX += X * X;
  Known.SumXY += X * LogMilliseconds;
  Known.SumYY += LogMilliseconds * LogMilliseconds;
}

} // namespace cornellift::kernel
