#include "Libraries/LibHttp/BoundedThreadPool.h"

#include <utility>

namespace cornellift::http {
namespace {

thread_local bool Refusing = false;

} // namespace

BoundedThreadPool::BoundedThreadPool(std::size_t MaximumThreads, std::size_t MaximumQueued,
                                     std::function<void()> OnSaturated)
    : MaximumThreads_(MaximumThreads), MaximumQueued_(MaximumQueued),
      OnSaturated_(std::move(OnSaturated)) {}

void BoundedThreadPool::enqueue(std::function<void()> Serve) {
  std::unique_lock Lock(Mutex_);
  if (Queue_.size() >= MaximumQueued_) {
    Lock.unlock();
    Refusing = true;
    Serve();
    Refusing = false;
    return;
  }
  Queue_.push_back(std::move(Serve));
  if (Idle_ < Queue_.size() && Threads_.size() < MaximumThreads_)
    Threads_.emplace_back([this] { serveConnections(); });
  bool MustWait = Idle_ < Queue_.size() && Threads_.size() >= MaximumThreads_;
  Lock.unlock();
  Wake_.notify_one();
  if (MustWait)
    OnSaturated_();
}

void BoundedThreadPool::shutdown() {
  {
    std::lock_guard Guard(Mutex_);
    Stopping_ = true;
  }
  Wake_.notify_all();
  for (auto &Thread : Threads_)
    Thread.join();
}

bool BoundedThreadPool::hasQueuedConnections() const {
  std::lock_guard Guard(Mutex_);
  // If a thread is idle or has just been started, it is about to take the connection.
  return Queue_.size() > Idle_ && Threads_.size() >= MaximumThreads_;
}

bool BoundedThreadPool::isRefusing() { return Refusing; }

void BoundedThreadPool::serveConnections() {
  std::unique_lock Lock(Mutex_);
  while (true) {
    ++Idle_;
    Wake_.wait(Lock, [this] { return Stopping_ || !Queue_.empty(); });
    --Idle_;
    if (Queue_.empty())
      return;
    auto Serve = std::move(Queue_.front());
    Queue_.pop_front();
    Lock.unlock();
    Serve();
    Lock.lock();
  }
}

} // namespace cornellift::http
