#include "Kernel/Slots/MaxMinAllocation.h"

#include <algorithm>
#include <numeric>

namespace cornellift::kernel {
namespace {

/// Lower bound of a share, so that a team configured with zero still runs on idle slots.
constexpr double MinimumShare = 1e-6;

struct Claim {
  double Tasks = 0;
  double Weight = 1;
  double Allocated = 0; ///< The result.
};

/// Weighted max-min: all claims rise by weight until each is met or the capacity is used up.
void allocateMaxMin(std::vector<Claim> &Claims, double Capacity) {
  std::vector<Claim *> Order;
  double Weights = 0;
  for (auto &Item : Claims) {
    Order.push_back(&Item);
    Weights += Item.Weight;
  }
  std::sort(Order.begin(), Order.end(), [](const Claim *Left, const Claim *Right) {
    return Left->Tasks * Right->Weight < Right->Tasks * Left->Weight;
  });
  for (auto *Item : Order) {
    Item->Allocated = std::min(Item->Tasks, Capacity * Item->Weight / Weights);
    Capacity -= Item->Allocated;
    Weights -= Item->Weight;
  }
}

} // namespace

MaxMinAllocation::MaxMinAllocation(std::span<const double> Shares,
                                   std::span<const VmDemand *const> Vms)
    : Targets_(Vms.size()), TeamTargets_(Vms.size()) {
  std::vector<Claim> Teams;
  for (const auto *Vm : Vms) {
    Slots_ += Vm->Held;
    for (const auto &Item : Vm->Teams) {
      auto Team = static_cast<std::size_t>(Item.Team);
      if (Team >= Teams.size())
        Teams.resize(Team + 1);
      Teams[Team].Tasks += Item.Tasks;
      Tasks_ += Item.Tasks;
    }
  }
  for (std::size_t Team = 0; Team < Teams.size(); ++Team)
    Teams[Team].Weight = std::max(MinimumShare, Team < Shares.size() ? Shares[Team] : 0);
  allocateMaxMin(Teams, Slots_);
  std::vector<std::vector<Claim>> Parts(Teams.size(), std::vector<Claim>(Vms.size()));
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    for (const auto &Item : Vms[Vm]->Teams)
      Parts[static_cast<std::size_t>(Item.Team)][Vm].Tasks += Item.Tasks;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    TeamTargets_[Vm].resize(Teams.size());
  for (std::size_t Team = 0; Team < Teams.size(); ++Team) {
    allocateMaxMin(Parts[Team], Teams[Team].Allocated);
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
      TeamTargets_[Vm][Team] = Parts[Team][Vm].Allocated;
      Targets_[Vm] += Parts[Team][Vm].Allocated;
    }
  }
}

} // namespace cornellift::kernel
