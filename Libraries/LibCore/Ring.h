#pragma once

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>

#include <tbb/concurrent_queue.h>

namespace cornellift::core {

/// Bounded queue between the threads of two duties.
///
/// After close(), pop() returns the entries that are left and then an empty optional, so that a
/// stopping duty finishes what it was given.
template <typename T> class Ring {
public:
  explicit Ring(std::size_t Capacity) {
    Queue_.set_capacity(static_cast<std::ptrdiff_t>(Capacity));
  }

  /// Returns false when the ring is full or closed; the caller states what happens then.
  bool tryPush(T Value) {
    if (Closed_.load())
      return false;
    return Queue_.try_push(std::optional<T>(std::move(Value)));
  }

  /// Waits for room. For producers whose entry must not be lost.
  void push(T Value) { Queue_.push(std::optional<T>(std::move(Value))); }

  /// Waits for an entry. Returns an empty optional once the ring is closed and empty.
  std::optional<T> pop() {
    std::optional<T> Value;
    if (Closed_.load()) {
      Queue_.try_pop(Value);
      return Value;
    }
    Queue_.pop(Value);
    // The empty entry is the end mark; it goes back for the other consumers of this ring.
    if (!Value)
      Queue_.try_push(std::nullopt);
    return Value;
  }

  std::optional<T> tryPop() {
    std::optional<T> Value;
    Queue_.try_pop(Value);
    return Value;
  }

  /// Ends the ring. Wakes one consumer, which wakes the next one.
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
