#pragma once

#include "Kernel/Event.h"
#include "Utilities/Replay/EventQueue.h"
#include "Utilities/Replay/Trace.h"

#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace cornellift::replay {

/// A task as sent to the worker, with its properties from the trace.
struct SimulatedTask {
  kernel::TaskId Id;
  std::uint32_t Attempt = 0;
  TraceTask Properties;
  JobNature Nature{};
};

/// Simulates a worker's endpoint at the level of the kernel's messages: slots, speed and faults.
class SimulatedWorker {
public:
  /// Delivers a reply to the entry VM that sent the start.
  using ReplyCallback = std::function<void(kernel::Event)>;

  SimulatedWorker(EventQueue &Clock, const TraceWorker &Spec, kernel::EndpointIndex Index);

  void setSpeed(double Speed) { Speed_ = Speed; }
  void setState(WorkerChange::State Next);
  bool isUp() const { return State_ != WorkerChange::State::Down; }

  std::uint32_t slots() const { return Slots_; }
  std::uint32_t running() const { return static_cast<std::uint32_t>(Running_.size()); }

  /// Returns whether the task started. Reply gets a refusal at once, and the result when the task
  /// ends or its worker goes down; it is not called when a connection goes silent.
  bool start(const SimulatedTask &Task, ReplyCallback Reply);
  /// Answers a status query on a new connection with TaskEnded or TaskReported.
  kernel::Event queryStatus(kernel::TaskId Task, std::uint32_t Attempt) const;
  /// As a status query; a start that was lost on a silent connection is fenced.
  kernel::Event fence(kernel::TaskId Task, std::uint32_t Attempt);

  /// Makes every open connection silent. One connection per slot is open.
  void silenceConnections();

  /// Number of starts of a task that this worker had started before.
  std::uint64_t doubleStarts() const { return DoubleStarts_; }

private:
  struct Running {
    std::uint32_t Attempt = 0;
    std::uint64_t Token = 0;
    ReplyCallback Reply; ///< Null when its connection is silent.
  };

  void end(const SimulatedTask &Task, std::uint64_t Token, core::Duration RunTime,
           kernel::TaskVerdict Verdict);

  EventQueue &Clock_;
  kernel::EndpointIndex Index_;
  std::uint32_t Slots_;
  double Speed_;
  WorkerChange::State State_ = WorkerChange::State::Normal;
  std::unordered_map<kernel::TaskId, Running> Running_;
  std::unordered_set<kernel::TaskId> StartedTasks_;
  std::unordered_map<kernel::TaskId, kernel::TaskEnded>
      UndeliveredResults_;                        ///< Results lost on silent connections.
  std::unordered_set<kernel::TaskId> LostStarts_; ///< Sent on a silent connection.
  std::uint32_t SilentIdleConnections_ = 0;       ///< Silent connections that carry no task.
  std::uint64_t NextToken_ = 0;
  std::uint64_t DoubleStarts_ = 0;
};

} // namespace cornellift::replay
