#include "Utilities/Replay/SlotExchange.h"

#include <algorithm>

namespace cornellift::replay {
namespace {

/// Borrowed slots go home after their VM has had free slots for this long.
constexpr core::Duration IdleBeforeReturn = std::chrono::milliseconds(50);
/// Slots of one loan.
constexpr std::uint32_t LargestLoan = 64;

} // namespace

SlotExchange::SlotExchange(EventQueue &Clock, const Trace &Input,
                           std::span<std::unique_ptr<SimulatedVm>> Vms, MessageCounts &Messages)
    : Clock_(Clock), Input_(Input), Vms_(Vms), Messages_(Messages), Homes_(Input.Workers.size()),
      InFlight_(Input.Workers.size()), Asking_(Vms.size()), IdleSince_(Vms.size()) {}

void SlotExchange::assignHomes() {
  std::vector<std::uint32_t> Alive;
  for (const auto &Vm : Vms_)
    if (Vm->IsAlive)
      Alive.push_back(Vm->index());
  for (std::uint32_t Worker = 0; Worker < Homes_.size(); ++Worker)
    if (!HasHomes_ || !home(Worker).IsAlive)
      Homes_[Worker] = Alive[Worker % Alive.size()];
  HasHomes_ = true;
  settle();
}

void SlotExchange::settle() {
  for (std::uint32_t Worker = 0; Worker < Homes_.size(); ++Worker) {
    if (!home(Worker).IsAlive)
      continue;
    auto Taken = InFlight_[Worker];
    for (const auto &Vm : Vms_)
      if (Vm->IsAlive && Vm.get() != &home(Worker))
        Taken += std::max(Vm->slots(Worker), Vm->inUse(Worker));
    auto Slots = Input_.Workers[Worker].Slots;
    home(Worker).setSlots(Worker, Slots - std::min(Slots, Taken));
  }
}

SimulatedVm *SlotExchange::lenderFor(const SimulatedVm &Borrower) {
  SimulatedVm *Best = nullptr;
  std::uint32_t MostFree = 0;
  for (const auto &Vm : Vms_) {
    if (!Vm->IsAlive || Vm->index() == Borrower.index())
      continue;
    auto Load = Vm->load();
    if (Load.WaitingTasks > 0 || Load.FreeSlots <= MostFree)
      continue;
    MostFree = Load.FreeSlots;
    Best = Vm.get();
  }
  return Best;
}

void SlotExchange::borrow(SimulatedVm &Borrower, std::uint32_t Wanted) {
  auto *Lender = lenderFor(Borrower);
  if (!Lender)
    return;
  ++Asking_[Borrower.index()];
  Messages_.SlotExchange += 2;
  Clock_.after(core::fromMilliseconds(Input_.OneWay), [this, Lender, &Borrower, Wanted] {
    --Asking_[Borrower.index()];
    if (Lender->IsAlive)
      lend(*Lender, Borrower, Wanted);
  });
}

void SlotExchange::lend(SimulatedVm &Lender, SimulatedVm &Borrower, std::uint32_t Wanted) {
  auto Left = std::min({Wanted, LargestLoan, (Lender.load().FreeSlots + 1) / 2});
  auto Count = static_cast<std::uint32_t>(Homes_.size());
  ++Rotation_;
  for (std::uint32_t Step = 0; Step < Count && Left > 0; ++Step) {
    auto Worker = (Rotation_ + Step) % Count;
    auto Endpoint = static_cast<kernel::EndpointIndex>(Worker);
    const auto &State = Lender.policy().endpoints().at(Endpoint);
    if (&home(Worker) != &Lender || !State.IsFree || State.OnTrial)
      continue;
    auto Free = std::min(Left, State.Slots - State.Running);
    Left -= Free;
    Lender.setSlots(Worker, Lender.slots(Worker) - Free);
    InFlight_[Worker] += Free;
    Clock_.after(core::fromMilliseconds(Input_.OneWay), [this, Worker, &Borrower, Free] {
      InFlight_[Worker] -= Free;
      if (Borrower.IsAlive)
        Borrower.setSlots(Worker, Borrower.slots(Worker) + Free);
    });
  }
}

void SlotExchange::giveBackIdle(SimulatedVm &Borrower) {
  bool Any = false;
  for (std::uint32_t Worker = 0; Worker < Homes_.size(); ++Worker) {
    if (&home(Worker) == &Borrower || Borrower.slots(Worker) <= Borrower.inUse(Worker))
      continue;
    Borrower.setSlots(Worker, Borrower.inUse(Worker));
    Any = true;
  }
  Messages_.SlotExchange += Any ? 1 : 0;
}

void SlotExchange::recall(SimulatedVm &Lender) {
  for (auto &Vm : Vms_) {
    if (!Vm->IsAlive || Vm.get() == &Lender)
      continue;
    bool Any = false;
    for (std::uint32_t Worker = 0; Worker < Homes_.size(); ++Worker) {
      if (&home(Worker) != &Lender || Vm->slots(Worker) == 0)
        continue;
      Vm->setSlots(Worker, 0);
      Any = true;
    }
    Messages_.SlotExchange += Any ? 2 : 0;
  }
}

void SlotExchange::exchange() {
  settle();
  for (auto &Vm : Vms_) {
    if (!Vm->IsAlive)
      continue;
    auto Load = Vm->load();
    auto Index = Vm->index();
    if (Load.WaitingTasks > 0 && Load.FreeSlots == 0) {
      recall(*Vm);
      if (Asking_[Index] == 0)
        borrow(*Vm, Load.WaitingTasks);
    }
    if (Load.FreeSlots == 0)
      IdleSince_[Index] = Clock_.now();
    else if (Clock_.now() - IdleSince_[Index] >= IdleBeforeReturn)
      giveBackIdle(*Vm);
  }
}

} // namespace cornellift::replay
