#pragma once

#include "Kernel/Action.h"
#include "Kernel/DispatcherCounters.h"
#include "Kernel/Event.h"
#include "Kernel/Scheduler.h"

#include <memory>

namespace cornellift::kernel {

/// Owns jobs, tasks and outcomes of one entry process and enforces what may start, what may be
/// retried, and what may be said of a job. Deterministic: no clock, thread, socket or random
/// source.
class Dispatcher {
public:
  /// Own is drawn at random by the process when it starts.
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
