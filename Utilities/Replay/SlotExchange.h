#pragma once

#include "Kernel/Slots/SlotLender.h"
#include "Utilities/Replay/EventQueue.h"
#include "Utilities/Replay/ReplayResult.h"
#include "Utilities/Replay/SimulatedVm.h"
#include "Utilities/Replay/Trace.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cornellift::replay {

/// Runs one SlotLender per entry VM, as the daemon does, and delivers their messages and the loads
/// reported in heartbeats. A lost VM is declared dead after the delay of failure detection.
class SlotExchange {
public:
  SlotExchange(EventQueue &Clock, const Trace &Input,
               std::shared_ptr<const kernel::KernelConfiguration> Configuration,
               std::span<std::unique_ptr<SimulatedVm>> Vms, MessageCounts &Messages);

  /// Assigns every slot to its designated owner and starts the load reports.
  void start();

  /// Ticks the lender of each live VM. Called after each kernel tick.
  void tick();

  /// Call when a VM has been lost; its peers detect that later.
  void vmLost(const SimulatedVm &Vm);

private:
  struct Node {
    std::unique_ptr<kernel::SlotLender> Lender;
    kernel::SchedulerLoad Reported; ///< Latest load known to its peers.
    bool IsDeclaredDead = false;
  };

  static std::string nameOf(const SimulatedVm &Vm) { return "vm-" + std::to_string(Vm.index()); }
  SimulatedVm &vm(kernel::Incarnation Process) { return *Vms_[Process.Value - 1]; }
  kernel::SlotDemand demandOf(const SimulatedVm &Vm) const;
  void updatePeers(SimulatedVm &Vm, kernel::SlotActions &Out);
  void reportLoads();
  void perform(SimulatedVm &Vm, const kernel::SlotActions &Actions);
  void perform(SimulatedVm &Vm, const kernel::SetSlots &Action);
  void perform(SimulatedVm &Vm, const kernel::SendBorrow &Action);
  void perform(SimulatedVm &Vm, const kernel::SendRecall &Action);
  void perform(SimulatedVm &Vm, const kernel::SetTeamTargets &Action);
  void reply(SimulatedVm &Borrower, const kernel::SendBorrow &Action,
             std::optional<kernel::BorrowReply> Reply);
  void afterMessageDelay(std::function<void()> Run) {
    Clock_.after(core::fromMilliseconds(Input_.OneWay), std::move(Run));
  }

  EventQueue &Clock_;
  const Trace &Input_;
  std::shared_ptr<const kernel::KernelConfiguration> Configuration_;
  std::span<std::unique_ptr<SimulatedVm>> Vms_;
  MessageCounts &Messages_;
  std::vector<Node> Nodes_; ///< By VM.
};

} // namespace cornellift::replay
