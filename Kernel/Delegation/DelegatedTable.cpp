#include "Kernel/Delegation/DelegatedTable.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

std::uint64_t resultBytes(const DelegatedTask &Record) {
  return Record.Ended && Record.Ended->Result ? Record.Ended->Result->size() : 0;
}

} // namespace

DelegatedTask *DelegatedTable::find(TaskId Task) {
  auto Found = Tasks_.find(Task);
  return Found == Tasks_.end() ? nullptr : &Found->second;
}

bool DelegatedTable::mayHaveEvicted(TaskId Task) const {
  auto Found = HighestEvicted_.find(Task.Job.Issuer);
  return Found != HighestEvicted_.end() && Task.Job.Sequence <= Found->second;
}

void DelegatedTable::markEvicted(TaskId Task) {
  auto &Highest = HighestEvicted_[Task.Job.Issuer];
  Highest = std::max(Highest, Task.Job.Sequence);
}

DelegatedTask &DelegatedTable::add(TaskId Task, DelegatedTask Record) {
  return Tasks_.insert_or_assign(Task, std::move(Record)).first->second;
}

void DelegatedTable::recordEnd(TaskId Task, core::TimePoint Now) {
  auto &Record = Tasks_.at(Task);
  Record.EndedAt = Now;
  ResultBytes_ += resultBytes(Record);
  ++Ended_;
  EndOrder_.emplace_back(Now, Task);
}

void DelegatedTable::dropRefused(TaskId Task) {
  Tasks_.erase(Task);
  --Ended_;
}

void DelegatedTable::attach(RequestId Request, TaskId Task) {
  Requests_.emplace(Request, Task);
  Tasks_.at(Task).Waiters.push_back(Request);
}

void DelegatedTable::abandon(RequestId Request) {
  auto Found = Requests_.find(Request);
  if (Found == Requests_.end())
    return;
  std::erase(Tasks_.at(Found->second).Waiters, Request);
  Requests_.erase(Found);
}

std::vector<RequestId> DelegatedTable::takeWaiters(TaskId Task) {
  auto Waiters = std::exchange(Tasks_.at(Task).Waiters, {});
  for (auto Request : Waiters)
    Requests_.erase(Request);
  return Waiters;
}

void DelegatedTable::evict(core::TimePoint Now) {
  while (!EndOrder_.empty() &&
         (EndOrder_.front().first + Retention < Now || Tasks_.size() > MaximumRecords ||
          ResultBytes_ > MaximumResultBytes)) {
    auto [EndedAt, Task] = EndOrder_.front();
    EndOrder_.pop_front();
    auto Found = Tasks_.find(Task);
    if (Found == Tasks_.end() || Found->second.EndedAt != EndedAt)
      continue;
    ResultBytes_ -= resultBytes(Found->second);
    markEvicted(Task);
    Tasks_.erase(Found);
    --Ended_;
  }
}

} // namespace cornellift::kernel
