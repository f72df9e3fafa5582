#pragma once

#include "Kernel/KernelConfiguration.h"

#include <vector>

namespace cornellift::kernel {

/// Estimates the peak resource usage of tasks by service and kind.
class ResourceEstimator {
public:
  void configure(const KernelConfiguration &Configuration);

  /// Returns the resources to reserve for a task. Never more than declared, because workers stop a
  /// task that exceeds its declaration; less when the measured usage is lower.
  Resources need(ServiceIndex Service, KindIndex Kind, const Resources &Declared) const;

  /// Adds the measured usage of a task. Zero means that it was not reported, and is ignored.
  void learn(ServiceIndex Service, KindIndex Kind, const Resources &Used);

private:
  struct Evidence {
    Resources Configured;
    Resources Mean;
    Resources Square; ///< Mean of squares.
    double Samples = 0;
  };

  const Evidence *find(ServiceIndex Service, KindIndex Kind) const;

  std::vector<std::vector<Evidence>> Kinds_; ///< By service, then kind.
};

} // namespace cornellift::kernel
