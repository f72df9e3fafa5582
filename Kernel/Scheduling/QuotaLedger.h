#pragma once

#include "Kernel/KernelConfiguration.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace cornellift::kernel {

/// Counts the running tasks of each team relative to its share of the slots. A free slot goes to
/// the waiting team that uses the smallest part of its share: unused shares are lent to other teams
/// and reclaimed as slots become free.
class QuotaLedger {
public:
  void configure(const KernelConfiguration &Configuration);

  void started(TeamIndex Team);
  void ended(TeamIndex Team);

  std::uint32_t running(TeamIndex Team) const;
  double share(TeamIndex Team) const;

  /// Sets targets by team, which replace the shares in usagePerShare() unless empty. A team without
  /// a target is served first: its tasks arrived after the targets were computed.
  void setTargets(std::vector<double> Targets) { Targets_ = std::move(Targets); }

  /// Running tasks per unit of share or target; the team with the smallest value goes first.
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
