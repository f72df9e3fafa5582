#pragma once

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Time.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornellift::kernel {

using TaskResult = std::shared_ptr<const std::string>;

/// Final state of one task of a job that did not complete.
enum class TaskOutcome { Finished, Failed, MayHaveRun, NotRun };

/// Every task finished. Results are in task order.
struct Complete {
  std::vector<TaskResult> Results;
};

/// No task of the job has started or will start.
struct NotRun {
  core::ErrorKind Kind = core::ErrorKind::Internal;
  std::string Reason;
  std::optional<core::TimePoint> RetryAt;
};

/// The job failed and at least one task ran or may have run. Tasks is empty when nothing is known
/// of any task, as after the loss of the issuer; otherwise it has one entry per task.
struct MayHaveRun {
  core::ErrorKind Kind = core::ErrorKind::Internal;
  std::string Reason;
  std::vector<TaskOutcome> Tasks;
};

using Outcome = std::variant<Complete, NotRun, MayHaveRun>;

} // namespace cornellift::kernel
