#pragma once

#include "Kernel/Action.h"
#include "Kernel/Dispatcher.h"
#include "Kernel/DispatcherCounters.h"
#include "Kernel/Scheduler.h"
#include "Libraries/LibCore/MetricsRegistry.h"
#include "Libraries/LibCore/Ring.h"
#include "Services/EntryDaemon/EventPoster.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace cornellift::entry {

/// Runs the kernel on its own thread: handles the events of a ring buffer and a tick every 10 ms,
/// and passes the resulting actions to a sink on the same thread.
class KernelThread : public EventPoster {
public:
  KernelThread(kernel::Incarnation Own, std::unique_ptr<kernel::Scheduler> Policy,
               core::MetricsRegistry &Metrics);
  ~KernelThread() override;

  /// A function of another component that runs on the kernel's thread. Must not block.
  using Work = std::function<void(const kernel::Scheduler &, core::TimePoint)>;

  /// Runs after each tick. Set before start().
  void setTickHook(Work Hook) { TickHook_ = std::move(Hook); }

  /// Queues a function for the kernel's thread. It is dropped when the kernel has stopped.
  void run(Work Next);

  /// Starts the threads. The sink must not block.
  void start(kernel::ActionSink &Sink);

  /// Handles the events that are in the ring, then stops the threads. Nothing may be posted
  /// afterwards.
  void stop();

  bool tryPost(kernel::Event Next) override;
  void post(kernel::Event Next) override;

  /// Posts an event from within the sink; it is handled directly after the current event.
  void postFromSink(kernel::Event Next) { SinkEvents_.push_back(std::move(Next)); }

  /// Values as of the last tick.
  kernel::SchedulerLoad load() const;
  kernel::DispatcherCounters counters() const;

private:
  void handleEvents(kernel::ActionSink &Sink);
  void handle(kernel::Event Next, kernel::ActionSink &Sink);
  void handleSinkEvents(kernel::ActionSink &Sink);
  void runQueuedWork();
  void sendTicks();
  void publish();
  void addGauges(core::MetricsRegistry &Metrics);

  core::Ring<kernel::Event> Ring_;
  kernel::Dispatcher Dispatcher_;
  std::deque<kernel::Event> SinkEvents_;
  Work TickHook_;
  std::mutex WorkMutex_;
  std::deque<Work> WorkQueue_;
  core::Counter &DroppedTicks_;
  mutable std::mutex PublishedMutex_;
  kernel::SchedulerLoad PublishedLoad_;
  kernel::DispatcherCounters PublishedCounters_;
  std::atomic<bool> TickPending_{false};
  std::atomic<bool> Stopping_{false};
  std::thread HandlerThread_;
  std::thread TickThread_;
};

} // namespace cornellift::entry
