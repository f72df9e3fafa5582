#pragma once

#include "Libraries/LibCore/Time.h"

namespace cornellift::kernel {

/// Token bucket that limits retries to a share of the starts plus a constant rate, so that a
/// failing fleet is not flooded with repeated starts.
class RetryBudget {
public:
  /// Share is the number of retries per started task.
  void configure(double Share, double PerSecond);

  void started();

  /// Consumes one retry. Returns false when the budget is exhausted.
  bool tryConsume(core::TimePoint Now);

private:
  double Share_ = 0.1;
  double PerSecond_ = 10;
  double Tokens_ = 0;
  core::TimePoint LastRefill_;
};

} // namespace cornellift::kernel
