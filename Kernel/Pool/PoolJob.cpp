#include "Kernel/Pool/PoolJob.h"

#include <algorithm>

namespace cornellift::kernel {

std::uint32_t PoolJob::stepOf(std::uint32_t Task) const {
  std::uint32_t Step = 0;
  while (Step + 1 < Steps.size() && Steps[Step + 1].FirstTask <= Task)
    ++Step;
  return Step;
}

TaskRef PoolJob::refOf(std::uint32_t Task) const {
  auto Step = stepOf(Task);
  return {key(), Step, Task - Steps[Step].FirstTask};
}

std::uint32_t PoolJob::waiting() const {
  std::uint32_t Sum = 0;
  for (const auto &Step : Steps)
    Sum += Step.Waiting;
  return Sum;
}

bool PoolJob::onlyWaitsForData() const {
  return waiting() > 0 && std::all_of(Steps.begin(), Steps.end(), [](const StepProgress &Step) {
           return Step.withoutRoom() == 0;
         });
}

bool PoolJob::mayHaveRun() const {
  if (HasRun)
    return true;
  // By step rather than by task, as the queue is reviewed often; all tasks of a step become ready
  // together.
  return std::any_of(Steps.begin(), Steps.end(), [this](const StepProgress &Step) {
    bool IsReady =
        Step.FirstTask < Tasks.size() && Tasks[Step.FirstTask].State != TaskState::Blocked;
    return IsReady && Step.Unfinished > Step.Waiting;
  });
}

std::uint32_t PoolJob::active() const {
  return static_cast<std::uint32_t>(
      std::count_if(Tasks.begin(), Tasks.end(), [](const PoolTask &Task) {
        return Task.State == TaskState::Placed || Task.State == TaskState::Delegated ||
               Task.State == TaskState::PossiblyRunning;
      }));
}

bool PoolJob::hasRunsElsewhere() const {
  return std::any_of(Tasks.begin(), Tasks.end(), [](const PoolTask &Task) {
    return Task.State == TaskState::Delegated || Task.State == TaskState::PossiblyRunning;
  });
}

bool PoolJob::hasObservedStep() const {
  return std::any_of(Steps.begin(), Steps.end(), [](const StepProgress &Step) {
    return Step.Unfinished > 0 && Step.ObservedMilliseconds > 0;
  });
}

bool PoolJob::isFinished() const {
  return std::all_of(Steps.begin(), Steps.end(),
                     [](const StepProgress &Step) { return Step.Unfinished == 0; });
}

} // namespace cornellift::kernel
