#include "Services/FleetStandIn/StoreModel.h"

namespace cornellift::standin {

ChangeVerdict StoreModel::apply(const StoreChange &Change, core::TimePoint Now) {
  advance(Now);
  for (const auto &Expected : Change.Conditions) {
    auto Found = Entries_.find(Expected.Key);
    auto Revision = Found == Entries_.end() ? 0 : Found->second.Revision;
    if (Revision != Expected.Revision)
      return ChangeVerdict::Conflict;
  }
  for (const auto &Write : Change.Writes)
    if (Write.Lease != 0 && !Leases_.contains(Write.Lease))
      return ChangeVerdict::NoSuchLease;
  ++Revision_;
  for (const auto &Write : Change.Writes) {
    Entries_[Write.Key] = {Write.Value, Revision_, Write.Lease};
    History_.push_back({{Write.Key, Write.Value, Revision_}, false});
  }
  for (const auto &Key : Change.Removals)
    remove(Key);
  return ChangeVerdict::Applied;
}

void StoreModel::remove(const std::string &Key) {
  if (Entries_.erase(Key) > 0)
    History_.push_back({{Key, {}, Revision_}, true});
}

platform::StorePage StoreModel::range(std::string_view Prefix, std::string_view AfterKey) const {
  platform::StorePage Page;
  Page.Revision = Revision_;
  std::size_t Bytes = 0;
  auto Entry = AfterKey.empty() ? Entries_.lower_bound(Prefix) : Entries_.upper_bound(AfterKey);
  for (; Entry != Entries_.end() && Entry->first.starts_with(Prefix); ++Entry) {
    Bytes += Entry->second.Value.size();
    bool IsFull = Page.Items.size() == PageSize || Bytes > PageBytes;
    if (IsFull && !Page.Items.empty()) {
      Page.HasMore = true;
      break;
    }
    Page.Items.push_back({Entry->first, Entry->second.Value, Entry->second.Revision});
  }
  return Page;
}

std::optional<platform::StoreEvents> StoreModel::eventsAfter(std::string_view Prefix,
                                                             std::uint64_t Revision) const {
  if (Revision < HistoryFrom_)
    return std::nullopt;
  platform::StoreEvents Result;
  Result.Revision = Revision_;
  std::size_t Bytes = 0;
  for (const auto &Event : History_) {
    if (Event.Item.Revision <= Revision || !Event.Item.Key.starts_with(Prefix))
      continue;
    bool IsFull = Result.Events.size() == PageSize || Bytes + Event.Item.Value.size() > PageBytes;
    if (IsFull && !Result.Events.empty()) {
      Result.Revision = Result.Events.back().Item.Revision;
      break;
    }
    Bytes += Event.Item.Value.size();
    Result.Events.push_back(Event);
  }
  return Result;
}

std::uint64_t StoreModel::grantLease(core::Duration Time, core::TimePoint Now) {
  Leases_[NextLease_] = {Time, Now + Time};
  return NextLease_++;
}

bool StoreModel::renewLease(std::uint64_t Number, core::TimePoint Now) {
  advance(Now);
  auto Found = Leases_.find(Number);
  if (Found == Leases_.end())
    return false;
  Found->second.EndsAt = Now + Found->second.Time;
  return true;
}

bool StoreModel::revokeLease(std::uint64_t Number, core::TimePoint Now) {
  auto Found = Leases_.find(Number);
  if (Found == Leases_.end())
    return false;
  Found->second.EndsAt = Now;
  advance(Now);
  return true;
}

void StoreModel::advance(core::TimePoint Now) {
  for (auto Entry = Leases_.begin(); Entry != Leases_.end();) {
    if (Entry->second.EndsAt > Now) {
      ++Entry;
      continue;
    }
    std::vector<std::string> Keys;
    for (const auto &[Key, Value] : Entries_)
      if (Value.Lease == Entry->first)
        Keys.push_back(Key);
    Entry = Leases_.erase(Entry);
    ++Revision_;
    for (const auto &Key : Keys)
      remove(Key);
  }
}

void StoreModel::compact() {
  HistoryFrom_ = Revision_;
  History_.clear();
}

} // namespace cornellift::standin
