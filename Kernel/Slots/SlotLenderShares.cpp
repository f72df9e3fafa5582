// The part of SlotLender that balances slots by team: exchanges reports, computes the surplus and
// deficit of each VM, and reserves, offers and returns slots accordingly.
#include "Kernel/Slots/SlotLender.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

std::uint32_t wholeSlots(double Value) {
  // Targets are sums of fractions.
  constexpr double Rounding = 1e-6;
  return Value <= 0 ? 0 : static_cast<std::uint32_t>(Value + Rounding);
}

/// Returns whether the VM lacks at least one slot and at least half of its target.
bool lacksHalfOfTarget(double Deficit, const VmDemand &Demand) {
  return Deficit >= std::max(1U, Demand.Held);
}

} // namespace

std::uint32_t SlotLender::idleIn(const VmDemand &Demand) {
  std::uint64_t Tasks = 0;
  for (const auto &Team : Demand.Teams)
    Tasks += Team.Tasks;
  return Tasks >= Demand.Held ? 0 : static_cast<std::uint32_t>(Demand.Held - Tasks);
}

VmDemand SlotLender::ownDemand(const SlotDemand &Demand, core::TimePoint Now) const {
  VmDemand Result;
  std::uint32_t Used = 0;
  for (const auto &[Index, Item] : Endpoints_) {
    auto Use = Demand.UseOf(Index);
    Used += Use.Used;
    Result.Held += Use.Used + (owns(Item, Now) ? idle(Item, Index, Demand, Now) : Use.Free);
  }
  Result.Teams = Demand.Teams;
  // A scheduler that does not report teams has a single one.
  if (Result.Teams.empty() && Used + Demand.WaitingTasks > 0)
    Result.Teams.push_back({TeamIndex{}, Used + Demand.WaitingTasks});
  return Result;
}

VmDemand SlotLender::report(core::TimePoint Now) const {
  auto Result = OwnDemand_;
  if (Now >= NoBorrowUntil_)
    return Result;
  // The waiting tasks did not run on borrowed slots, so peers should not offer more of them.
  auto Left = Result.Held;
  for (auto &Team : Result.Teams) {
    Team.Tasks = std::min(Team.Tasks, Left);
    Left -= Team.Tasks;
  }
  return Result;
}

void SlotLender::recordReport(Incarnation Peer, const std::optional<VmDemand> &Demand,
                              core::TimePoint Now) {
  if (Demand)
    Reports_[Peer.Value] = {*Demand, Now};
}

void SlotLender::correctReport(Incarnation Peer, std::uint32_t Got, std::uint32_t GaveBack) {
  auto Found = Reports_.find(Peer.Value);
  if (Found == Reports_.end())
    return;
  auto &Held = Found->second.Demand.Held;
  Held += Got;
  Held -= std::min(Held, GaveBack);
}

void SlotLender::computeDeficits(const SlotDemand &Demand, core::TimePoint Now) {
  std::erase_if(Reports_, [&](auto &Item) {
    return Now - Item.second.At > Settings_.ReportLifetime ||
           std::none_of(Peers_.begin(), Peers_.end(),
                        [&](auto &Peer) { return Peer.second.Process.Value == Item.first; });
  });
  Deficits_.clear();
  PeerDeficit_ = 0;
  OwnDemand_ = ownDemand(Demand, Now);
  WantedServices_ = Demand.Services;
  std::vector<const VmDemand *> Vms{&OwnDemand_};
  for (const auto &[Process, Report] : Reports_)
    Vms.push_back(&Report.Demand);
  MaxMinAllocation Allocation(Shares_, Vms);
  auto Balance = [&](std::size_t Vm) { return Allocation.target(Vm) - Vms[Vm]->Held; };
  OwnDeficit_ = Balance(0);
  std::size_t Position = 1;
  for (const auto &[Process, Report] : Reports_) {
    auto Deficit = Balance(Position++);
    Deficits_[Process] = Deficit;
    // Fractions of a slot are ignored; otherwise, the slot would move back and forth.
    PeerDeficit_ += wholeSlots(Deficit);
  }
  TeamTargets_ = Reports_.empty() || !Allocation.isContended() ? std::vector<double>()
                                                               : Allocation.teamTargets(0);
}

std::uint32_t SlotLender::surplusOf(std::uint64_t Process) const {
  auto Found = Deficits_.find(Process);
  return Found == Deficits_.end() ? 0 : wholeSlots(-Found->second);
}

bool SlotLender::peerMayLendOne(std::uint64_t Process) const {
  auto Found = Deficits_.find(Process);
  return lacksHalfOfTarget(OwnDeficit_, OwnDemand_) && Found != Deficits_.end() &&
         Found->second + 1 <= OwnDeficit_;
}

