#pragma once

#include "Kernel/Pool/JobSubmission.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// Maximum number of tasks of one job. The largest regular jobs have about 1,400 tasks; an
/// unlimited job could take memory and processing time away from all other callers.
constexpr std::uint32_t MaximumJobTasks = 10000;

/// A job as the caller posted it, before the route's policy is added.
struct SubmittedJob {
  std::string Specification;
  std::vector<JobStep> Steps;
  bool IsAwaited = false; ///< The caller waits for the job's end, so no result has to be stored.
  /// A requested feature that is not supported; empty if there is none.
  std::string Unsupported;
};

/// Validates the job. Returns false with Malformed if it has no tasks, more than MaximumJobTasks, a
/// negative need, or a step that depends on itself or on a later step.
bool checkJob(const SubmittedJob &Job);

} // namespace cornellift::kernel
