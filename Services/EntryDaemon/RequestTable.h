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

/// The requests that wait for a Respond action of the kernel. Safe to use from every thread.
class RequestTable {
public:
  explicit RequestTable(EventPoster &Kernel) : Kernel_(Kernel) {}

  /// Posts the event that Make returns and waits for its response until the deadline. Returns an
  /// empty optional with Overloaded when the event was not handled, or with Timeout when it may
  /// have been.
  std::optional<kernel::Response> call(const std::function<kernel::Event(kernel::RequestId)> &Make,
                                       core::TimePoint Deadline);

  /// Hands the response to its waiting request, if that still waits.
  void respond(kernel::RequestId Request, kernel::Response Content);

  /// Number of requests that wait.
  std::size_t size() const;

private:
  /// One waiting request. Shared by the waiting thread and the kernel's.
  struct Waiter {
    std::mutex Mutex;
    std::condition_variable Arrived;
    std::optional<kernel::Response> Content;
  };

  std::shared_ptr<Waiter> take(kernel::RequestId Request);

  EventPoster &Kernel_;
  mutable std::mutex Mutex_;
  std::uint64_t Last_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> Waiters_;
};

} // namespace cornellift::entry
