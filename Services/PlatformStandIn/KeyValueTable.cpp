#include "Services/PlatformStandIn/KeyValueTable.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>

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
  Changed_.notify_all();
  return true;
}

std::optional<Entry> KeyValueTable::watch(std::string_view Key, std::uint64_t After,
                                          core::TimePoint Deadline) {
  std::unique_lock Guard(Mutex_);
  auto Now = core::MonotonicClock::now();
  for (; !Stopped_; Now = core::MonotonicClock::now()) {
    removeExpired();
    auto Found = Entries_.find(Key);
    if (Found == Entries_.end() && After != 0)
      return core::fail(core::ErrorKind::NotFound, "the key was removed; watch again after 0");
    if (Found != Entries_.end() && Found->second.Revision > After)
      return Found->second;
    if (Now >= Deadline)
      break;
    auto Until = Found == Entries_.end() ? Deadline : std::min(Deadline, leaseEnd(Found->second));
    Changed_.wait_for(Guard, Until - Now);
  }
  return core::fail(core::ErrorKind::Timeout, "no change before the deadline; watch again");
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

core::TimePoint KeyValueTable::leaseEnd(const Entry &Held) const {
  auto Found = Leases_.find(Held.Lease);
  return Found == Leases_.end() ? core::TimePoint::max() : Found->second.Deadline;
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
