#pragma once

#include "Kernel/Job.h"
#include "Kernel/Pool/JobKey.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// A group of identical tasks of a job that become ready at the same time.
struct JobStep {
  std::uint32_t Count = 1;
  Resources Need; ///< Resources that each task needs.
  /// The caller's estimate of a task's run time on a worker of typical speed; zero if not given.
  double DeclaredMilliseconds = 0;
  std::vector<std::uint32_t> After;   ///< Earlier steps that must finish before this one starts.
  std::string RequiredLabel;          ///< Label that a worker must have; empty for any worker.
  std::string DataRack;               ///< Rack that holds the step's data; empty for none.
  std::uint32_t MaximumPerWorker = 0; ///< Running tasks of this step per worker; zero: no limit.
};

/// Scheduling policy that a route sets for its jobs.
struct RoutePolicy {
  std::string Route; ///< Name of the route, which is also the kind of its jobs.
  std::string Service;
  std::uint32_t Priority = 0;        ///< Lower values go first.
  std::uint32_t MaximumAttempts = 1; ///< Failed runs of one task after which the job fails.
  double Stretch = 1; ///< Objective = Stretch * run time of the critical path + target latency.
  double TargetLatencyMilliseconds = 0;
};

/// A job as it is submitted to a manager; its caller waits for the answer.
struct JobSubmission {
  JobKey Key{};
  std::string Specification; ///< Passed to the workers unchanged.
  std::vector<JobStep> Steps;
  RoutePolicy Policy;
  core::TimePoint ReceivedAt;
  core::TimePoint AnswerBy; ///< Deadline for the answer; the caller stops waiting then.

  std::uint32_t taskCount() const {
    std::uint32_t Sum = 0;
    for (const auto &Step : Steps)
      Sum += Step.Count;
    return Sum;
  }

  /// Estimate of what the job takes at the process that accepts it and at its manager, in bytes.
  std::size_t memory() const;
};

enum class JobVerdict {
  Completed,
  Failed,   ///< A task failed in all attempts that the route allows.
  Rejected, ///< No task has started, and none will.
  GivenUp,  ///< Tasks may have run; those still running are being stopped, and none will start.
  Cancelled ///< The same, because a caller has cancelled the job.
};

/// Final answer to a job's caller.
struct JobAnswer {
  JobVerdict Verdict = JobVerdict::GivenUp;
  std::string Why;                   ///< Reason for any verdict other than Completed.
  double RetryAfterMilliseconds = 0; ///< If Rejected: when a retry is likely to succeed.
  bool IsLate = false;               ///< If Completed: the objective was missed.
};

} // namespace cornellift::kernel
