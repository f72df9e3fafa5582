#pragma once

#include "Kernel/Job.h"
#include "Kernel/Pool/JobKey.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// Tasks of a job that are alike and start together.
struct JobStep {
  std::uint32_t Count = 1;
  Resources Need; ///< Of each task.
  /// Rough estimate of a task's run time on a worker of typical speed; zero when not declared.
  double DeclaredMilliseconds = 0;
  std::vector<std::uint32_t> After;   ///< Earlier steps that must have finished first.
  std::string RequiredLabel;          ///< That a worker must have; empty for any worker.
  std::string DataRack;               ///< Rack that holds the step's data; empty for none.
  std::uint32_t MaximumPerWorker = 0; ///< Tasks of this step on one worker; zero for no bound.
};

/// What the job's route says of it.
struct RoutePolicy {
  std::string Route; ///< Name of the route; jobs of one route are of one kind.
  std::string Service;
  std::uint32_t Priority = 0;        ///< Zero comes first.
  std::uint32_t MaximumAttempts = 1; ///< Failed runs of one task that fail the job.
  double Stretch = 1; ///< The objective is this times the longest chain of work, and TargetLatency.
  double TargetLatencyMilliseconds = 0;
};

/// A submitted job that its caller awaits.
struct JobSubmission {
  JobKey Key{};
  std::string Specification; ///< Passed to the workers as it is.
  std::vector<JobStep> Steps;
  RoutePolicy Policy;
  core::TimePoint ReceivedAt;
  core::TimePoint AnswerBy; ///< The caller does not wait any longer.

  std::uint32_t taskCount() const {
    std::uint32_t Sum = 0;
    for (const auto &Step : Steps)
      Sum += Step.Count;
    return Sum;
  }
};

enum class JobVerdict {
  Completed,
  Failed,   ///< A task has failed as often as the route allows.
  Rejected, ///< No task has started or will start.
  GivenUp   ///< Tasks may have run; none is running or will start.
};

/// Final answer to a job's caller.
struct JobAnswer {
  JobVerdict Verdict = JobVerdict::GivenUp;
  std::string Why;                   ///< Of every verdict but Completed.
  double RetryAfterMilliseconds = 0; ///< Of Rejected: when a new attempt is likely to be served.
  bool IsLate = false;               ///< Of Completed: the objective was missed.
};

} // namespace cornellift::kernel
