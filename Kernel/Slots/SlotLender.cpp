#include "Kernel/Slots/SlotLender.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cornellift::kernel {

SlotLender::SlotLender(std::string OwnName, Incarnation Own, SlotLenderSettings Settings)
    : OwnName_(std::move(OwnName)), Own_(Own), Settings_(Settings),
      UnusedBorrowBackoff_(Settings.UnusedBorrowBackoff) {}

std::string SlotLender::designatedOwner(std::string_view EndpointName) const {
  std::string Best;
  std::uint64_t BestHash = 0;
  auto Seed = XXH3_64bits(EndpointName.data(), EndpointName.size());
  for (const auto &[Name, Peer] : Peers_) {
    if (Peer.PeerRole == LenderPeer::Role::Stopping)
      continue;
    auto Hash = XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
    if (!Best.empty() && Hash <= BestHash)
      continue;
    Best = Name;
    BestHash = Hash;
  }
  return Best;
}

void SlotLender::setEndpoints(std::vector<LenderEndpoint> Endpoints, core::TimePoint Now,
                              SlotActions &Out) {
  std::map<EndpointIndex, EndpointSlots> Next;
  for (auto &Endpoint : Endpoints) {
    auto Known = Endpoints_.extract(Endpoint.Endpoint);
    bool Same = !Known.empty() && Known.mapped().Name == Endpoint.Name;
    auto &Item = Next[Endpoint.Endpoint];
    if (Same)
      Item = std::move(Known.mapped());
    Item.Name = std::move(Endpoint.Name);
    Item.Total = Endpoint.Slots;
    Item.Services = std::move(Endpoint.Services);
  }
  for (const auto &[Index, Gone] : Endpoints_)
    if (Gone.Published > 0)
      Out.emplace_back(SetSlots{Index, 0});
  Endpoints_ = std::move(Next);
  // No VM had the slots of a new endpoint before, so its owner need not wait.
  updateOwnership(Now, core::Duration(0));
  publish(Now, Out);
}

void SlotLender::setPeers(std::vector<LenderPeer> Peers, core::TimePoint Now, SlotActions &Out) {
  bool Changed = Peers.size() != Peers_.size();
  std::map<std::string, LenderPeer> Next;
  for (auto &Peer : Peers) {
    auto Known = Peers_.find(Peer.EntryVm);
    Changed |= Known == Peers_.end() || Known->second.Process != Peer.Process ||
               Known->second.PeerRole != Peer.PeerRole;
    auto Name = Peer.EntryVm;
    Next[Name] = std::move(Peer);
  }
  Peers_ = std::move(Next);
  if (!Changed)
    return;
  bool First = !EarliestOwnership_ && Peers_.contains(OwnName_);
  if (First)
    EarliestOwnership_ = Now + Settings_.InitialDelay;
  updateOwnership(Now, First ? core::Duration(0) : Settings_.TakeoverDelay);
  publish(Now, Out);
}

void SlotLender::updateOwnership(core::TimePoint Now, core::Duration Delay) {
  for (auto &[Index, Item] : Endpoints_) {
    bool Released = Item.ReleasedAt && Now >= *Item.ReleasedAt;
    if (Released)
      Item.OwnedFrom.reset();
    if (designatedOwner(Item.Name) == OwnName_) {
      Item.ReleasedAt.reset();
      if (!Item.OwnedFrom)
        Item.OwnedFrom = std::max(Now + Delay, EarliestOwnership_.value_or(Now));
    } else if (!owns(Item, Now)) {
      Item.OwnedFrom.reset();
    } else if (!Item.ReleasedAt) {
      Item.ReleasedAt = Now + Settings_.ReleaseDelay;
      for (auto &[Borrower, Loan] : Item.Lent)
        Loan.Until = std::min(Loan.Until, *Item.ReleasedAt);
    }
  }
}

bool SlotLender::owns(const EndpointSlots &Item, core::TimePoint Now) const {
  return Item.OwnedFrom && Now >= *Item.OwnedFrom && (!Item.ReleasedAt || Now < *Item.ReleasedAt);
}

std::uint32_t SlotLender::lent(const EndpointSlots &Item, core::TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const auto &[Borrower, Loan] : Item.Lent)
    if (Now < Loan.Until)
      Sum += Loan.Slots;
  return Sum;
}

std::uint32_t SlotLender::borrowedOf(EndpointIndex Endpoint, core::TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const auto &[Owner, Item] : Owners_) {
    auto Held = Item.Held.find(Endpoint);
    if (Now < Item.Until && Held != Item.Held.end())
      Sum += Held->second.Target;
  }
  return Sum;
}

void SlotLender::publish(core::TimePoint Now, SlotActions &Out) {
  for (auto &[Index, Item] : Endpoints_) {
    std::uint32_t Allowed = borrowedOf(Index, Now);
    auto Lent = lent(Item, Now);
    if (owns(Item, Now) && Lent + Item.Withheld < Item.Total)
      Allowed += Item.Total - Lent - Item.Withheld;
    Allowed = std::min(Allowed, Item.Total);
    if (Allowed == Item.Published)
      continue;
    Item.Published = Allowed;
    Out.emplace_back(SetSlots{Index, Allowed});
  }
}

