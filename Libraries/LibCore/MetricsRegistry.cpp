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
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace cornellift::core {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> Probabilities = {0.5, 0.99, 0.999};

using AccumulatorSet = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max,
                        accumulators::tag::extended_p_square_quantile>>;

/// Edges of the bins in milliseconds. Jobs take from a few milliseconds to a few seconds.
constexpr std::array<double, 14> BinEdges = {0,   1,   2.5, 5,    10,   25,   50,
                                             100, 250, 500, 1000, 2500, 5000, 10000};

using BinAxis = boost::histogram::axis::variable<double>;
using BinSet =
    decltype(boost::histogram::make_histogram(BinAxis(BinEdges.begin(), BinEdges.end())));

void appendEscaped(std::string &Text, std::string_view Value) {
  for (char Letter : Value) {
    if (Letter == '\n') {
      Text += "\\n";
      continue;
    }
    if (Letter == '"' || Letter == '\\')
      Text += '\\';
    Text += Letter;
  }
}

std::string formatLabels(std::initializer_list<MetricLabel> Labels) {
  std::string Text;
  for (const auto &[Name, Value] : Labels) {
    Text.append(Text.empty() ? "" : ",").append(Name).append("=\"");
    appendEscaped(Text, Value);
    Text += '"';
  }
  return Text;
}

std::string inBraces(std::string_view Labels) {
  return Labels.empty() ? std::string() : "{" + std::string(Labels) + "}";
}

/// Writes the TYPE line of a metric before the first of its series.
void renderType(std::ostream &Out, std::string_view Name, std::string_view Type,
                std::string &LastName) {
  if (Name == LastName)
    return;
  LastName = Name;
  Out << "# TYPE " << Name << ' ' << Type << '\n';
}

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

struct Histogram::Bins {
  BinSet Set{BinAxis(BinEdges.begin(), BinEdges.end())};
  double Sum = 0;
};

Histogram::Histogram() : Bins_(std::make_unique<Bins>()) {}

Histogram::~Histogram() = default;

void Histogram::add(double Sample) {
  std::lock_guard Guard(Mutex_);
  Bins_->Set(Sample);
  Bins_->Sum += Sample;
}

std::string Histogram::render(std::string_view Name, std::string_view Labels) const {
  std::lock_guard Guard(Mutex_);
  std::ostringstream Out;
  std::string Prefix = Labels.empty() ? std::string() : std::string(Labels) + ",";
  double Count = Bins_->Set.at(-1); // Underflow bin: samples below the first edge.
  for (int Bin = 0; Bin + 1 < static_cast<int>(BinEdges.size()); ++Bin) {
    Count += Bins_->Set.at(Bin);
    Out << Name << "_bucket{" << Prefix << "le=\"" << BinEdges[static_cast<std::size_t>(Bin) + 1]
        << "\"} " << Count << '\n';
  }
  Count += Bins_->Set.at(static_cast<int>(BinEdges.size()) - 1);
  Out << Name << "_bucket{" << Prefix << "le=\"+Inf\"} " << Count << '\n';
  Out << Name << "_sum" << inBraces(Labels) << ' ' << Bins_->Sum << '\n';
  Out << Name << "_count" << inBraces(Labels) << ' ' << Count << '\n';
  return Out.str();
}

Counter &MetricsRegistry::counter(std::string_view Name,
                                  std::initializer_list<MetricLabel> Labels) {
  std::lock_guard Guard(Mutex_);
  auto &Slot = Counters_[{std::string(Name), formatLabels(Labels)}];
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

Histogram &MetricsRegistry::histogram(std::string_view Name,
                                      std::initializer_list<MetricLabel> Labels) {
  std::lock_guard Guard(Mutex_);
  auto &Slot = Histograms_[{std::string(Name), formatLabels(Labels)}];
  if (!Slot)
    Slot = std::make_unique<Histogram>();
  return *Slot;
}

void MetricsRegistry::gauge(std::string_view Name, std::function<double()> Read,
                            std::initializer_list<MetricLabel> Labels) {
  std::lock_guard Guard(Mutex_);
  Gauges_[{std::string(Name), formatLabels(Labels)}] = std::move(Read);
}

std::string MetricsRegistry::renderText() const {
  std::lock_guard Guard(Mutex_);
  std::ostringstream Out;
  std::string LastName;
  for (const auto &[Key, Value] : Counters_) {
    renderType(Out, Key.first, "counter", LastName);
    Out << Key.first << inBraces(Key.second) << ' ' << Value->value() << '\n';
  }
  for (const auto &[Key, Read] : Gauges_) {
    bool IsTotal = Key.first.ends_with("_total");
    renderType(Out, Key.first, IsTotal ? "counter" : "gauge", LastName);
    Out << Key.first << inBraces(Key.second) << ' ' << Read() << '\n';
  }
  for (const auto &[Name, Value] : Distributions_)
    Out << Value->render(Name);
  for (const auto &[Key, Value] : Histograms_) {
    renderType(Out, Key.first, "histogram", LastName);
    Out << Value->render(Key.first, Key.second);
  }
  return Out.str();
}

} // namespace cornellift::core
