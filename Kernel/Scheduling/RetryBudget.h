#pragma once

#include "Libraries/LibCore/Time.h"

namespace cornellift::kernel {

/// Allows retries in proportion to starts, plus a constant rate, so that a failing fleet is not
/// flooded with repeated starts.
class RetryBudget {
public:
  /// Share is retries per started task.
  void configure(double Share, double PerSecond);

  void started();

  /// Takes one retry if the budget allows it.
  bool take(core::TimePoint Now);

private:
  double Share_ = 0.1;
  double PerSecond_ = 10;
  double Tokens_ = 0;
  core::TimePoint LastRefill_;
};

} // namespace cornellift::kernel
