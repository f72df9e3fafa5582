#include "Kernel/Pool/SubmittedJob.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

bool fail(const std::string &Why) { return core::failFalse(core::ErrorKind::Malformed, Why); }

bool checkStep(const JobStep &Step, std::size_t Position) {
  if (Step.Count == 0)
    return fail("a step has no tasks; give a count above 0");
  if (Step.Need.Processors < 0 || Step.Need.MemoryMegabytes < 0 || Step.Need.Accelerators < 0 ||
      Step.DeclaredMilliseconds < 0)
    return fail("a step has a negative need or run time; use numbers from 0");
  bool IsOrdered = std::all_of(Step.After.begin(), Step.After.end(),
                               [&](std::uint32_t Earlier) { return Earlier < Position; });
  if (!IsOrdered)
    return fail("a step depends on itself or a later step; list steps after their dependencies");
  return true;
}

} // namespace

bool checkJob(const SubmittedJob &Job) {
  if (Job.Steps.empty())
    return fail("the job has no steps; list at least one");
  std::uint64_t Tasks = 0;
  for (std::size_t Position = 0; Position < Job.Steps.size(); ++Position) {
    if (!checkStep(Job.Steps[Position], Position))
      return false;
    Tasks += Job.Steps[Position].Count;
  }
  if (Tasks > MaximumJobTasks)
    return fail("the job has more than " + std::to_string(MaximumJobTasks) +
                " tasks; send it in parts");
  return true;
}

} // namespace cornellift::kernel
