#include "Kernel/Scheduling/ResourceEstimator.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Declarations are believed until this many tasks have reported their use.
constexpr double EnoughSamples = 20;
/// Older samples fade beyond this count, so that a changed kind is followed.
constexpr double MaximumSamples = 500;
/// Uses above mean plus this many deviations are rare enough to leave to the worker's limiter.
constexpr double Deviations = 3;

double upperBound(double Mean, double Square) {
  return Mean + Deviations * std::sqrt(std::max(0.0, Square - Mean * Mean));
}

double smallerOf(double Declared, double Learned) {
  return Declared > 0 ? std::min(Declared, Learned) : Learned;
}

} // namespace

void ResourceEstimator::configure(const KernelConfiguration &Configuration) {
  Kinds_.resize(std::max(Kinds_.size(), Configuration.Services.size()));
  for (std::size_t Service = 0; Service < Configuration.Services.size(); ++Service) {
    const auto &Kinds = Configuration.Services[Service].Kinds;
    Kinds_[Service].resize(std::max(Kinds_[Service].size(), Kinds.size()));
    for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind)
      Kinds_[Service][Kind].Configured = Kinds[Kind].Needed;
  }
}

const ResourceEstimator::Evidence *ResourceEstimator::find(ServiceIndex Service,
                                                           KindIndex Kind) const {
  auto ServicePosition = static_cast<std::size_t>(Service);
  auto KindPosition = static_cast<std::size_t>(Kind);
  if (ServicePosition >= Kinds_.size() || KindPosition >= Kinds_[ServicePosition].size())
    return nullptr;
  return &Kinds_[ServicePosition][KindPosition];
}

Resources ResourceEstimator::need(ServiceIndex Service, KindIndex Kind,
                                  const Resources &Declared) const {
  const auto *Known = find(Service, Kind);
  if (!Known)
    return Declared;
  if (Known->Samples < EnoughSamples)
    return {Declared.Processors > 0 ? Declared.Processors : Known->Configured.Processors,
            Declared.MemoryMegabytes > 0 ? Declared.MemoryMegabytes
                                         : Known->Configured.MemoryMegabytes,
            Declared.Accelerators > 0 ? Declared.Accelerators : Known->Configured.Accelerators};
  return {
      smallerOf(Declared.Processors, upperBound(Known->Mean.Processors, Known->Square.Processors)),
      smallerOf(Declared.MemoryMegabytes,
                upperBound(Known->Mean.MemoryMegabytes, Known->Square.MemoryMegabytes)),
      Declared.Accelerators};
}

void ResourceEstimator::learn(ServiceIndex Service, KindIndex Kind, const Resources &Used) {
  if (!find(Service, Kind) || (Used.Processors <= 0 && Used.MemoryMegabytes <= 0))
    return;
  auto &Known = Kinds_[static_cast<std::size_t>(Service)][static_cast<std::size_t>(Kind)];
  Known.Samples = std::min(MaximumSamples, Known.Samples + 1);
  double Share = 1 / Known.Samples;
  auto Blend = [Share](double &Mean, double Sample) { Mean += (Sample - Mean) * Share; };
  Blend(Known.Mean.Processors, Used.Processors);
  Blend(Known.Mean.MemoryMegabytes, Used.MemoryMegabytes);
  Blend(Known.Square.Processors, Used.Processors * Used.Processors);
  Blend(Known.Square.MemoryMegabytes, Used.MemoryMegabytes * Used.MemoryMegabytes);
}

} // namespace cornellift::kernel
