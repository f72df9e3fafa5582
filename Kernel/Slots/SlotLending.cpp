// The owner's side of the SlotLender: granting and recalling.
#include "Kernel/Slots/SlotLender.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>

namespace cornellift::kernel {

std::uint32_t SlotLender::lendable(const Slots &Item, EndpointIndex Endpoint,
                                   const SlotDemand &Demand, core::TimePoint Now) const {
  if (!owns(Item, Now))
    return 0;
  auto Use = Demand.UseOf(Endpoint);
  auto Taken = lent(Item, Now) + Use.Used;
  return Taken >= Item.Total ? 0 : std::min(Item.Total - Taken, Use.Free);
}

core::TimePoint SlotLender::leaseEnd(const Slots &Item, core::TimePoint Now) const {
  auto End = Now + Settings_.Lease;
  return Item.ReleasedAt ? std::min(End, *Item.ReleasedAt) : End;
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

  std::map<EndpointIndex, std::uint32_t> Granted;
  for (auto &[Index, Item] : Endpoints_)
    if (auto Loan = Item.Lent.find(Request.Borrower.Value); Loan != Item.Lent.end()) {
      Granted[Index] = Now < Loan->second.Until ? Loan->second.Slots : 0;
      Item.Lent.erase(Loan);
    }
  std::map<EndpointIndex, std::uint32_t> Next;
  for (const auto &Kept : Request.Kept) {
    auto Item = Endpoints_.find(Kept.Endpoint);
    if (Item == Endpoints_.end() || !owns(Item->second, Now))
      continue;
    // What the borrower keeps beyond the record, as after an expiry here, is granted when idle.
    auto Idle =
        std::max(Granted[Kept.Endpoint], lendable(Item->second, Kept.Endpoint, Demand, Now));
    auto Slots = std::min({Kept.Slots, Idle, Item->second.Total - lent(Item->second, Now)});
    if (Slots == 0)
      continue;
    Next[Kept.Endpoint] = Slots;
    Item->second.Lent[Request.Borrower.Value] = {Slots, leaseEnd(Item->second, Now)};
  }
  auto Wanted = Demand.WaitingTasks > 0 ? 0 : std::min(Request.Wanted, Demand.FreeSlots);
  for (auto &[Index, Item] : Endpoints_) {
    if (Wanted == 0)
      break;
    auto Slots = std::min(Wanted, lendable(Item, Index, Demand, Now));
    if (Slots == 0)
      continue;
    Wanted -= Slots;
    Next[Index] += Slots;
    Item.Lent[Request.Borrower.Value] = {Next[Index], leaseEnd(Item, Now)};
  }
  publish(Now, Out);
  BorrowReply Reply{.Lease = Settings_.Lease};
  for (const auto &[Index, Slots] : Next) {
    Reply.Grants.push_back({Index, Slots});
    Reply.Lease = std::min(Reply.Lease, leaseEnd(Endpoints_[Index], Now) - Now);
  }
  return Reply;
}

void SlotLender::recall(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out) {
  if (Demand.WaitingTasks <= Demand.FreeSlots)
    return;
  auto Missing = Demand.WaitingTasks - Demand.FreeSlots;
  std::map<std::uint64_t, std::vector<SlotGrant>> Wanted;
  for (auto &[Index, Item] : Endpoints_)
    for (auto &[Borrower, Loan] : Item.Lent) {
      if (Missing == 0)
        break;
      auto Slots = std::min(Missing, Loan.Slots);
      Missing -= Slots;
      Wanted[Borrower].push_back({Index, Slots});
    }
  for (auto &[Name, Peer] : Peers_) {
    auto Found = Wanted.find(Peer.Process.Value);
    auto &Borrower = Borrowers_[Peer.Process.Value];
    if (Found == Wanted.end() || Now < Borrower.RecallAt)
      continue;
    Borrower.RecallAt = Now + Settings_.RecallInterval;
    Out.emplace_back(SendRecall{Name, Peer.Process, std::move(Found->second)});
  }
}

} // namespace cornellift::kernel
