#pragma once

#include "Kernel/Action.h"
#include "Kernel/DispatcherCounters.h"
#include "Kernel/Event.h"
#include "Kernel/Scheduler.h"

#include <memory>

namespace cornellift::kernel {

/// Owns the jobs, tasks and outcomes of one entry process and enforces which tasks may start or be
/// retried and which outcome may be reported for a job. Deterministic: uses no clock, thread,
/// socket or random source.
class Dispatcher {
public:
  /// Own is a random value that the process draws when it starts.
  Dispatcher(Incarnation Own, std::unique_ptr<Scheduler> TaskScheduler);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Handles one event and emits the actions that follow from it.
  void handle(Event Next, core::TimePoint Now, ActionSink &Sink);

  const Scheduler &scheduler() const;
  DispatcherCounters counters() const;

private:
  class State;
  std::unique_ptr<State> State_;
};

} // namespace cornellift::kernel
