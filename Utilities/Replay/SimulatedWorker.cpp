#include "Utilities/Replay/SimulatedWorker.h"

#include <utility>

namespace cornellift::replay {
namespace {

/// Run time of a task on a worker that fails every task.
constexpr double ImmediateFailureMilliseconds = 3;
/// Share of its run time after which a failing task ends.
constexpr double FailureShareOfRunTime = 0.3;

bool exceeds(const kernel::Resources &Used, const kernel::Resources &Declared) {
  return Used.Processors > Declared.Processors || Used.MemoryMegabytes > Declared.MemoryMegabytes ||
         Used.Accelerators > Declared.Accelerators;
}

} // namespace

SimulatedWorker::SimulatedWorker(EventQueue &Clock, const TraceWorker &Spec,
                                 kernel::EndpointIndex Index)
    : Clock_(Clock), Index_(Index), Slots_(Spec.Slots), Speed_(Spec.Speed) {}

void SimulatedWorker::setState(WorkerChange::State Next) {
  State_ = Next;
  if (isUp())
    return;
  // A restarted worker process has neither the tasks nor the records of the previous one.
  auto Lost = std::exchange(Running_, {});
  StartedTasks_.clear();
  UndeliveredResults_.clear();
  LostStarts_.clear();
  SilentIdleConnections_ = 0;
  for (auto &[Task, Entry] : Lost)
    if (Entry.Reply)
      Entry.Reply(kernel::TaskUncertain{Task, Index_, Entry.Attempt});
}

bool SimulatedWorker::start(const SimulatedTask &Task, ReplyCallback Reply) {
  auto Refuse = [&](kernel::StartRefusal Cause) {
    Reply(kernel::StartRefused{Task.Id, Index_, Cause, Task.Attempt});
    return false;
  };
  if (!isUp())
    return Refuse(kernel::StartRefusal::NotSent);
  if (SilentIdleConnections_ > 0) {
    --SilentIdleConnections_;
    LostStarts_.insert(Task.Id);
    return false;
  }
  if (Running_.size() >= Slots_)
    return Refuse(kernel::StartRefusal::NoSlot);
  if (!StartedTasks_.insert(Task.Id).second)
    ++DoubleStarts_;
  LostStarts_.erase(Task.Id);
  auto RunTime = Task.Properties.True / Speed_;
  auto Verdict = kernel::TaskVerdict::Finished;
  if (Task.Nature == JobNature::Failing ||
      exceeds(Task.Properties.TrueSize, Task.Properties.DeclaredSize)) {
    Verdict = kernel::TaskVerdict::Failed;
    RunTime *= FailureShareOfRunTime;
  }
  if (State_ == WorkerChange::State::FailsAll) {
    Verdict = kernel::TaskVerdict::Failed;
    RunTime = ImmediateFailureMilliseconds;
  }
  auto Token = ++NextToken_;
  Running_[Task.Id] = {Task.Attempt, Token, std::move(Reply)};
  auto Span = core::fromMilliseconds(RunTime);
  Clock_.after(Span, [this, Task, Token, Span, Verdict] { end(Task, Token, Span, Verdict); });
  return true;
}

void SimulatedWorker::end(const SimulatedTask &Task, std::uint64_t Token, core::Duration RunTime,
                          kernel::TaskVerdict Verdict) {
  auto Found = Running_.find(Task.Id);
  if (Found == Running_.end() || Found->second.Token != Token)
    return;
  auto Reply = std::move(Found->second.Reply);
  Running_.erase(Found);
  kernel::TaskEnded Ended{Task.Id,     Index_, Verdict, nullptr, RunTime, Task.Properties.TrueSize,
                          Task.Attempt};
  if (Reply)
    Reply(std::move(Ended));
  else
    UndeliveredResults_.emplace(Task.Id, std::move(Ended));
}

kernel::Event SimulatedWorker::queryStatus(kernel::TaskId Task, std::uint32_t Attempt) const {
  if (auto Ended = UndeliveredResults_.find(Task); isUp() && Ended != UndeliveredResults_.end())
    return Ended->second;
  auto Report =
      isUp() && Running_.contains(Task) ? kernel::TaskReport::Running : kernel::TaskReport::Unknown;
  return kernel::TaskReported{Task, Index_, Report, Attempt};
}

kernel::Event SimulatedWorker::fence(kernel::TaskId Task, std::uint32_t Attempt) {
  // LostStarts_ is cleared by a restart: the new process can't tell whether the previous one
  // started the task, so it must not report the task as not started.
  if (isUp() && LostStarts_.contains(Task))
    return kernel::TaskReported{Task, Index_, kernel::TaskReport::NotStartedAndFenced, Attempt};
  return queryStatus(Task, Attempt);
}

void SimulatedWorker::silenceConnections() {
  if (!isUp())
    return;
  for (auto &[Task, Entry] : Running_)
    Entry.Reply = nullptr;
  SilentIdleConnections_ = Slots_ - running();
}

} // namespace cornellift::replay
