#include "Kernel/Jobs/Recovery.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <optional>
#include <string>

namespace cornellift::kernel {
namespace {

/// Combined evidence of all records of one task.
struct TaskEvidence {
  TaskOutcome State = TaskOutcome::MayHaveRun;
  TaskResult Result;
  enum class Ends { None, One, Contradicting } Seen{};
};

/// Returns zero when no record contains the count, or when the records disagree.
std::uint32_t agreedTaskCount(std::span<const EndpointRecords> Records) {
  std::uint32_t Count = 0;
  for (const auto &Endpoint : Records)
    for (const auto &Task : Endpoint.Tasks) {
      if (Task.TaskCount == 0)
        continue;
      if (Count != 0 && Count != Task.TaskCount)
        return 0;
      Count = Task.TaskCount;
    }
  return Count;
}

bool sameEnd(const TaskEvidence &Evidence, const RecordedTask &Task) {
  if (Task.State == RecordedState::Failed)
    return Evidence.State == TaskOutcome::Failed;
  return Evidence.State == TaskOutcome::Finished && *Evidence.Result == *Task.Result;
}

void add(TaskEvidence &Evidence, const RecordedTask &Task) {
  bool Finished = Task.State == RecordedState::Finished && Task.Result;
  if (!Finished && Task.State != RecordedState::Failed)
    return;
  if (Evidence.Seen == TaskEvidence::Ends::None) {
    Evidence = {Finished ? TaskOutcome::Finished : TaskOutcome::Failed,
                Finished ? Task.Result : nullptr, TaskEvidence::Ends::One};
    return;
  }
  if (Evidence.Seen == TaskEvidence::Ends::Contradicting || sameEnd(Evidence, Task))
    return;
  Evidence = {TaskOutcome::MayHaveRun, nullptr, TaskEvidence::Ends::Contradicting};
}

std::string reasonFor(std::span<const EndpointRecords> Records) {
  auto Silent =
      std::ranges::count(Records, EndpointRecords::Reply::NoAnswer, &EndpointRecords::Given);
  std::string Text = "the entry process that ran the job has ended and the endpoints' records do "
                     "not contain all results";
  if (Silent > 0)
    Text += "; " + std::to_string(Silent) + " endpoints did not answer, so ask again later";
  return Text;
}

} // namespace

Outcome recoverOutcome(std::span<const EndpointRecords> Records, std::uint32_t MaximumTasks) {
  MayHaveRun Unknown{core::ErrorKind::Unavailable, reasonFor(Records), {}};
  auto Count = agreedTaskCount(Records);
  if (Count == 0 || Count > MaximumTasks)
    return Unknown;
  std::vector<TaskEvidence> Evidence(Count);
  for (const auto &Endpoint : Records)
    for (const auto &Task : Endpoint.Tasks)
      if (Task.Index < Count)
        add(Evidence[Task.Index], Task);
  Complete Whole;
  for (auto &Task : Evidence) {
    Unknown.Tasks.push_back(Task.State);
    if (Task.State == TaskOutcome::Finished)
      Whole.Results.push_back(std::move(Task.Result));
  }
  if (Whole.Results.size() == Count)
    return Whole;
  return Unknown;
}

} // namespace cornellift::kernel