bool SlotLender::peerMayBorrowOne(std::uint64_t Process) const {
  auto Found = Deficits_.find(Process);
  return Found != Deficits_.end() &&
         lacksHalfOfTarget(Found->second, Reports_.at(Process).Demand) &&
         OwnDeficit_ + 1 <= Found->second;
}

std::uint32_t SlotLender::ownSurplus() const { return wholeSlots(-OwnDeficit_); }

std::uint32_t SlotLender::ownDeficit() const { return wholeSlots(OwnDeficit_); }

void SlotLender::applyReservations(const SlotDemand &Demand, core::TimePoint Now) {
  std::erase_if(Reservations_, [&](auto &Item) { return Now >= Item.second.Until; });
  std::uint32_t Reserved = 0;
  for (const auto &[Borrower, Reservation] : Reservations_)
    Reserved += Reservation.Slots;
  std::uint32_t Ready = 0;
  for (auto &[Index, Item] : Endpoints_) {
    Item.Withheld = 0;
    if (Reserved == 0)
      continue;
    Item.Withheld = std::min(Reserved - Ready, idle(Item, Index, Demand, Now));
    Ready += Item.Withheld;
  }
  // Until enough slots are idle, slots that become idle get no new tasks. The limit is one below
  // the slots in use, because a task may start at the time at which another one ends.
  if (Ready < Reserved)
    for (auto &[Index, Item] : Endpoints_)
      if (owns(Item, Now) && Demand.UseOf(Index).Used > 0)
        ++Item.Withheld;
}

std::uint32_t SlotLender::reservedForOthers(std::uint64_t Borrower) const {
  std::uint32_t Sum = 0;
  for (const auto &[Other, Reservation] : Reservations_)
    Sum += Other == Borrower ? 0 : Reservation.Slots;
  return Sum;
}

void SlotLender::returnSurplus(const SlotDemand &Demand, core::TimePoint Now) {
  auto Surplus = std::min(ownSurplus(), PeerDeficit_);
  std::vector<std::pair<double, Borrowed *>> Slowest;
  for (auto &[Owner, Item] : Owners_)
    for (auto &[Index, Held] : Item.Held) {
      Surplus -= std::min(Surplus, Held.Slots - Held.Target);
      if (Now < Item.Until && Held.Target > 0)
        Slowest.emplace_back(Demand.UseOf(Index).LogSpeed, &Held);
    }
  if (Surplus == 0)
    return;
  std::stable_sort(Slowest.begin(), Slowest.end(),
                   [](const auto &Left, const auto &Right) { return Left.first < Right.first; });
  for (auto &[Speed, Held] : Slowest) {
    auto Slots = std::min(Surplus, Held->Target);
    Held->Target -= Slots;
    Surplus -= Slots;
  }
}

void SlotLender::requestReports(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out) {
  if (Demand.WaitingTasks == 0 || Demand.FreeSlots > 0)
    return;
  for (const auto &[Name, Peer] : Peers_) {
    // One VM of a pair sends a request first, which reports as much to the other one as a reply
    // would.
    auto Interval = Settings_.ReportInterval * (Name < OwnName_ ? 5 : 4) / 4;
    auto Known = Reports_.find(Peer.Process.Value);
    bool Fresh = Known != Reports_.end() && Now - Known->second.At < Interval;
    if (Name == OwnName_ || Fresh)
      continue;
    auto &Item = Owners_[Peer.Process.Value];
    if (Item.Request || Now < Item.RenewAt)
      continue;
    Item.Owner = Name;
    send(Peer.Process.Value, Item, kept(Item, Demand), 0, Reporting::Always, Now, Out);
  }
}

void SlotLender::offer(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out) {
  if (Demand.WaitingTasks >= Demand.FreeSlots || Now < NextOffer_)
    return;
  const LenderPeer *Recipient = nullptr;
  double Most = 0;
  for (const auto &[Name, Peer] : Peers_) {
    auto Deficit = Deficits_.find(Peer.Process.Value);
    if (Deficit == Deficits_.end() || Deficit->second <= Most ||
        Owners_[Peer.Process.Value].Request)
      continue;
    Recipient = &Peer;
    Most = Deficit->second;
  }
  if (!Recipient)
    return;
  NextOffer_ = Now + Settings_.OfferInterval;
  auto &Item = Owners_[Recipient->Process.Value];
  Item.Owner = Recipient->EntryVm;
  send(Recipient->Process.Value, Item, kept(Item, Demand), 0, Reporting::Always, Now, Out);
}

void SlotLender::publishTargets(core::TimePoint Now, SlotActions &Out) {
  bool Ends = TeamTargets_.empty() && !PublishedTargets_.empty();
  if (TeamTargets_ == PublishedTargets_ || (!Ends && Now < NextTargets_))
    return;
  NextTargets_ = Now + Settings_.TargetInterval;
  PublishedTargets_ = TeamTargets_;
  Out.emplace_back(SetTeamTargets{TeamTargets_});
}

} // namespace cornellift::kernel
