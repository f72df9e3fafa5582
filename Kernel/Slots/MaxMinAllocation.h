#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Scheduler.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cornellift::kernel {

/// What one entry VM holds and wants, as it tells its peers.
struct VmDemand {
  std::uint32_t Held = 0;        ///< Usable slots that it holds, busy ones included.
  std::vector<TeamDemand> Teams; ///< Of teams with tasks.
};

/// Divides the slots that some entry VMs hold together: among teams by quota up to their tasks, and
/// each team's part evenly among the VMs up to the team's tasks there, so that small demands are
/// met whole. Each VM computes it from what it knows; no VM decides for the others.
class MaxMinAllocation {
public:
  /// Shares by team; a team that is not in it gets the smallest share.
  MaxMinAllocation(std::span<const double> Shares, std::span<const VmDemand *const> Vms);

  /// Whether the VMs have more tasks than slots.
  bool isContended() const { return Tasks_ > Slots_; }

  /// Slots that are due to the VM.
  double target(std::size_t Vm) const { return Targets_[Vm]; }

  /// Slots due to each team on the VM, by team; shorter than the number of teams when the last ones
  /// have no tasks anywhere.
  const std::vector<double> &teamTargets(std::size_t Vm) const { return TeamTargets_[Vm]; }

private:
  double Slots_ = 0;
  double Tasks_ = 0;
  std::vector<double> Targets_;
  std::vector<std::vector<double>> TeamTargets_;
};

} // namespace cornellift::kernel
