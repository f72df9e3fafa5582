#pragma once

#include "Kernel/Event.h"
#include "Utilities/Replay/EventQueue.h"
#include "Utilities/Replay/Trace.h"

#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace cornellift::replay {

/// What the worker needs to know of a task.
struct FakeTask {
  kernel::TaskId Id;
  std::uint32_t Attempt = 0;
  TraceTask Truth;
  JobNature Nature{};
};

/// Endpoint of a worker at the interface of the kernel's messages: slots, a speed, and faults.
class FakeWorker {
public:
  /// Tells the entry VM that sent the start.
  using Tell = std::function<void(kernel::Event)>;

  FakeWorker(EventQueue &Clock, const TraceWorker &Spec, kernel::EndpointIndex Index);

  void setSpeed(double Speed) { Speed_ = Speed; }
  void setState(WorkerChange::State Next);
  bool isUp() const { return State_ != WorkerChange::State::Down; }

  std::uint32_t slots() const { return Slots_; }
  std::uint32_t running() const { return static_cast<std::uint32_t>(Running_.size()); }

  /// Returns whether the task started; tells the result, or the refusal, later.
  bool start(const FakeTask &Task, Tell Reply);
  /// The answer to a question on a new connection: TaskEnded or TaskReported.
  kernel::Event ask(kernel::TaskId Task, std::uint32_t Attempt) const;
  kernel::Event fence(kernel::TaskId Task, std::uint32_t Attempt);

  /// Every open connection goes silent; one per slot is open.
  void silenceConnections();

  /// Starts of a task that had started here before.
  std::uint64_t doubleStarts() const { return DoubleStarts_; }

private:
  struct Running {
    std::uint32_t Attempt = 0;
    std::uint64_t Token = 0;
    Tell Reply; ///< Empty when its connection has gone silent.
  };

  void end(const FakeTask &Task, std::uint64_t Token, core::Duration RunTime,
           kernel::TaskVerdict Verdict);

  EventQueue &Clock_;
  kernel::EndpointIndex Index_;
  std::uint32_t Slots_;
  double Speed_;
  WorkerChange::State State_ = WorkerChange::State::Normal;
  std::unordered_map<kernel::TaskId, Running> Running_;
  std::unordered_set<kernel::TaskId> Known_;
  std::unordered_map<kernel::TaskId, kernel::TaskEnded> Untold_; ///< Results that were not told.
  std::unordered_set<kernel::TaskId> LostStarts_; ///< Written to a connection that had gone silent.
  std::uint32_t SilentIdle_ = 0;                  ///< Silent connections that carry no task.
  std::uint64_t NextToken_ = 0;
  std::uint64_t DoubleStarts_ = 0;
};

} // namespace cornellift::replay
