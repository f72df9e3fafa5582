#pragma once

#include "Kernel/Pool/JobSubmission.h"
#include "Kernel/Pool/SubmittedJob.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::platform {

enum class JobProgress { Waiting, Running, Completed, Failed, Cancelled };

/// Format of the requests of callers and of the replies to them.
class CallerFormat {
public:
  virtual ~CallerFormat() = default;

  /// Returns an empty optional with Malformed when the body is not a job.
  virtual std::optional<kernel::SubmittedJob> parseJob(std::string_view Body) const = 0;

  virtual std::string renderProgress(JobProgress Progress) const = 0;
  virtual std::string renderWaitingJobs(std::uint64_t Count) const = 0;

  /// Name of the header that states how long the caller waits, in milliseconds.
  virtual std::string_view waitHeader() const = 0;

  /// Path of the readiness check.
  virtual std::string_view readinessPath() const = 0;
};

} // namespace cornellift::platform
