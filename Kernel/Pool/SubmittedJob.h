#pragma once

#include "Kernel/Pool/JobOrder.h"

#include <string>
#include <vector>

namespace cornellift::kernel {

/// A caller's job as it was posted, before the route's terms are added.
struct SubmittedJob {
  std::string Specification;
  std::vector<JobStep> Steps;
  bool IsAwaited = false; ///< The caller waits for the job's end; nothing has to be stored.
  /// What the job asks for and this product does not do; empty when there is nothing.
  std::string Unsupported;
};

} // namespace cornellift::kernel
