#include "Kernel/Jobs/JobTable.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

std::uint64_t bytesOf(const JobSpec &Spec) {
  std::uint64_t Bytes = 0;
  for (const auto &Task : Spec.Tasks)
    Bytes += Task.PayloadBytes;
  return Bytes;
}

} // namespace

JobRecord *JobTable::find(JobId Job) {
  auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

const JobRecord *JobTable::find(JobId Job) const {
  auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

JobRecord &JobTable::add(JobRecord Record) {
  Tasks_ += Record.Tasks.size();
  Bytes_ += bytesOf(Record.Spec);
  if (Record.Spec.Deadline)
    Deadlines_.emplace(*Record.Spec.Deadline, Record.Id);
  auto Job = Record.Id;
  return Jobs_.insert_or_assign(Job, std::move(Record)).first->second;
}

void JobTable::remove(JobId Job) {
  auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end())
    return;
  const auto &Record = Found->second;
  Tasks_ -= Record.Tasks.size();
  Bytes_ -= bytesOf(Record.Spec);
  if (Record.Spec.Deadline)
    Deadlines_.erase({*Record.Spec.Deadline, Job});
  Jobs_.erase(Found);
}

std::vector<JobId> JobTable::sortedIds() const {
  std::vector<JobId> Result;
  Result.reserve(Jobs_.size());
  for (const auto &[Job, Record] : Jobs_)
    Result.push_back(Job);
  std::ranges::sort(Result);
  return Result;
}

std::vector<JobId> JobTable::takePassedDeadlines(core::TimePoint Now) {
  std::vector<JobId> Result;
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    Result.push_back(Deadlines_.begin()->second);
    Deadlines_.erase(Deadlines_.begin());
  }
  return Result;
}

std::vector<JobId> JobTable::nextLatenessChecks(std::size_t Count) {
  std::vector<JobId> Result;
  auto Next = Deadlines_.upper_bound(LastLatenessCheck_);
  for (std::size_t Left = std::min(Count, Deadlines_.size()); Left > 0; --Left) {
    if (Next == Deadlines_.end())
      Next = Deadlines_.begin();
    LastLatenessCheck_ = *Next;
    Result.push_back(Next->second);
    ++Next;
  }
  return Result;
}

} // namespace cornellift::kernel
