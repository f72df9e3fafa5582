#include "Services/EntryDaemon/KernelThread.h"

#include "Libraries/LibCore/Reason.h"

#include <utility>

namespace cornellift::entry {
namespace {

/// Ten times the number of tasks in a burst of five jobs of maximum size.
constexpr std::size_t RingEntries = 65536;

constexpr core::Duration TickInterval = std::chrono::milliseconds(10);

} // namespace

KernelThread::KernelThread(kernel::Incarnation Own, std::unique_ptr<kernel::Scheduler> Policy,
                           core::MetricsRegistry &Metrics)
    : Ring_(RingEntries), Dispatcher_(Own, std::move(Policy)),
      DroppedTicks_(Metrics.counter("cornellift_dropped_ticks_total")) {
  addGauges(Metrics);
}

KernelThread::~KernelThread() { stop(); }

void KernelThread::start(kernel::ActionSink &Sink) {
  HandlerThread_ = std::thread([this, &Sink] { handleEvents(Sink); });
  TickThread_ = std::thread([this] { sendTicks(); });
}

void KernelThread::stop() {
  if (!HandlerThread_.joinable())
    return;
  Stopping_.store(true);
  TickThread_.join();
  Ring_.close();
  HandlerThread_.join();
}

bool KernelThread::tryPost(kernel::Event Next) {
  if (Ring_.tryPush(std::move(Next)))
    return true;
  return core::failFalse(core::ErrorKind::Overloaded,
                         "too many requests at once; retry in a second");
}

void KernelThread::post(kernel::Event Next) { Ring_.push(std::move(Next)); }

kernel::SchedulerLoad KernelThread::load() const {
  std::lock_guard Guard(PublishedMutex_);
  return PublishedLoad_;
}

kernel::DispatcherCounters KernelThread::counters() const {
  std::lock_guard Guard(PublishedMutex_);
  return PublishedCounters_;
}

void KernelThread::handleEvents(kernel::ActionSink &Sink) {
  while (auto Next = Ring_.pop())
    handle(std::move(*Next), Sink);
}

void KernelThread::handle(kernel::Event Next, kernel::ActionSink &Sink) {
  bool IsTick = std::holds_alternative<kernel::Tick>(Next);
  Dispatcher_.handle(std::move(Next), core::MonotonicClock::now(), Sink);
  runQueuedWork();
  if (IsTick && TickHook_)
    TickHook_(Dispatcher_.scheduler(), core::MonotonicClock::now());
  handleSinkEvents(Sink);
  if (!IsTick)
    return;
  TickPending_.store(false);
  publish();
}

void KernelThread::handleSinkEvents(kernel::ActionSink &Sink) {
  while (!SinkEvents_.empty()) {
    auto Added = std::move(SinkEvents_.front());
    SinkEvents_.pop_front();
    Dispatcher_.handle(std::move(Added), core::MonotonicClock::now(), Sink);
  }
}

void KernelThread::run(Work Next) {
  {
    std::lock_guard Guard(WorkMutex_);
    WorkQueue_.push_back(std::move(Next));
  }
  // Wakes the kernel thread. When the ring is full, the next event in it has the same effect.
  Ring_.tryPush(kernel::Tick{});
}

void KernelThread::runQueuedWork() {
  std::deque<Work> Taken;
  {
    std::lock_guard Guard(WorkMutex_);
    Taken.swap(WorkQueue_);
  }
  for (auto &Next : Taken)
    Next(Dispatcher_.scheduler(), core::MonotonicClock::now());
}

void KernelThread::sendTicks() {
  auto Next = std::chrono::steady_clock::now();
  while (!Stopping_.load()) {
    Next += TickInterval;
    std::this_thread::sleep_until(Next);
    // Skips this tick while an earlier one is still in the ring.
    if (TickPending_.exchange(true))
      continue;
    if (!Ring_.tryPush(kernel::Tick{})) {
      TickPending_.store(false);
      DroppedTicks_.add();
    }
  }
}

void KernelThread::publish() {
  auto Load = Dispatcher_.scheduler().load();
  auto Counters = Dispatcher_.counters();
  std::lock_guard Guard(PublishedMutex_);
  PublishedLoad_ = Load;
  PublishedCounters_ = Counters;
}

void KernelThread::addGauges(core::MetricsRegistry &Metrics) {
  auto Add = [&](const char *Name, auto Read) {
    Metrics.gauge(Name, [this, Read] { return static_cast<double>(Read(load(), counters())); });
  };
  using Load = kernel::SchedulerLoad;
  using Counters = kernel::DispatcherCounters;
  Add("cornellift_waiting_tasks", [](const Load &L, const Counters &) { return L.WaitingTasks; });
  Add("cornellift_free_slots", [](const Load &L, const Counters &) { return L.FreeSlots; });
  Add("cornellift_running_tasks", [](const Load &, const Counters &C) { return C.RunningTasks; });
  Add("cornellift_active_jobs", [](const Load &, const Counters &C) { return C.ActiveJobs; });
  Add("cornellift_ignored_events_total",
      [](const Load &, const Counters &C) { return C.IgnoredEvents; });
  Add("cornellift_lost_tasks_total", [](const Load &, const Counters &C) { return C.LostTasks; });
  Add("cornellift_kept_outcome_bytes",
      [](const Load &, const Counters &C) { return C.KeptOutcomeBytes; });
  Metrics.gauge("cornellift_kernel_ring_entries",
                [this] { return static_cast<double>(Ring_.size()); });
}

} // namespace cornellift::entry
