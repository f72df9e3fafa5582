#pragma once

#include "Kernel/KernelConfiguration.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace cornellift::kernel {

/// Running tasks per team against its share of the slots. A free slot goes to the waiting team that
/// uses least of its share, so that unused share is lent and taken back at the next free slot.
class QuotaLedger {
public:
  void configure(const KernelConfiguration &Configuration);

  void started(TeamIndex Team);
  void ended(TeamIndex Team);

  std::uint32_t running(TeamIndex Team) const;
  double share(TeamIndex Team) const;

  /// Replaces the shares in used() while not empty; by team. A team without a target is served
  /// first: its tasks came after the targets were computed.
  void setTargets(std::vector<double> Targets) { Targets_ = std::move(Targets); }

  /// Running tasks per unit of share or target; the smallest goes first.
  double usagePerShare(TeamIndex Team) const;

private:
  struct Account {
    std::uint32_t Running = 0;
    double Share = 1;
  };

  const Account *find(TeamIndex Team) const;

  std::vector<Account> Teams_;
  std::vector<double> Targets_;
};

} // namespace cornellift::kernel
