#include "Utilities/Replay/SlotExchange.h"

#include <utility>
#include <variant>

namespace cornellift::replay {
namespace {

/// Interval at which a VM reports its load, and the time until the report reaches all VMs of the
/// data centre: two heartbeats.
constexpr core::Duration LoadReportInterval = std::chrono::seconds(1);
constexpr core::Duration LoadPropagationDelay = std::chrono::milliseconds(400);
/// Time until membership declares a silent VM dead.
constexpr core::Duration DeathDetectionDelay = std::chrono::seconds(1);
/// Timeout of a call between entry VMs.
constexpr core::Duration PeerCallTimeout = std::chrono::milliseconds(300);

} // namespace

SlotExchange::SlotExchange(EventQueue &Clock, const Trace &Input,
                           std::shared_ptr<const kernel::KernelConfiguration> Configuration,
                           std::span<std::unique_ptr<SimulatedVm>> Vms, MessageCounts &Messages)
    : Clock_(Clock), Input_(Input), Configuration_(std::move(Configuration)), Vms_(Vms),
      Messages_(Messages), Nodes_(Vms.size()) {}

void SlotExchange::start() {
  kernel::SlotLenderSettings Settings;
  Settings.InitialDelay = core::Duration(0);
  std::vector<kernel::LenderEndpoint> Endpoints;
  for (std::uint32_t Worker = 0; Worker < Configuration_->Endpoints.size(); ++Worker) {
    const auto &Endpoint = Configuration_->Endpoints[Worker];
    Endpoints.push_back({static_cast<kernel::EndpointIndex>(Worker), Endpoint.Name, Endpoint.Slots,
                         Endpoint.Services});
  }
  std::vector<double> Shares;
  for (const auto &Team : Configuration_->Teams)
    Shares.push_back(Team.QuotaShare);
  for (auto &Vm : Vms_) {
    auto &Lender = Nodes_[Vm->index()].Lender;
    Lender = std::make_unique<kernel::SlotLender>(nameOf(*Vm), kernel::Incarnation{Vm->index() + 1},
                                                  Settings);
    kernel::SlotActions Out;
    Lender->setShares(Shares);
    Lender->setEndpoints(Endpoints, Clock_.now(), Out);
    updatePeers(*Vm, Out);
    perform(*Vm, Out);
  }
  if (Vms_.size() > 1)
    reportLoads();
}

void SlotExchange::tick() {
  for (auto &Vm : Vms_) {
    if (!Vm->IsAlive)
      continue;
    kernel::SlotActions Out;
    updatePeers(*Vm, Out);
    Nodes_[Vm->index()].Lender->tick(demandOf(*Vm), Clock_.now(), Out);
    perform(*Vm, Out);
  }
}

void SlotExchange::vmLost(const SimulatedVm &Vm) {
  Clock_.after(DeathDetectionDelay,
               [this, Index = Vm.index()] { Nodes_[Index].IsDeclaredDead = true; });
}

void SlotExchange::reportLoads() {
  for (auto &Vm : Vms_)
    Clock_.after(LoadPropagationDelay,
                 [this, Index = Vm->index(), Load = Vm->load()] { Nodes_[Index].Reported = Load; });
  Clock_.after(LoadReportInterval, [this] { reportLoads(); });
}

void SlotExchange::updatePeers(SimulatedVm &Vm, kernel::SlotActions &Out) {
  std::vector<kernel::LenderPeer> Peers;
  for (const auto &Peer : Vms_) {
    const auto &Known = Nodes_[Peer->index()];
    if (!Known.IsDeclaredDead)
      Peers.push_back({nameOf(*Peer), kernel::Incarnation{Peer->index() + 1},
                       Known.Reported.WaitingTasks, Known.Reported.FreeSlots,
                       kernel::LenderPeer::Role::Owner});
  }
  Nodes_[Vm.index()].Lender->setPeers(std::move(Peers), Clock_.now(), Out);
}

kernel::SlotDemand SlotExchange::demandOf(const SimulatedVm &Vm) const {
  auto Load = Vm.load();
  return {Load.WaitingTasks, Load.FreeSlots,
          [&Vm](kernel::EndpointIndex Endpoint) { return Vm.policy().usage(Endpoint); },
          Vm.policy().teamDemands(), Vm.policy().waitingServices()};
}

void SlotExchange::perform(SimulatedVm &Vm, const kernel::SlotActions &Actions) {
  for (const auto &Action : Actions)
    std::visit([&](const auto &Content) { perform(Vm, Content); }, Action);
}

void SlotExchange::perform(SimulatedVm &Vm, const kernel::SetSlots &Action) {
  Vm.setSlots(static_cast<std::uint32_t>(Action.Endpoint), Action.Slots);
}

void SlotExchange::perform(SimulatedVm &Vm, const kernel::SendBorrow &Action) {
  ++Messages_.SlotExchange;
  afterMessageDelay([this, Action, Borrower = &Vm] {
    auto &Owner = vm(Action.Process);
    if (!Owner.IsAlive) {
      Clock_.after(PeerCallTimeout,
                   [this, Action, Borrower] { reply(*Borrower, Action, std::nullopt); });
      return;
    }
    kernel::SlotActions Out;
    auto Reply =
        Nodes_[Owner.index()].Lender->lend(Action.Request, demandOf(Owner), Clock_.now(), Out);
    perform(Owner, Out);
    ++Messages_.SlotExchange;
    afterMessageDelay(
        [this, Action, Borrower, Reply = std::move(Reply)] { reply(*Borrower, Action, Reply); });
  });
}

void SlotExchange::reply(SimulatedVm &Borrower, const kernel::SendBorrow &Action,
                         std::optional<kernel::BorrowReply> Reply) {
  if (!Borrower.IsAlive)
    return;
  auto &Lender = *Nodes_[Borrower.index()].Lender;
  kernel::SlotActions Out;
  if (Reply)
    Lender.borrowReplied(Action.Process, Action.Request.Sequence, *Reply, Clock_.now(), Out);
  else
    Lender.borrowFailed(Action.Process, Action.Request.Sequence, Clock_.now());
  perform(Borrower, Out);
}

void SlotExchange::perform(SimulatedVm &Vm, const kernel::SetTeamTargets &Action) {
  Vm.handle(kernel::TeamTargetsChanged{Action.Targets});
}

void SlotExchange::perform(SimulatedVm &Vm, const kernel::SendRecall &Action) {
  ++Messages_.SlotExchange;
  afterMessageDelay([this, Action, Owner = kernel::Incarnation{Vm.index() + 1}] {
    auto &Borrower = vm(Action.Process);
    if (!Borrower.IsAlive)
      return;
    kernel::SlotActions Out;
    Nodes_[Borrower.index()].Lender->recalled(Owner, Action.Wanted, Clock_.now(), Out);
    perform(Borrower, Out);
  });
}

} // namespace cornellift::replay
