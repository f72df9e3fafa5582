// The owner's side of the SlotLender: granting and recalling.
#include "Kernel/Slots/SlotLender.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

bool offersOneOf(const std::vector<ServiceIndex> &Offered,
                 const std::vector<ServiceIndex> &Wanted) {
  return Wanted.empty() || Offered.empty() ||
         std::any_of(Wanted.begin(), Wanted.end(), [&](ServiceIndex Service) {
           return std::find(Offered.begin(), Offered.end(), Service) != Offered.end();
         });
}

} // namespace

std::uint32_t SlotLender::idle(const Slots &Item, EndpointIndex Endpoint, const SlotDemand &Demand,
                               core::TimePoint Now) const {
  if (!owns(Item, Now))
    return 0;
  auto Use = Demand.UseOf(Endpoint);
  auto Taken = lent(Item, Now) + Use.Used;
  return Taken >= Item.Total ? 0 : std::min(Item.Total - Taken, Use.AdditionalCapacity);
}

core::TimePoint SlotLender::leaseEnd(const Slots &Item, core::TimePoint Now) const {
  auto End = Now + Settings_.Lease;
  return Item.ReleasedAt ? std::min(End, *Item.ReleasedAt) : End;
}

std::uint32_t SlotLender::renewLoans(const BorrowRequest &Request, const SlotDemand &Demand,
                                     core::TimePoint Now,
                                     std::map<EndpointIndex, std::uint32_t> &Next) {
  std::map<EndpointIndex, std::uint32_t> Granted;
  std::uint32_t Returned = 0;
  for (auto &[Index, Item] : Endpoints_)
    if (auto Loan = Item.Lent.find(Request.Borrower.Value); Loan != Item.Lent.end()) {
      Granted[Index] = Now < Loan->second.Until ? Loan->second.Slots : 0;
      Returned += Granted[Index];
      Item.Lent.erase(Loan);
    }
  for (const auto &Kept : Request.Kept) {
    auto Item = Endpoints_.find(Kept.Endpoint);
    if (Item == Endpoints_.end() || !owns(Item->second, Now))
      continue;
    // What the borrower keeps beyond the record, as after an expiry here, is granted when idle.
    auto Idle = std::max(Granted[Kept.Endpoint], idle(Item->second, Kept.Endpoint, Demand, Now));
    auto Slots = std::min({Kept.Slots, Idle, Item->second.Total - lent(Item->second, Now)});
    if (Slots == 0)
      continue;
    Next[Kept.Endpoint] = Slots;
    Returned -= std::min(Returned, Slots);
    Item->second.Lent[Request.Borrower.Value] = {Slots, leaseEnd(Item->second, Now)};
  }
  return Returned;
}

std::uint32_t SlotLender::grant(const BorrowRequest &Request, std::uint32_t Wanted,
                                const SlotDemand &Demand, core::TimePoint Now,
                                std::map<EndpointIndex, std::uint32_t> &Next) {
  std::vector<std::pair<double, EndpointIndex>> Fastest;
  for (const auto &[Index, Item] : Endpoints_)
    if (offersOneOf(Item.Services, Request.Services) && idle(Item, Index, Demand, Now) > 0)
      Fastest.emplace_back(-Demand.UseOf(Index).LogSpeed, Index);
  std::sort(Fastest.begin(), Fastest.end());
  auto Left = Wanted;
  for (const auto &[Speed, Index] : Fastest) {
    if (Left == 0)
      break;
    auto &Item = Endpoints_[Index];
    auto Slots = std::min(Left, idle(Item, Index, Demand, Now));
    Left -= Slots;
    Next[Index] += Slots;
    Item.Lent[Request.Borrower.Value] = {Next[Index], leaseEnd(Item, Now)};
  }
  return Wanted - Left;
}

