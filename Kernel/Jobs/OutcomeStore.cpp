#include "Kernel/Jobs/OutcomeStore.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Memory of the table and order entries of one outcome; BenchmarkDispatcher shows it.
constexpr std::uint64_t EntryBytes = 320;
/// Memory of the control block and pointer of one result.
constexpr std::uint64_t ResultOverheadBytes = 64;

} // namespace

const TransferredOutcome *OutcomeStore::find(JobId Job) const {
  auto Found = Kept_.find(Job);
  return Found == Kept_.end() ? nullptr : &Found->second;
}

void OutcomeStore::keep(TransferredOutcome Ended) {
  if (Kept_.contains(Ended.Job))
    return;
  Bytes_ += bytesOf(*Ended.Result);
  orderOf(Ended).emplace(Ended.KeepUntil, Ended.Job);
  auto Job = Ended.Job;
  Kept_.emplace(Job, std::move(Ended));
}

void OutcomeStore::markFetched(JobId Job) {
  auto Found = Kept_.find(Job);
  if (Found == Kept_.end() || Found->second.Fetching == TransferredOutcome::FetchState::Fetched)
    return;
  Unfetched_.erase({Found->second.KeepUntil, Job});
  Fetched_.emplace(Found->second.KeepUntil, Job);
  Found->second.Fetching = TransferredOutcome::FetchState::Fetched;
}

void OutcomeStore::evict(core::TimePoint Now, std::uint64_t MaximumBytes) {
  dropPassed(Fetched_, Now);
  dropPassed(Unfetched_, Now);
  while (Bytes_ > MaximumBytes && !Fetched_.empty())
    drop(Fetched_.begin()->second);
}

std::vector<TransferredOutcome> OutcomeStore::sorted() const {
  std::vector<TransferredOutcome> Result;
  Result.reserve(Kept_.size());
  for (const auto &[Job, Kept] : Kept_)
    Result.push_back(Kept);
  std::ranges::sort(Result, {}, &TransferredOutcome::Job);
  return Result;
}

std::uint64_t OutcomeStore::bytesOf(const Outcome &Content) {
  if (const auto *Whole = std::get_if<Complete>(&Content)) {
    std::uint64_t Bytes = EntryBytes;
    for (const auto &Result : Whole->Results)
      Bytes += ResultOverheadBytes + (Result ? Result->size() : 0);
    return Bytes;
  }
  if (const auto *Unknown = std::get_if<MayHaveRun>(&Content))
    return EntryBytes + Unknown->Reason.size() + Unknown->Tasks.size() * sizeof(TaskOutcome);
  return EntryBytes + std::get<NotRun>(Content).Reason.size();
}

OutcomeStore::Order &OutcomeStore::orderOf(const TransferredOutcome &Kept) {
  return Kept.Fetching == TransferredOutcome::FetchState::Fetched ? Fetched_ : Unfetched_;
}

void OutcomeStore::drop(JobId Job) {
  auto Found = Kept_.find(Job);
  Bytes_ -= bytesOf(*Found->second.Result);
  orderOf(Found->second).erase({Found->second.KeepUntil, Job});
  Kept_.erase(Found);
}

void OutcomeStore::dropPassed(Order &Entries, core::TimePoint Now) {
  while (!Entries.empty() && Entries.begin()->first <= Now)
    drop(Entries.begin()->second);
}

} // namespace cornellift::kernel
