#pragma once

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibPlatform/PlatformStore.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace cornellift::tests {

/// In-memory store with fault injection.
class FakeStore : public platform::PlatformStore {
public:
  /// Called once, before the next swap takes effect and without the lock; may use the store.
  std::function<void(std::string_view Key)> BeforeSwap;
  /// Called after a swap of the key has taken effect. Returns true to lose the reply.
  std::function<bool(std::string_view Key)> LoseReply;
  std::atomic<bool> Down{false};
  std::atomic<int> Calls{0};

  std::optional<platform::StoredValue> get(std::string_view Key, core::TimePoint) override {
    ++Calls;
    std::lock_guard Guard(Mutex_);
    return find(Key);
  }

  platform::SwapOutcome compareAndSwap(std::string_view Key, std::string_view Value,
                                       std::uint64_t Expected, core::TimePoint) override {
    ++Calls;
    // Moved out, because the hook may itself write to this store.
    if (auto Hook = std::exchange(BeforeSwap, nullptr))
      Hook(Key);
    auto Outcome = swap(Key, Value, Expected);
    if (Outcome == platform::SwapOutcome::Applied && LoseReply && LoseReply(Key)) {
      core::fail(core::ErrorKind::Timeout, "reply lost");
      return platform::SwapOutcome::Unknown;
    }
    return Outcome;
  }

  bool remove(std::string_view Key, core::TimePoint) override {
    std::lock_guard Guard(Mutex_);
    if (!find(Key))
      return false;
    Values_.erase(Values_.find(Key));
    Changed_.notify_all();
    return true;
  }

  std::optional<platform::StoredValue> watch(std::string_view Key, std::uint64_t AfterRevision,
                                             core::TimePoint Deadline) override {
    ++Calls;
    std::unique_lock Guard(Mutex_);
    std::chrono::steady_clock::time_point Until(Deadline.time_since_epoch());
    auto IsChanged = [&] {
      auto Found = Values_.find(Key);
      bool IsKnown = Found != Values_.end();
      return Down || (IsKnown ? Found->second.Revision > AfterRevision : AfterRevision != 0);
    };
    if (!Changed_.wait_until(Guard, Until, IsChanged))
      return core::fail(core::ErrorKind::Timeout, "no change");
    return find(Key);
  }

  std::optional<std::vector<platform::VmRecord>> listVms(core::TimePoint) override {
    return std::vector<platform::VmRecord>();
  }

  void setDown(bool IsDown) {
    std::lock_guard Guard(Mutex_);
    Down = IsDown;
    Changed_.notify_all();
  }

private:
  std::optional<platform::StoredValue> find(std::string_view Key) {
    if (Down)
      return core::fail(core::ErrorKind::Unavailable, "the store is down");
    auto Found = Values_.find(Key);
    if (Found == Values_.end())
      return core::fail(core::ErrorKind::NotFound, "no such key");
    return Found->second;
  }

  platform::SwapOutcome swap(std::string_view Key, std::string_view Value, std::uint64_t Expected) {
    std::lock_guard Guard(Mutex_);
    auto Old = find(Key);
    if (Down)
      return platform::SwapOutcome::Unknown;
    if ((Old ? Old->Revision : 0) != Expected) {
      core::fail(core::ErrorKind::Conflict, "the key has changed");
      return platform::SwapOutcome::Conflict;
    }
    Values_[std::string(Key)] = {std::string(Value), ++LastRevision_};
    Changed_.notify_all();
    return platform::SwapOutcome::Applied;
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, platform::StoredValue, std::less<>> Values_;
  std::uint64_t LastRevision_ = 0;
};

} // namespace cornellift::tests
