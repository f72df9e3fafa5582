#pragma once

#include "Utilities/Replay/EventQueue.h"
#include "Utilities/Replay/ReplayResult.h"
#include "Utilities/Replay/SimulatedVm.h"
#include "Utilities/Replay/Trace.h"

#include <memory>
#include <span>
#include <vector>

namespace cornellift::replay {

/// Which entry VM may use which slots. Each worker has a home VM. A VM with waiting tasks and no
/// free slot borrows free ones from the VM with most of them, in batches of two messages, and
/// returns them when they are idle. A dead VM's workers get a new home after a while.
class SlotExchange {
public:
  SlotExchange(EventQueue &Clock, const Trace &Input, std::span<std::unique_ptr<SimulatedVm>> Vms,
               MessageCounts &Messages);

  /// Gives every worker's slots to its home VM. Called at the start and after a loss.
  void assignHomes();

  /// Borrows and returns. Called every exchange interval.
  void exchange();

private:
  SimulatedVm &home(std::uint32_t Worker);
  SimulatedVm *lenderFor(const SimulatedVm &Borrower);
  void borrow(SimulatedVm &Borrower, std::uint32_t Wanted);
  void giveBack(SimulatedVm &Borrower);
  void move(std::uint32_t Worker, SimulatedVm &From, SimulatedVm &To, std::uint32_t Count);

  EventQueue &Clock_;
  const Trace &Input_;
  std::span<std::unique_ptr<SimulatedVm>> Vms_;
  MessageCounts &Messages_;
  std::vector<std::uint32_t> Homes_;  ///< By worker.
  std::vector<std::uint32_t> Asking_; ///< By VM: exchanges in flight.
  std::vector<core::TimePoint> IdleSince_;
  std::uint32_t Rotation_ = 0;
  bool HasHomes_ = false;
};

} // namespace cornellift::replay
