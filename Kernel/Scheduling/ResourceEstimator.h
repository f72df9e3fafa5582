#pragma once

#include "Kernel/KernelConfiguration.h"

#include <vector>

namespace cornellift::kernel {

/// Learns the resources that tasks of a service and kind use at their peak.
class ResourceEstimator {
public:
  void configure(const KernelConfiguration &Configuration);

  /// What to keep free for a task. Never more than declared, because workers stop a task that
  /// exceeds its declaration; less when evidence says so.
  Resources need(ServiceIndex Service, KindIndex Kind, const Resources &Declared) const;

  /// Ignores a use of zero, which means that it was not reported.
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
