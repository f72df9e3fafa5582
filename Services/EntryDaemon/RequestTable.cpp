#include "Services/EntryDaemon/RequestTable.h"

#include "Libraries/LibCore/Reason.h"

#include <chrono>
#include <utility>

namespace cornellift::entry {

std::optional<kernel::Response>
RequestTable::call(const std::function<kernel::Event(kernel::RequestId)> &Make,
                   core::TimePoint Deadline) {
  auto Waiting = std::make_shared<Waiter>();
  kernel::RequestId Request{};
  {
    std::lock_guard Guard(Mutex_);
    Request = kernel::RequestId(++LastRequestId_);
    Waiters_.emplace(LastRequestId_, Waiting);
  }
  if (!Kernel_.tryPost(Make(Request))) {
    removeWaiter(Request);
    return std::nullopt;
  }
  std::unique_lock Lock(Waiting->Mutex);
  auto Remaining = Deadline - core::MonotonicClock::now();
  if (Waiting->Arrived.wait_for(Lock, Remaining, [&] { return Waiting->Content.has_value(); }))
    return std::move(Waiting->Content);
  Lock.unlock();
  removeWaiter(Request);
  Kernel_.tryPost(kernel::RequestAbandoned{Request});
  return core::fail(core::ErrorKind::Timeout,
                    "no response in time; query the job's outcome with the same identifier");
}

void RequestTable::respond(kernel::RequestId Request, kernel::Response Content) {
  auto Waiting = removeWaiter(Request);
  if (!Waiting)
    return;
  {
    std::lock_guard Guard(Waiting->Mutex);
    Waiting->Content = std::move(Content);
  }
  // Notifies without holding the lock, because the woken thread would have to wait for it.
  Waiting->Arrived.notify_one();
}

std::size_t RequestTable::size() const {
  std::lock_guard Guard(Mutex_);
  return Waiters_.size();
}

std::shared_ptr<RequestTable::Waiter> RequestTable::removeWaiter(kernel::RequestId Request) {
  std::lock_guard Guard(Mutex_);
  auto Found = Waiters_.find(static_cast<std::uint64_t>(Request));
  if (Found == Waiters_.end())
    return nullptr;
  auto Waiting = std::move(Found->second);
  Waiters_.erase(Found);
  return Waiting;
}

} // namespace cornellift::entry
