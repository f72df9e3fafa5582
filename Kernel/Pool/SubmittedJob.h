#pragma once

#include "Kernel/Pool/JobSubmission.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// Bound on the tasks of one job. The largest jobs have about 1,400; memory and time for one with
/// any number of tasks would be taken from all other callers.
constexpr std::uint32_t MaximumJobTasks = 10000;

/// A caller's job as it was posted, before the route's terms are added.
struct SubmittedJob {
  std::string Specification;
  std::vector<JobStep> Steps;
  bool IsAwaited = false; ///< The caller waits for the job's end; nothing has to be stored.
  /// What the job asks for and this product does not do; empty when there is nothing.
  std::string Unsupported;
};

/// Whether the job can be run at all. Returns false with Malformed when it has no tasks, more than
/// MaximumJobTasks, a need below zero, or a step that waits for itself or for a later one.
bool checkJob(const SubmittedJob &Job);

} // namespace cornellift::kernel