void SlotLender::tick(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out) {
  for (auto &[Index, Item] : Endpoints_) {
    std::erase_if(Item.Lent, [&](auto &Loan) { return Now >= Loan.second.Until; });
    if (Item.ReleasedAt && Now >= *Item.ReleasedAt) {
      Item.OwnedFrom.reset();
      Item.ReleasedAt.reset();
    }
  }
  std::erase_if(Owners_, [&](auto &Item) {
    return Now >= Item.second.Until && !Item.second.Request && Now >= Item.second.NextBorrowAt;
  });
  std::erase_if(Borrowers_, [&](auto &Item) {
    return std::none_of(Peers_.begin(), Peers_.end(),
                        [&](auto &Peer) { return Peer.second.Process.Value == Item.first; });
  });
  computeDeficits(Demand, Now);
  recordUse(Demand, Now);
  returnIdle(Demand, Now);
  returnSurplus(Demand, Now);
  renew(Demand, Now, Out);
  borrowMore(Demand, Now, Out);
  requestReports(Demand, Now, Out);
  offer(Demand, Now, Out);
  recall(Demand, Now, Out);
  applyReservations(Demand, Now);
  publish(Now, Out);
  publishTargets(Now, Out);
}

void SlotLender::recordUse(const SlotDemand &Demand, core::TimePoint Now) {
  for (auto &[Owner, Item] : Owners_)
    for (auto &[Index, Held] : Item.Held) {
      if (Demand.UseOf(Index).Used == 0)
        continue;
      Held.UsedAt = Now;
      Held.EverUsed = true;
      UnusedBorrowBackoff_ = Settings_.UnusedBorrowBackoff;
    }
}

void SlotLender::returnIdle(const SlotDemand &Demand, core::TimePoint Now) {
  if (Demand.WaitingTasks > 0)
    NothingWaitingSince_.reset();
  else if (!NothingWaitingSince_)
    NothingWaitingSince_ = Now;
  bool NothingWaits = NothingWaitingSince_ && Now - *NothingWaitingSince_ >= Settings_.IdleTime;
  for (auto &[Owner, Item] : Owners_)
    for (auto &[Index, Held] : Item.Held) {
      bool Idle = Now - Held.UsedAt >= Settings_.IdleTime;
      if (!Idle && !NothingWaits)
        continue;
      if (Idle)
        backOffIfUnused(Held, Now);
      Held.Target = std::min(Held.Target, Demand.UseOf(Index).Used);
    }
}

void SlotLender::backOffIfUnused(const Borrowed &Held, core::TimePoint Now) {
  if (Held.EverUsed || Held.Target == 0 || Now < NoBorrowUntil_)
    return;
  NoBorrowUntil_ = Now + UnusedBorrowBackoff_;
  UnusedBorrowBackoff_ = std::min(2 * UnusedBorrowBackoff_, Settings_.MaximumUnusedBorrowBackoff);
  for (auto &[Owner, Item] : Owners_)
    Item.ReportAt = Now;
}

std::vector<SlotGrant> SlotLender::kept(const OwnerState &Item, const SlotDemand &Demand) const {
  std::vector<SlotGrant> Result;
  for (const auto &[Index, Held] : Item.Held) {
    auto Kept = std::max(Held.Target, std::min(Demand.UseOf(Index).Used, Held.Slots));
    if (Kept > 0)
      Result.push_back({Index, Kept});
  }
  return Result;
}

void SlotLender::renew(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out) {
  for (auto &[Owner, Item] : Owners_) {
    if (Item.Request || Item.Held.empty() || Now >= Item.Until)
      continue;
    auto Kept = kept(Item, Demand);
    std::uint32_t Before = 0;
    std::uint32_t After = 0;
    for (const auto &[Index, Held] : Item.Held)
      Before += Held.Slots;
    for (const auto &Grant : Kept)
      After += Grant.Slots;
    bool Returns = After < Before && Now >= Item.ReturnAt;
    if (Returns || Now >= Item.RenewAt)
      send(Owner, Item, std::move(Kept), 0, Reporting::WhenDue, Now, Out);
  }
}

void SlotLender::borrowMore(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out) {
  std::uint32_t Requested = 0;
  for (const auto &[Owner, Item] : Owners_)
    if (Item.Request)
      Requested += Item.Request->Wanted;
  while (Demand.WaitingTasks > Demand.FreeSlots + Requested && Now >= NoBorrowUntil_) {
    auto Choice = chooseLender(ownDeficit() - std::min(ownDeficit(), Requested), Now);
    if (Choice.Slots == 0)
      return;
    auto &Item = Owners_[Choice.Peer->Process.Value];
    Item.Owner = Choice.Peer->EntryVm;
    auto Wanted = std::min({Demand.WaitingTasks - Demand.FreeSlots - Requested, Choice.Slots,
                            Settings_.MaximumWanted});
    send(Choice.Peer->Process.Value, Item, kept(Item, Demand), Wanted, Reporting::Always, Now, Out);
    Requested += Wanted;
  }
}

