#include "Libraries/LibCore/MetricsRegistry.h"

#if defined(__GNUC__) && !defined(__clang__)
// Boost 1.74 copies an accumulator before its members are set, which g++ 12 reports at -O2.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace cornellift::core {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> Probabilities = {0.5, 0.99, 0.999};

using AccumulatorSet = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max,
                        accumulators::tag::extended_p_square_quantile>>;

} // namespace

struct Distribution::Accumulators {
  AccumulatorSet Set{accumulators::tag::extended_p_square::probabilities = Probabilities};
};

Distribution::Distribution() : Accumulators_(std::make_unique<Accumulators>()) {}

Distribution::~Distribution() = default;

void Distribution::add(double Sample) {
  std::lock_guard Guard(Mutex_);
  Accumulators_->Set(Sample);
}

std::string Distribution::render(std::string_view Name) const {
  std::lock_guard Guard(Mutex_);
  const auto &Set = Accumulators_->Set;
  std::ostringstream Out;
  auto Count = accumulators::count(Set);
  Out << Name << "_count " << Count << '\n';
  if (Count == 0)
    return Out.str();
  for (double Probability : Probabilities)
    Out << Name << "{quantile=\"" << Probability << "\"} "
        << accumulators::quantile(Set, accumulators::quantile_probability = Probability) << '\n';
  Out << Name << "_mean " << accumulators::mean(Set) << '\n';
  Out << Name << "_max " << accumulators::max(Set) << '\n';
  return Out.str();
}

Counter &MetricsRegistry::counter(std::string_view Name) {
  std::lock_guard Guard(Mutex_);
  auto &Slot = Counters_[std::string(Name)];
  if (!Slot)
    Slot = std::make_unique<Counter>();
  return *Slot;
}

Distribution &MetricsRegistry::distribution(std::string_view Name) {
  std::lock_guard Guard(Mutex_);
  auto &Slot = Distributions_[std::string(Name)];
  if (!Slot)
    Slot = std::make_unique<Distribution>();
  return *Slot;
}

void MetricsRegistry::gauge(std::string_view Name, std::function<double()> Read) {
  std::lock_guard Guard(Mutex_);
  Gauges_[std::string(Name)] = std::move(Read);
}

std::string MetricsRegistry::renderText() const {
  std::lock_guard Guard(Mutex_);
  std::ostringstream Out;
  for (const auto &[Name, Value] : Counters_)
    Out << Name << ' ' << Value->value() << '\n';
  for (const auto &[Name, Read] : Gauges_)
    Out << Name << ' ' << Read() << '\n';
  for (const auto &[Name, Value] : Distributions_)
    Out << Value->render(Name);
  return Out.str();
}

} // namespace cornellift::core
