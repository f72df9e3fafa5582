#include "Kernel/Pool/WorkerRegistry.h"

#include <algorithm>
#include <utility>

namespace cornellift::kernel {
namespace {

/// A store failure that is older than this does not explain a missing entry.
constexpr core::Duration StoreFailureMemory = std::chrono::seconds(3);
/// How long a worker is kept whose entry expired while the store was unavailable.
constexpr core::Duration LapsedEntryRetention = std::chrono::milliseconds(2300);

} // namespace

void WorkerRegistry::written(const std::string &Id, std::optional<WorkerEntry> Entry) {
  if (!Entry) {
    Entries_.erase(Id);
    return;
  }
  Entries_[Id] = {std::move(*Entry), std::nullopt};
}

void WorkerRegistry::removed(const std::string &Id, core::TimePoint StoreAwayAt,
                             core::TimePoint Now) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end() || Found->second.DropAt)
    return;
  bool MayReturn = StoreAwayAt != core::TimePoint() && Now - StoreAwayAt < StoreFailureMemory &&
                   Found->second.Entry.State == WorkerState::Ready;
  auto DropAt = MayReturn ? Now + LapsedEntryRetention : Now;
  Found->second.DropAt = DropAt;
  NextDropAt_ = std::min(NextDropAt_.value_or(DropAt), DropAt);
}

bool WorkerRegistry::tick(core::TimePoint Now) {
  if (!NextDropAt_ || Now < *NextDropAt_)
    return false;
  NextDropAt_.reset();
  for (const auto &[Id, Entry] : Entries_)
    if (Entry.DropAt && Now < *Entry.DropAt)
      NextDropAt_ = std::min(NextDropAt_.value_or(*Entry.DropAt), *Entry.DropAt);
  auto Dropped = std::erase_if(Entries_, [&](const auto &Entry) {
    return Entry.second.DropAt && Now >= *Entry.second.DropAt;
  });
  return Dropped > 0;
}

std::vector<WorkerEntry> WorkerRegistry::workersIn(const std::set<std::string> &DataCentres) const {
  std::vector<WorkerEntry> Result;
  for (const auto &[Id, Entry] : Entries_)
    if (DataCentres.contains(Entry.Entry.DataCentre))
      Result.push_back(Entry.Entry);
  return Result;
}

const WorkerEntry *WorkerRegistry::find(const std::string &Id) const {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second.Entry;
}

std::vector<std::string> WorkerRegistry::ids() const {
  std::vector<std::string> Result;
  for (const auto &[Id, Entry] : Entries_)
    Result.push_back(Id);
  return Result;
}

} // namespace cornellift::kernel