SlotLender::Choice SlotLender::chooseLender(std::uint32_t Deficit, core::TimePoint Now) const {
  Choice Best;
  for (const auto &[Name, Peer] : Peers_) {
    auto Known = Owners_.find(Peer.Process.Value);
    bool Pausing =
        Known != Owners_.end() && (Known->second.Request || Now < Known->second.NextBorrowAt);
    if (Name == OwnName_ || Peer.PeerRole == LenderPeer::Role::Stopping || Pausing)
      continue;
    auto Slots = std::min(Deficit, surplusOf(Peer.Process.Value));
    auto Report = Reports_.find(Peer.Process.Value);
    bool Fresh = Report != Reports_.end() && Now - Report->second.At < Settings_.FreshReport;
    auto FreeByHeartbeat = Peer.WaitingTasks > 0 ? 0 : Peer.FreeSlots;
    Slots = std::max(Slots, Fresh ? idleIn(Report->second.Demand) : FreeByHeartbeat);
    // Fractions of a slot at several peers may add up to the slot that is lacking here.
    if (Slots == 0 && Deficit > 0 && peerMayLendOne(Peer.Process.Value))
      Slots = 1;
    if (Slots > Best.Slots)
      Best = {&Peer, Slots};
  }
  return Best;
}

void SlotLender::send(std::uint64_t Owner, OwnerState &Item, std::vector<SlotGrant> Kept,
                      std::uint32_t Wanted, Reporting When, core::TimePoint Now, SlotActions &Out) {
  Item.Request = {++LastSequence_, Wanted, Now};
  Item.RenewAt = Now + Settings_.RenewInterval;
  Item.ReturnAt = Now + Settings_.ReturnInterval;
  BorrowRequest Request{Own_, LastSequence_, std::move(Kept), Wanted, {}, {}};
  if (When == Reporting::Always || Now >= Item.ReportAt) {
    Item.ReportAt = Now + Settings_.MinimumReportInterval;
    Request.Demand = report(Now);
  }
  if (Wanted > 0)
    Request.Services = WantedServices_;
  Out.emplace_back(SendBorrow{Item.Owner, {Owner}, std::move(Request)});
}

void SlotLender::borrowReplied(Incarnation Owner, std::uint64_t Sequence, const BorrowReply &Reply,
                               core::TimePoint Now, SlotActions &Out) {
  auto Found = Owners_.find(Owner.Value);
  if (Found == Owners_.end() || !Found->second.Request ||
      Found->second.Request->Sequence != Sequence)
    return;
  auto &Item = Found->second;
  auto Request = *std::exchange(Item.Request, std::nullopt);
  std::map<EndpointIndex, Borrowed> Next;
  std::uint32_t Gained = 0;
  for (const auto &Grant : Reply.Grants) {
    if (Grant.Slots == 0)
      continue;
    auto Known = Item.Held.find(Grant.Endpoint);
    Borrowed Held = Known == Item.Held.end() ? Borrowed{.UsedAt = Now} : Known->second;
    auto New = Grant.Slots > Held.Slots ? Grant.Slots - Held.Slots : 0;
    Gained += New;
    Held.Slots = Grant.Slots;
    Held.Target = std::min(Held.Target + New, Grant.Slots);
    Next[Grant.Endpoint] = Held;
  }
  Item.Held = std::move(Next);
  Item.Until = Request.SentAt + Reply.Lease;
  recordReport(Owner, Reply.Demand, Now);
  if (Reply.ReservedSlots > 0)
    Item.NextBorrowAt = Now + Settings_.ReservationRetryDelay;
  else if (Request.Wanted > Gained)
    Item.NextBorrowAt = Now + Settings_.RefusalBackoff;
  publish(Now, Out);
}

void SlotLender::borrowFailed(Incarnation Owner, std::uint64_t Sequence, core::TimePoint Now) {
  auto Found = Owners_.find(Owner.Value);
  if (Found == Owners_.end() || !Found->second.Request ||
      Found->second.Request->Sequence != Sequence)
    return;
  Found->second.Request.reset();
  Found->second.RenewAt = Now + Settings_.RetryInterval;
  Found->second.NextBorrowAt = Now + Settings_.RefusalBackoff;
}

void SlotLender::recalled(Incarnation Owner, std::span<const SlotGrant> Wanted, core::TimePoint Now,
                          SlotActions &Out) {
  auto Found = Owners_.find(Owner.Value);
  if (Found == Owners_.end())
    return;
  for (const auto &Grant : Wanted) {
    auto Held = Found->second.Held.find(Grant.Endpoint);
    if (Held == Found->second.Held.end())
      continue;
    // Counted from the leased slots, so that a repeated recall has no further effect.
    auto Left = Held->second.Slots - std::min(Grant.Slots, Held->second.Slots);
    Held->second.Target = std::min(Held->second.Target, Left);
  }
  Found->second.NextBorrowAt = Now + Settings_.RefusalBackoff;
  publish(Now, Out);
}

} // namespace cornellift::kernel
