#include "Services/PlatformStandIn/KeyValueTable.h"

#include "Libraries/LibCore/Reason.h"

namespace cornellift::standin {

std::optional<Entry> KeyValueTable::get(std::string_view Key) {
  std::lock_guard Guard(Mutex_);
  removeExpired();
  auto Found = Entries_.find(Key);
  if (Found == Entries_.end())
    return core::fail(core::ErrorKind::NotFound, "no such key");
  return Found->second;
}

std::optional<WriteResult> KeyValueTable::compareAndSwap(std::string_view Key, std::string Value,
                                                         std::uint64_t Expected,
                                                         std::uint64_t Lease) {
  std::lock_guard Guard(Mutex_);
  removeExpired();
  if (Lease != 0 && !Leases_.contains(Lease))
    return core::fail(core::ErrorKind::NotFound, "the lease has expired; request a new one");
  auto Found = Entries_.find(Key);
  std::uint64_t Current = Found == Entries_.end() ? 0 : Found->second.Revision;
  if (Current != Expected)
    return WriteResult{false, Current};
  if (Found == Entries_.end() && Entries_.size() >= MaximumKeys)
    return core::fail(core::ErrorKind::Overloaded, "too many keys; delete some");
  Entries_[std::string(Key)] = {std::move(Value), ++LastRevision_, Lease};
  Changed_.notify_all();
  return WriteResult{true, LastRevision_};
}

bool KeyValueTable::remove(std::string_view Key) {
  std::lock_guard Guard(Mutex_);
  removeExpired();
  auto Found = Entries_.find(Key);
  if (Found == Entries_.end())
    return core::failFalse(core::ErrorKind::NotFound, "no such key");
  Entries_.erase(Found);
  return true;
}

std::optional<Entry> KeyValueTable::watch(std::string_view Key, std::uint64_t After,
                                          core::TimePoint Deadline) {
  std::unique_lock Guard(Mutex_);
  auto IsNewer = [&] {
    auto Found = Entries_.find(Key);
    return Stopped_ || (Found != Entries_.end() && Found->second.Revision > After);
  };
  std::chrono::steady_clock::time_point Until(Deadline.time_since_epoch());
  removeExpired();
  if (!Changed_.wait_until(Guard, Until, IsNewer) || Stopped_)
    return core::fail(core::ErrorKind::Timeout, "no change before the deadline; watch again");
  return Entries_.find(Key)->second;
}

std::uint64_t KeyValueTable::grantLease(core::Duration Lifetime) {
  std::lock_guard Guard(Mutex_);
  removeExpired();
  Leases_[++LastLease_] = {Lifetime, core::MonotonicClock::now() + Lifetime};
  return LastLease_;
}

bool KeyValueTable::renewLease(std::uint64_t Number) {
  std::lock_guard Guard(Mutex_);
  removeExpired();
  auto Found = Leases_.find(Number);
  if (Found == Leases_.end())
    return core::failFalse(core::ErrorKind::NotFound, "the lease has expired; request a new one");
  Found->second.Deadline = core::MonotonicClock::now() + Found->second.Lifetime;
  return true;
}

void KeyValueTable::stop() {
  std::lock_guard Guard(Mutex_);
  Stopped_ = true;
  Changed_.notify_all();
}

void KeyValueTable::removeExpired() {
  auto Now = core::MonotonicClock::now();
  if (std::erase_if(Leases_, [&](const auto &Item) { return Item.second.Deadline <= Now; }) == 0)
    return;
  std::erase_if(Entries_, [&](const auto &Item) {
    return Item.second.Lease != 0 && !Leases_.contains(Item.second.Lease);
  });
}

} // namespace cornellift::standin
