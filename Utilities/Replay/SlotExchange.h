#pragma once

#include "Utilities/Replay/EventQueue.h"
#include "Utilities/Replay/ReplayResult.h"
#include "Utilities/Replay/SimulatedVm.h"
#include "Utilities/Replay/Trace.h"

#include <memory>
#include <span>
#include <vector>

namespace cornellift::replay {

/// Which entry VM may use which slots. Each worker has a home VM, which uses every slot that is not
/// lent. A VM with waiting tasks and no free slot borrows free ones from the VM with most of them,
/// in batches of two messages, and returns them when they are idle. A home VM that lacks slots
/// recalls the ones it lent; it gets each when the task on it has ended. A dead VM's workers get a
/// new home after a while.
class SlotExchange {
public:
  SlotExchange(EventQueue &Clock, const Trace &Input, std::span<std::unique_ptr<SimulatedVm>> Vms,
               MessageCounts &Messages);

  /// Gives every worker's slots to its home VM. Called at the start and after a loss.
  void assignHomes();

  /// Borrows and returns. Called every exchange interval.
  void exchange();

private:
  SimulatedVm &home(std::uint32_t Worker) { return *Vms_[Homes_[Worker]]; }
  SimulatedVm *lenderFor(const SimulatedVm &Borrower);
  void borrow(SimulatedVm &Borrower, std::uint32_t Wanted);
  void lend(SimulatedVm &Lender, SimulatedVm &Borrower, std::uint32_t Wanted);
  void giveBackIdle(SimulatedVm &Borrower);
  void recall(SimulatedVm &Lender);
  /// Gives each home VM the slots that no other VM holds or is still using.
  void settle();

  EventQueue &Clock_;
  const Trace &Input_;
  std::span<std::unique_ptr<SimulatedVm>> Vms_;
  MessageCounts &Messages_;
  std::vector<std::uint32_t> Homes_;    ///< By worker.
  std::vector<std::uint32_t> InFlight_; ///< By worker: lent slots that have not arrived.
  std::vector<std::uint32_t> Asking_;   ///< By VM: exchanges in flight.
  std::vector<core::TimePoint> IdleSince_;
  std::uint32_t Rotation_ = 0;
  bool HasHomes_ = false;
};

} // namespace cornellift::replay
