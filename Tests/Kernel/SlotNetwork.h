#pragma once

#include "Kernel/Slots/SlotLender.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornellift::kernel::testing {

/// Entry VMs of one data centre that lend slots to each other, on a virtual clock. Each VM runs its
/// waiting tasks, which all take the same time, on any slot that it may use.
class SlotNetwork {
public:
  struct Vm {
    std::unique_ptr<SlotLender> Lender;
    std::map<EndpointIndex, std::uint32_t> Allowed{};
    std::map<EndpointIndex, std::vector<core::TimePoint>> Running{};
    std::uint32_t Waiting = 0;
    TeamIndex Team{}; ///< Team of all its tasks.
    bool Up = true;
    bool Stopping = false;

    std::uint32_t free() const {
      std::uint32_t Sum = 0;
      for (const auto &[Index, Slots] : Allowed)
        Sum += usage(Index).Free;
      return Sum;
    }
    EndpointUsage usage(EndpointIndex Index) const {
      auto Busy = Running.find(Index);
      auto Used = Busy == Running.end() ? 0U : static_cast<std::uint32_t>(Busy->second.size());
      auto Slots = Allowed.find(Index) == Allowed.end() ? 0U : Allowed.at(Index);
      return {Used, Slots > Used ? Slots - Used : 0, SlotsPerEndpoint - Used};
    }
  };

  static constexpr std::uint32_t SlotsPerEndpoint = 8;
  static constexpr core::Duration Latency = std::chrono::milliseconds(1);

  SlotNetwork(int VmCount, std::uint32_t EndpointCount) : EndpointCount_(EndpointCount) {
    for (int Number = 1; Number <= VmCount; ++Number)
      start("vm-" + std::to_string(Number));
    runFor(std::chrono::milliseconds(2500));
  }

  void start(const std::string &Name) {
    auto &Item = Vms[Name];
    Item = {.Lender = std::make_unique<SlotLender>(Name, process(Name), SlotLenderSettings{})};
    std::vector<LenderEndpoint> Endpoints;
    for (std::uint32_t Index = 0; Index < EndpointCount_; ++Index)
      Endpoints.push_back(
          {EndpointIndex(Index), "worker-" + std::to_string(Index), SlotsPerEndpoint});
    SlotActions Out;
    Item.Lender->setShares({1, 1});
    Item.Lender->setEndpoints(Endpoints, Now, Out);
    perform(Name, Out);
  }

  void runFor(core::Duration Span) {
    for (auto End = Now + Span; Now < End; Now += Latency) {
      while (!Queue_.empty() && Queue_.begin()->first <= Now) {
        auto Next = Queue_.extract(Queue_.begin());
        Next.mapped()();
      }
      if (Now < NextStep_)
        continue;
      NextStep_ = Now + StepInterval;
      for (auto &[Name, Item] : Vms)
        if (Item.Up)
          step(Name, Item);
      checkOverlap();
    }
  }

  /// Slots that the VMs may use now, summed over all endpoints.
  std::uint32_t allowedInAll() const {
    std::uint32_t Sum = 0;
    for (const auto &[Name, Item] : Vms)
      for (const auto &[Index, Slots] : Item.Allowed)
        Sum += Item.Up ? Slots : 0;
    return Sum;
  }

  std::uint32_t ownedBy(const std::string &Name) const {
    std::uint32_t Sum = 0;
    for (std::uint32_t Index = 0; Index < EndpointCount_; ++Index)
      if (Vms.at(Name).Lender->designatedOwner("worker-" + std::to_string(Index)) == Name)
        Sum += SlotsPerEndpoint;
    return Sum;
  }

  std::uint32_t allowed(const std::string &Name) const {
    std::uint32_t Sum = 0;
    for (const auto &[Index, Slots] : Vms.at(Name).Allowed)
      Sum += Slots;
    return Sum;
  }

  static Incarnation process(const std::string &Name) { return {std::hash<std::string>()(Name)}; }

