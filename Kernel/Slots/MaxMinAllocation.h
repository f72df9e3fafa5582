#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Scheduler.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cornellift::kernel {

/// Slots that one entry VM holds and the demand of its teams, as reported to its peers.
struct VmDemand {
  std::uint32_t Held = 0;        ///< Usable slots that it holds, including busy ones.
  std::vector<TeamDemand> Teams; ///< Teams with tasks.
};

/// Max-min fair allocation of the slots that several entry VMs hold together: first among teams,
/// weighted by quota and limited by their tasks, then the slots of each team evenly among the VMs,
/// limited by its tasks there, so that small demands are met in full. Each VM computes the
/// allocation from the reports that it has; there is no central decision.
class MaxMinAllocation {
public:
  /// Shares by team; a team without an entry gets the minimum share.
  MaxMinAllocation(std::span<const double> Shares, std::span<const VmDemand *const> Vms);

  /// Returns whether the VMs have more tasks than slots.
  bool isContended() const { return Tasks_ > Slots_; }

  /// Slots that the VM is entitled to.
  double target(std::size_t Vm) const { return Targets_[Vm]; }

  /// Slots that each team is entitled to on the VM, by team; shorter than the number of teams when
  /// the last ones have no tasks anywhere.
  const std::vector<double> &teamTargets(std::size_t Vm) const { return TeamTargets_[Vm]; }

private:
  double Slots_ = 0;
  double Tasks_ = 0;
  std::vector<double> Targets_;
  std::vector<std::vector<double>> TeamTargets_;
};

} // namespace cornellift::kernel
