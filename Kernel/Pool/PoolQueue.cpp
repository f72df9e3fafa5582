#include "Kernel/Pool/PoolQueue.h"

namespace cornellift::kernel {

void PoolQueue::set(const Key &Entry) {
  remove(Entry.Handle);
  Entries_[Entry.Handle] = Entry;
  Order_.insert(Entry);
}

void PoolQueue::remove(JobHandle Handle) {
  auto Found = Entries_.find(Handle);
  if (Found == Entries_.end())
    return;
  Order_.erase(Found->second);
  Entries_.erase(Found);
}

const PoolQueue::Key *PoolQueue::find(JobHandle Handle) const {
  auto Found = Entries_.find(Handle);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

} // namespace cornellift::kernel