  core::TimePoint Now{std::chrono::seconds(100)};
  std::map<std::string, Vm> Vms;
  /// Returns whether the first VM considers the second one live and ready.
  std::function<bool(const std::string &, const std::string &)> Sees = [this](auto &, auto &Name) {
    return Vms.at(Name).Up;
  };
  std::function<bool(const std::string &, const std::string &)> Lost = [](auto &, auto &) {
    return false;
  };
  core::Duration TaskTime = std::chrono::milliseconds(100);
  std::uint64_t Messages = 0;
  std::uint64_t Started = 0;
  /// Time during which the VMs together could use more slots of some endpoint than it has.
  core::Duration OverlapTime{0};

private:
  void step(const std::string &Name, Vm &Item) {
    std::vector<LenderPeer> Peers;
    for (auto &[Other, Peer] : Vms)
      if (Sees(Name, Other))
        Peers.push_back({Other, process(Other), Peer.Waiting, Peer.free(),
                         Peer.Stopping ? LenderPeer::Role::Stopping : LenderPeer::Role::Owner});
    SlotActions Out;
    Item.Lender->setPeers(Peers, Now, Out);
    perform(Name, Out);
    for (auto &[Index, Ends] : Item.Running)
      std::erase_if(Ends, [&](auto End) { return Now >= End; });
    for (auto &[Index, Slots] : Item.Allowed)
      while (Item.Waiting > 0 && item(Item, Index).Free > 0 && Runnable) {
        --Item.Waiting;
        ++Started;
        Item.Running[Index].push_back(Now + TaskTime);
      }
    Out.clear();
    Item.Lender->tick(demand(Item), Now, Out);
    perform(Name, Out);
  }

  static EndpointUsage item(const Vm &Item, EndpointIndex Index) { return Item.usage(Index); }

  static SlotDemand demand(const Vm &Item) {
    SlotDemand Result{Item.Waiting, Item.free(),
                      [&Item](EndpointIndex Index) { return Item.usage(Index); }};
    std::uint32_t Tasks = Item.Waiting;
    for (const auto &[Index, Ends] : Item.Running)
      Tasks += static_cast<std::uint32_t>(Ends.size());
    if (Tasks > 0)
      Result.Teams.push_back({Item.Team, Tasks});
    return Result;
  }

  void perform(const std::string &Name, const SlotActions &Actions) {
    for (const auto &Action : Actions) {
      if (const auto *Set = std::get_if<SetSlots>(&Action))
        Vms.at(Name).Allowed[Set->Endpoint] = Set->Slots;
      else if (const auto *Borrow = std::get_if<SendBorrow>(&Action))
        borrow(Name, *Borrow);
      else if (const auto *Recall = std::get_if<SendRecall>(&Action))
        recall(Name, *Recall);
    }
  }

  void borrow(const std::string &Name, const SendBorrow &Call) {
    ++Messages;
    Queue_.emplace(Now + Latency, [=, this] {
      auto &Owner = Vms.at(Call.Owner);
      std::optional<BorrowReply> Reply;
      SlotActions Out;
      if (Owner.Up && !Lost(Name, Call.Owner))
        Reply = Owner.Lender->lend(Call.Request, demand(Owner), Now, Out);
      perform(Call.Owner, Out);
      bool Arrives = Reply && !Lost(Call.Owner, Name);
      // A lost message is noticed as a failure at the deadline of the call.
      auto At = Arrives ? Now + Latency : Now + std::chrono::milliseconds(300);
      Queue_.emplace(At, [=, this] {
        SlotActions Next;
        auto &Lender = *Vms.at(Name).Lender;
        if (Arrives)
          Lender.borrowReplied(Call.Process, Call.Request.Sequence, *Reply, Now, Next);
        else
          Lender.borrowFailed(Call.Process, Call.Request.Sequence, Now);
        perform(Name, Next);
      });
    });
  }

  void recall(const std::string &Name, const SendRecall &Call) {
    ++Messages;
    Queue_.emplace(Now + Latency, [=, this] {
      if (!Vms.at(Call.Borrower).Up || Lost(Name, Call.Borrower))
        return;
      SlotActions Out;
      Vms.at(Call.Borrower).Lender->recalled(process(Name), Call.Wanted, Now, Out);
      perform(Call.Borrower, Out);
    });
  }

  void checkOverlap() {
    for (std::uint32_t Index = 0; Index < EndpointCount_; ++Index) {
      std::uint32_t Sum = 0;
      for (auto &[Name, Item] : Vms)
        if (Item.Up)
          Sum += Item.Allowed[EndpointIndex(Index)];
      if (Sum <= SlotsPerEndpoint)
        continue;
      OverlapTime += StepInterval;
      return;
    }
  }

public:
  bool Runnable = true; ///< False when no endpoint accepts the waiting tasks.

private:
  static constexpr core::Duration StepInterval = std::chrono::milliseconds(10);
  core::TimePoint NextStep_;
  std::uint32_t EndpointCount_;
  std::multimap<core::TimePoint, std::function<void()>> Queue_;
};

} // namespace cornellift::kernel::testing
