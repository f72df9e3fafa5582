#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibCore/Time.h"
#include "Services/EntryDaemon/EventPoster.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace cornellift::entry {

/// Pending requests, which wait for a Respond action of the kernel. Thread-safe.
class RequestTable {
public:
  explicit RequestTable(EventPoster &Kernel) : Kernel_(Kernel) {}

  /// Posts the event that Make returns and waits for its response until the deadline. Returns an
  /// empty optional with Overloaded when the event was not handled, or with Timeout when it may
  /// have been.
  std::optional<kernel::Response> call(const std::function<kernel::Event(kernel::RequestId)> &Make,
                                       core::TimePoint Deadline);

  /// Passes the response to its request. Ignored when the request no longer waits.
  void respond(kernel::RequestId Request, kernel::Response Content);

  /// Number of pending requests.
  std::size_t size() const;

private:
  /// One pending request, shared by the waiting thread and the kernel's thread.
  struct Waiter {
    std::mutex Mutex;
    std::condition_variable Arrived;
    std::optional<kernel::Response> Content;
  };

  std::shared_ptr<Waiter> removeWaiter(kernel::RequestId Request);

  EventPoster &Kernel_;
  mutable std::mutex Mutex_;
  std::uint64_t LastRequestId_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> Waiters_;
};

} // namespace cornellift::entry
