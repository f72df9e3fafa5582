#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Outcome.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cornellift::kernel {

/// State of a task in an endpoint's record.
enum class RecordedState { Running, Finished, Failed, FencedBeforeStart };

/// An endpoint's record of one task of a job.
struct RecordedTask {
  std::uint32_t Index = 0;
  std::uint32_t TaskCount = 0; ///< Tasks of the whole job, from the start; zero for a fenced task.
  RecordedState State{};
  TaskResult Result; ///< In state Finished.
};

/// One endpoint's records of a job.
struct EndpointRecords {
  EndpointIndex Endpoint{};
  enum class Reply { Answered, NoAnswer } Given{};
  std::vector<RecordedTask> Tasks;
};

/// Derives the outcome of a job whose issuer died from the endpoints' records.
///
/// The outcome is Complete when a result of every task is on record, even if some endpoints did not
/// answer; otherwise it is MayHaveRun with the state of each task, as far as the number of tasks is
/// known. It is never NotRun: an endpoint without a record may have restarted, may be missing from
/// the list, or may still receive a start from an issuer that was only paused. A task with
/// contradictory records is MayHaveRun. A task count above MaximumTasks counts as unknown.
Outcome recoverOutcome(std::span<const EndpointRecords> Records, std::uint32_t MaximumTasks);

} // namespace cornellift::kernel
