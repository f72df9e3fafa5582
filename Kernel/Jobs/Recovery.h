#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Outcome.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cornellift::kernel {

/// What an endpoint's record says of one task.
enum class RecordedState { Running, Finished, Failed, FencedBeforeStart };

/// An endpoint's record of one task of a job.
struct RecordedTask {
  std::uint32_t Index = 0;
  std::uint32_t TaskCount = 0; ///< Of the whole job, as told by the start; zero for a fenced task.
  RecordedState State{};
  TaskResult Result; ///< In state Finished.
};

/// One endpoint's records of a job.
struct EndpointRecords {
  EndpointIndex Endpoint{};
  enum class Reply { Answered, NoAnswer } Given{};
  std::vector<RecordedTask> Tasks;
};

/// Turns the endpoints' records of a job whose issuer died into its outcome.
///
/// The outcome is Complete when a result of every task is on record, even if some endpoints did not
/// answer; otherwise it is MayHaveRun with the state of each task, as far as the number of tasks is
/// known. It is never NotRun: an endpoint without a record may have restarted, may be missing from
/// the list, or may still get a start from an issuer that was only paused. Records that contradict
/// each other leave their task MayHaveRun. A task count above MaximumTasks is not believed.
Outcome recoverOutcome(std::span<const EndpointRecords> Records, std::uint32_t MaximumTasks);

} // namespace cornellift::kernel
