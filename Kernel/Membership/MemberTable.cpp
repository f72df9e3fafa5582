#include "Kernel/Membership/MemberTable.h"

#include <algorithm>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cornellift::kernel {
namespace {

constexpr core::Duration DigestLifetime = std::chrono::seconds(10);

auto order(const MemberRecord &Record) {
  return std::tuple(Record.StartedAt, Record.Process.Value, Record.Revision, Record.Standing);
}

std::uint64_t hash(const MemberRecord &Record) {
  std::string Text = Record.EntryVm;
  for (std::uint64_t Number :
       {Record.Process.Value, std::uint64_t(Record.Revision), std::uint64_t(Record.Standing)})
    Text += ' ' + std::to_string(Number);
  return XXH3_64bits(Text.data(), Text.size());
}

std::uint64_t hash(const SuccessionRecord &Record) {
  std::uint64_t Pair[] = {Record.From.Value, Record.To.Value};
  return XXH3_64bits(Pair, sizeof Pair);
}

} // namespace

bool MemberTable::isExpired(const MemberRecord &Record, core::TimePoint Now) const {
  return Record.Standing == MemberStanding::Dead && Now - Record.ChangedAt > Retention;
}

bool MemberTable::merge(const MemberRecord &Record, core::TimePoint Now) {
  auto Found = Members_.find(Record.EntryVm);
  bool Known = Found != Members_.end();
  if (isExpired(Record, Now) || (Known && order(Found->second) >= order(Record)))
    return false;
  if (!Known && Members_.size() >= MaximumRecords)
    dropOldestDead();
  if (!Known && Members_.size() >= MaximumRecords)
    return false;
  Members_[Record.EntryVm] = Record;
  ++Version_;
  return true;
}

bool MemberTable::merge(const SuccessionRecord &Record, core::TimePoint Now) {
  if (Now - Record.ChangedAt > Retention || Successions_.size() >= MaximumRecords)
    return false;
  // The successor of a sealed incarnation never changes, so the first record stays.
  bool Added = Successions_.emplace(Record.From.Value, Record).second;
  if (Added)
    ++Version_;
  return Added;
}

const MemberRecord *MemberTable::find(std::string_view EntryVm) const {
  auto Found = Members_.find(EntryVm);
  return Found == Members_.end() ? nullptr : &Found->second;
}

const MemberRecord *MemberTable::find(Incarnation Process) const {
  for (const auto &[Name, Record] : Members_)
    if (Record.Process == Process)
      return &Record;
  return nullptr;
}

std::optional<SuccessionRecord> MemberTable::successor(Incarnation From) const {
  std::optional<SuccessionRecord> Last;
  auto Found = Successions_.find(From.Value);
  // The bound ends the loop if corrupt records form a cycle.
  for (std::size_t Step = 0; Found != Successions_.end() && Step < Successions_.size(); ++Step) {
    Last = Found->second;
    Found = Successions_.find(Last->To.Value);
  }
  return Last;
}

std::vector<SuccessionRecord> MemberTable::successions() const {
  std::vector<SuccessionRecord> Result;
  for (const auto &[From, Record] : Successions_)
    Result.push_back(Record);
  return Result;
}

std::uint64_t MemberTable::digest(core::TimePoint Now) const {
  if (DigestVersion_ == Version_ && Now < DigestUntil_)
    return Digest_;
  Digest_ = 0;
  for (const auto &[Name, Record] : Members_)
    if (Record.Standing != MemberStanding::Dead || Now - Record.ChangedAt < Retention / 2)
      Digest_ ^= hash(Record);
  for (const auto &[From, Record] : Successions_)
    if (Now - Record.ChangedAt < Retention / 2)
      Digest_ ^= hash(Record);
  DigestVersion_ = Version_;
  DigestUntil_ = Now + DigestLifetime;
  return Digest_;
}

void MemberTable::dropExpired(core::TimePoint Now) {
  auto Dropped = std::erase_if(Members_, [&](auto &Item) { return isExpired(Item.second, Now); });
  Dropped += std::erase_if(Successions_,
                           [&](auto &Item) { return Now - Item.second.ChangedAt > Retention; });
  if (Dropped > 0)
    ++Version_;
}

void MemberTable::dropOldestDead() {
  auto Oldest = Members_.end();
  for (auto Item = Members_.begin(); Item != Members_.end(); ++Item) {
    bool Dead = Item->second.Standing == MemberStanding::Dead;
    if (Dead && (Oldest == Members_.end() || Item->second.ChangedAt < Oldest->second.ChangedAt))
      Oldest = Item;
  }
  if (Oldest != Members_.end())
    Members_.erase(Oldest);
}

} // namespace cornellift::kernel
