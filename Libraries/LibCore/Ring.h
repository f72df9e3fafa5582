#pragma once

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>

#include <tbb/concurrent_queue.h>

namespace cornellift::core {

/// Bounded ring: a blocking queue of fixed capacity for any number of producers and consumers.
///
/// After close(), pop() returns the remaining entries and then an empty optional, so that a
/// consumer handles all accepted entries before it ends.
template <typename T> class Ring {
public:
  explicit Ring(std::size_t Capacity) {
    Queue_.set_capacity(static_cast<std::ptrdiff_t>(Capacity));
  }

  /// Returns false when the queue is full or closed.
  bool tryPush(T Value) {
    if (Closed_.load())
      return false;
    return Queue_.try_push(std::optional<T>(std::move(Value)));
  }

  /// Blocks while the queue is full. For producers whose entries must not be lost.
  void push(T Value) { Queue_.push(std::optional<T>(std::move(Value))); }

  /// Blocks until there is an entry. Returns an empty optional once the queue is closed and empty.
  std::optional<T> pop() {
    std::optional<T> Value;
    if (Closed_.load())
      Queue_.try_pop(Value);
    else
      Queue_.pop(Value);
    // An empty optional marks the end. It is put back for the other consumers, and put in here if
    // close() found no room for it.
    if (!Value)
      Queue_.try_push(std::nullopt);
    return Value;
  }

  std::optional<T> tryPop() {
    std::optional<T> Value;
    Queue_.try_pop(Value);
    return Value;
  }

  /// Closes the queue. Wakes one consumer, which wakes the next one.
  void close() {
    Closed_.store(true);
    Queue_.try_push(std::nullopt);
  }

  std::size_t size() const {
    auto Count = Queue_.size();
    return Count < 0 ? 0 : static_cast<std::size_t>(Count);
  }

private:
  tbb::concurrent_bounded_queue<std::optional<T>> Queue_;
  std::atomic<bool> Closed_{false};
};

} // namespace cornellift::core
