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
      Asking_(Vms.size()), IdleSince_(Vms.size()) {}

SimulatedVm &SlotExchange::home(std::uint32_t Worker) { return *Vms_[Homes_[Worker]]; }

void SlotExchange::assignHomes() {
  std::vector<std::uint32_t> Alive;
  for (const auto &Vm : Vms_)
    if (Vm->IsAlive)
      Alive.push_back(Vm->index());
  for (std::uint32_t Worker = 0; Worker < Homes_.size(); ++Worker) {
    if (!HasHomes_ || !home(Worker).IsAlive)
      Homes_[Worker] = Alive[Worker % Alive.size()];
    auto Slots = Input_.Workers[Worker].Slots;
    std::uint32_t Lent = 0;
    for (auto Other : Alive)
      Lent += Other == Homes_[Worker] ? 0 : Vms_[Other]->slots(Worker);
    home(Worker).setSlots(Worker, Slots - std::min(Slots, Lent));
  }
  HasHomes_ = true;
}

void SlotExchange::move(std::uint32_t Worker, SimulatedVm &From, SimulatedVm &To,
                        std::uint32_t Count) {
  From.setSlots(Worker, From.slots(Worker) - Count);
  Clock_.after(core::fromMilliseconds(Input_.OneWay), [Worker, &To, Count] {
    if (To.IsAlive)
      To.setSlots(Worker, To.slots(Worker) + Count);
  });
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
    if (!Lender->IsAlive)
      return;
    auto Left = std::min({Wanted, LargestLoan, (Lender->load().FreeSlots + 1) / 2});
    auto Count = static_cast<std::uint32_t>(Homes_.size());
    ++Rotation_;
    for (std::uint32_t Step = 0; Step < Count && Left > 0; ++Step) {
      auto Worker = (Rotation_ + Step) % Count;
      const auto &State =
          Lender->policy().endpoints().at(static_cast<kernel::EndpointIndex>(Worker));
      if (!State.IsFree || State.OnTrial)
        continue;
      auto Free = std::min(Left, State.Slots - State.Running);
      move(Worker, *Lender, Borrower, Free);
      Left -= Free;
    }
  });
}

void SlotExchange::giveBack(SimulatedVm &Borrower) {
  bool Any = false;
  for (std::uint32_t Worker = 0; Worker < Homes_.size(); ++Worker) {
    if (&home(Worker) == &Borrower || !home(Worker).IsAlive)
      continue;
    auto Idle = Borrower.slots(Worker) - std::min(Borrower.slots(Worker), Borrower.inUse(Worker));
    if (Idle == 0)
      continue;
    move(Worker, Borrower, home(Worker), Idle);
    Any = true;
  }
  Messages_.SlotExchange += Any ? 1 : 0;
}

void SlotExchange::exchange() {
  for (auto &Vm : Vms_) {
    if (!Vm->IsAlive)
      continue;
    auto Load = Vm->load();
    auto Index = Vm->index();
    if (Load.WaitingTasks > 0 && Load.FreeSlots == 0 && Asking_[Index] == 0)
      borrow(*Vm, Load.WaitingTasks);
    if (Load.FreeSlots == 0)
      IdleSince_[Index] = Clock_.now();
    else if (Clock_.now() - IdleSince_[Index] >= IdleBeforeReturn)
      giveBack(*Vm);
  }
}

} // namespace cornellift::replay
