#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Job.h"
#include "Kernel/Outcome.h"
#include "Libraries/LibCore/Reason.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornellift::kernel {

enum class TaskState : std::uint8_t {
  Waiting,  ///< Known not to have started.
  Running,  ///< A start was sent and its end is not known.
  Finished, ///< The endpoint reported a result.
  Failed,   ///< The endpoint reported a failure.
  Lost      ///< A start was sent and its end will never be known.
};

struct TaskRecord {
  TaskState State = TaskState::Waiting;
  std::uint8_t InvalidRefusals = 0;
  std::uint8_t FencedRefusals = 0;
  TaskResult Result;
};

enum class JobPhase : std::uint8_t {
  Open,   ///< Waiting tasks may start.
  Held,   ///< Part of a transfer whose result is not known yet; nothing starts.
  Ending, ///< Failed or cancelled: nothing more starts, but tasks are still running.
  Remote  ///< The predecessor finishes the job and will send its outcome.
};

/// A job that has not ended.
struct JobRecord {
  JobId Id;
  JobPhase Phase = JobPhase::Open;
  enum class Flag : std::uint8_t { NotFlagged, FlaggedLate } Lateness{};
  std::uint64_t Fingerprint = 0;
  JobSpec Spec;
  std::vector<TaskRecord> Tasks;
  std::uint32_t Running = 0;
  std::uint32_t Finished = 0;
  std::uint32_t Failed = 0;
  std::uint32_t Lost = 0;
  std::vector<RequestId> Waiters;
  Incarnation Predecessor; ///< In phase Remote: the incarnation that finishes the job.
  core::ErrorKind EndKind = core::ErrorKind::Internal; ///< In phase Ending.
  std::string EndReason;

  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(Tasks.size()) - Running - Finished - Failed - Lost;
  }

  /// True while every task is known not to have started.
  bool neverStarted() const {
    return Phase != JobPhase::Remote && Running + Finished + Failed + Lost == 0;
  }
};

} // namespace cornellift::kernel
