#pragma once

#include "Kernel/Dispatcher.h"
#include "Utilities/Replay/EventQueue.h"
#include "Utilities/Replay/TimedScheduler.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cornellift::replay {

/// Simulates an entry VM: a Dispatcher, its job identifiers and the slots that it may use.
class SimulatedVm final : public kernel::ActionSink {
public:
  using ActionHandler = std::function<void(SimulatedVm &, kernel::Action &)>;

  /// Handler gets each action except the replies to session requests.
  SimulatedVm(EventQueue &Clock, std::uint32_t Index, std::uint64_t Seed, DecisionTimes &Times,
              std::shared_ptr<const kernel::KernelConfiguration> Configuration,
              ActionHandler Handler);

  void handle(kernel::Event Next);
  void perform(kernel::Action Next) override;

  /// Returns the team's next job identifier; opens a session for a new block when needed.
  kernel::JobId takeIdentifier(kernel::TeamIndex Team);
  void setSlots(std::uint32_t Worker, std::uint32_t Slots);

  std::uint32_t index() const { return Index_; }
  std::uint32_t slots(std::uint32_t Worker) const { return Slots_[Worker]; }
  kernel::SchedulerLoad load() const { return Scheduler_->load(); }
  const kernel::PolicyScheduler &policy() const { return Scheduler_->inner(); }

  bool IsAlive = true;

private:
  EventQueue &Clock_;
  std::uint32_t Index_;
  ActionHandler Handler_;
  const TimedScheduler *Scheduler_ = nullptr; ///< Owned by the dispatcher.
  std::unique_ptr<kernel::Dispatcher> Dispatcher_;
  std::unordered_map<std::uint32_t, kernel::IdentifierBlock> Blocks_; ///< By team.
  std::vector<std::uint32_t> Slots_;
};

} // namespace cornellift::replay
