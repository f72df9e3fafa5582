#include "Kernel/Transfer/TransferStaging.h"

#include "Kernel/Jobs/OutcomeStore.h"

namespace cornellift::kernel {
namespace {

std::uint64_t bytesOf(const TransferPart &Part) {
  std::uint64_t Bytes = sizeof Part + Part.Blocks.size() * sizeof(TransferredBlock) +
                        Part.Running.size() * sizeof(TransferredRunning);
  for (const auto &Job : Part.Jobs) {
    Bytes += sizeof Job + Job.Spec.Tasks.size() * sizeof(TaskSpec);
    for (const auto &Task : Job.Spec.Tasks)
      Bytes += Task.PayloadBytes;
  }
  for (const auto &Ended : Part.Outcomes)
    Bytes += OutcomeStore::bytesOf(*Ended.Result);
  return Bytes;
}

} // namespace

bool TransferStaging::stage(const std::shared_ptr<const TransferPart> &Part,
                            std::uint64_t MaximumBytes, core::TimePoint Now) {
  if (!Staged_.contains(Part->Sender) && Staged_.size() >= MaximumSenders)
    return false;
  auto Bytes = bytesOf(*Part);
  auto &Staged = Staged_[Part->Sender];
  if (Part->Transfer < Staged.Transfer)
    return false;
  // Parts of an aborted attempt are stale, because the sender may have started jobs in them.
  if (Part->Transfer > Staged.Transfer)
    Staged = {};
  Staged.Transfer = Part->Transfer;
  if (Staged.Bytes + Bytes > MaximumBytes)
    return false;
  Staged.DropAt = Now + Lifetime;
  if (Staged.Parts.emplace(Part->Number, Part).second)
    Staged.Bytes += Bytes;
  return true;
}

std::optional<StagedTransfer> TransferStaging::seal(const TransferSealed &Seal) {
  auto Found = Staged_.find(Seal.Sender);
  if (Found == Staged_.end() || Found->second.Transfer != Seal.Transfer)
    return std::nullopt;
  const auto &Parts = Found->second.Parts;
  if (Parts.empty() || Parts.size() != Seal.PartCount ||
      Parts.rbegin()->first + 1 != Seal.PartCount)
    return std::nullopt;
  auto Taken = std::move(Found->second);
  Staged_.erase(Found);
  Sealed_.insert(Seal.Sender);
  return Taken;
}

void TransferStaging::dropOld(core::TimePoint Now) {
  std::erase_if(Staged_, [Now](const auto &Entry) { return Entry.second.DropAt <= Now; });
}

} // namespace cornellift::kernel
