#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace cornellift::http {

/// Thread pool that serves connections; threads are started on demand up to a limit. The queue of
/// connections that wait for a thread is bounded too: when it is full, enqueue() serves the
/// connection on the calling thread with isRefusing() set, so that it is rejected at once.
class BoundedThreadPool : public httplib::TaskQueue {
public:
  /// OnSaturated is called when a connection has to wait for a thread.
  BoundedThreadPool(std::size_t MaximumThreads, std::size_t MaximumQueued,
                    std::function<void()> OnSaturated);

  void enqueue(std::function<void()> Serve) override;
  void shutdown() override;

  /// True while connections wait for a thread and all threads are busy.
  bool hasQueuedConnections() const;

  /// True while the current thread has to reject the connection that it was given.
  static bool isRefusing();

private:
  void serveConnections();

  const std::size_t MaximumThreads_;
  const std::size_t MaximumQueued_;
  std::function<void()> OnSaturated_;
  mutable std::mutex Mutex_;
  std::condition_variable Wake_;
  std::deque<std::function<void()>> Queue_;
  std::vector<std::thread> Threads_;
  std::size_t Idle_ = 0;
  bool Stopping_ = false;
};

} // namespace cornellift::http
