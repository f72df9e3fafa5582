#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace cornellift::core {

/// Monotonically increasing counter. Thread-safe.
class Counter {
public:
  void add(std::uint64_t Amount = 1) { Value_.fetch_add(Amount, std::memory_order_relaxed); }
  std::uint64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value_{0};
};

/// Count, mean, maximum and quantiles (0.5, 0.99, 0.999) of a measured quantity, estimated in
/// constant memory by Boost.Accumulators. Thread-safe.
class Distribution {
public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution &) = delete;
  Distribution &operator=(const Distribution &) = delete;

  void add(double Sample);

  /// Prometheus text lines for this distribution under the given metric name.
  std::string render(std::string_view Name) const;

private:
  struct Accumulators;
  mutable std::mutex Mutex_;
  std::unique_ptr<Accumulators> Accumulators_;
};

/// Counts of samples in fixed bins, which can be added over several processes to estimate
/// quantiles. Thread-safe.
class Histogram {
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;

  /// Adds a sample in milliseconds.
  void add(double Sample);

  /// Prometheus text lines for this histogram. Labels have the form `name="value",...`, without
  /// braces.
  std::string render(std::string_view Name, std::string_view Labels) const;

private:
  struct Bins;
  mutable std::mutex Mutex_;
  std::unique_ptr<Bins> Bins_;
};

/// Name and value of a label, which distinguishes the series of one metric.
using MetricLabel = std::pair<std::string_view, std::string_view>;

/// The metrics of one process, served at /metrics in the Prometheus text format. Returned
/// references stay valid for the lifetime of the registry. Metric names are lower case with
/// underscores and end in their unit.
class MetricsRegistry {
public:
  Counter &counter(std::string_view Name, std::initializer_list<MetricLabel> Labels = {});
  Distribution &distribution(std::string_view Name);
  Histogram &histogram(std::string_view Name, std::initializer_list<MetricLabel> Labels = {});

  /// Registers a value that is read on each renderText(). One whose name ends in "_total" is
  /// rendered as a counter.
  void gauge(std::string_view Name, std::function<double()> Read,
             std::initializer_list<MetricLabel> Labels = {});

  std::string renderText() const;

private:
  /// Metric name and labels, without braces.
  using Series = std::pair<std::string, std::string>;

  mutable std::mutex Mutex_;
  std::map<Series, std::unique_ptr<Counter>> Counters_;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>> Distributions_;
  std::map<Series, std::unique_ptr<Histogram>> Histograms_;
  std::map<Series, std::function<double()>> Gauges_;
};

} // namespace cornellift::core