std::optional<BorrowReply> SlotLender::lend(const BorrowRequest &Request, const SlotDemand &Demand,
                                            core::TimePoint Now, SlotActions &Out) {
  bool Known = std::any_of(Peers_.begin(), Peers_.end(),
                           [&](auto &Peer) { return Peer.second.Process == Request.Borrower; });
  if (!Known)
    return core::fail(core::ErrorKind::NotFound,
                      "the borrower is not a live member here; ask again after the next heartbeat");
  auto &Borrower = Borrowers_[Request.Borrower.Value];
  if (Request.Sequence <= Borrower.LastSequence)
    return core::fail(core::ErrorKind::Expired, "the borrower has sent a later request; drop this");
  Borrower.LastSequence = Request.Sequence;

  std::map<EndpointIndex, std::uint32_t> Next;
  auto Returned = renewLoans(Request, Demand, Now, Next);
  correctReport(Request.Borrower, 0, Returned);
  recordReport(Request.Borrower, Request.Demand, Now);
  computeDeficits(Demand, Now);
  // A refusal before counts no more.
  if (auto OwnerState = Owners_.find(Request.Borrower.Value);
      OwnerState != Owners_.end() && surplusOf(Request.Borrower.Value) > 0)
    OwnerState->second.NextBorrowAt = Now;
  auto Surplus = std::max(ownSurplus(), peerMayBorrowOne(Request.Borrower.Value) ? 1U : 0U);
  Surplus -= std::min(Surplus, reservedForOthers(Request.Borrower.Value));
  auto Wanted = std::min(Request.Wanted, Surplus);
  auto Granted = grant(Request, Wanted, Demand, Now, Next);
  correctReport(Request.Borrower, Granted, 0);
  auto Reply = std::make_optional<BorrowReply>();
  Reply->Lease = Settings_.Lease;
  Reply->ReservedSlots = Wanted - Granted;
  if (Request.Demand) {
    // As after the grant.
    OwnDemand_.Held -= std::min(OwnDemand_.Held, Granted);
    Reply->Demand = report(Now);
  }
  if (Request.Wanted > 0)
    Reservations_.erase(Request.Borrower.Value);
  if (Reply->ReservedSlots > 0)
    Reservations_[Request.Borrower.Value] = {Reply->ReservedSlots, Now + Settings_.ReservationTime};
  applyReservations(Demand, Now);
  publish(Now, Out);
  for (const auto &[Index, Slots] : Next) {
    Reply->Grants.push_back({Index, Slots});
    Reply->Lease = std::min(Reply->Lease, leaseEnd(Endpoints_[Index], Now) - Now);
  }
  return Reply;
}

void SlotLender::recall(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out) {
  if (Demand.WaitingTasks <= Demand.FreeSlots)
    return;
  auto Missing = Demand.WaitingTasks - Demand.FreeSlots;
  // The own part is not known while a borrower's demand is not.
  bool AllReported = true;
  for (const auto &[Index, Item] : Endpoints_)
    for (const auto &[Borrower, Loan] : Item.Lent)
      AllReported = AllReported && Reports_.contains(Borrower);
  if (AllReported)
    Missing = std::min(Missing, ownDeficit());
  std::map<std::uint64_t, std::uint32_t> Surplus;
  for (const auto &[Process, Deficit] : Deficits_)
    Surplus[Process] = surplusOf(Process);
  std::map<std::uint64_t, std::map<EndpointIndex, std::uint32_t>> Wanted;
  auto Take = [&](EndpointIndex Index, std::uint64_t Borrower, std::uint32_t Most) {
    auto &Taken = Wanted[Borrower][Index];
    auto Slots = std::min(Missing, Most - std::min(Most, Taken));
    Missing -= Slots;
    Taken += Slots;
    return Slots;
  };
  // First from those that hold more than their part, then from any.
  for (auto &[Index, Item] : Endpoints_)
    for (auto &[Borrower, Loan] : Item.Lent)
      Surplus[Borrower] -= Take(Index, Borrower, std::min(Loan.Slots, Surplus[Borrower]));
  for (auto &[Index, Item] : Endpoints_)
    for (auto &[Borrower, Loan] : Item.Lent)
      Take(Index, Borrower, Loan.Slots);
  for (auto &[Name, Peer] : Peers_) {
    auto &Borrower = Borrowers_[Peer.Process.Value];
    std::vector<SlotGrant> Recalled;
    for (const auto &[Index, Slots] : Wanted[Peer.Process.Value])
      if (Slots > 0)
        Recalled.push_back({Index, Slots});
    if (Recalled.empty() || Now < Borrower.RecallAt)
      continue;
    Borrower.RecallAt = Now + Settings_.RecallInterval;
    Out.emplace_back(SendRecall{Name, Peer.Process, std::move(Recalled)});
  }
}

} // namespace cornellift::kernel
