#include "Kernel/Scheduling/QuotaLedger.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Lower bound of a share, so that a team configured with zero still runs on idle slots.
constexpr double MinimumShare = 1e-6;

} // namespace

void QuotaLedger::configure(const KernelConfiguration &Configuration) {
  Teams_.resize(std::max(Teams_.size(), Configuration.Teams.size()));
  for (std::size_t Team = 0; Team < Configuration.Teams.size(); ++Team)
    Teams_[Team].Share = std::max(MinimumShare, Configuration.Teams[Team].QuotaShare);
}

const QuotaLedger::Account *QuotaLedger::find(TeamIndex Team) const {
  auto Position = static_cast<std::size_t>(Team);
  return Position < Teams_.size() ? &Teams_[Position] : nullptr;
}

void QuotaLedger::started(TeamIndex Team) {
  if (find(Team))
    ++Teams_[static_cast<std::size_t>(Team)].Running;
}

void QuotaLedger::ended(TeamIndex Team) {
  if (const auto *Account = find(Team); Account && Account->Running > 0)
    --Teams_[static_cast<std::size_t>(Team)].Running;
}

std::uint32_t QuotaLedger::running(TeamIndex Team) const {
  const auto *Account = find(Team);
  return Account ? Account->Running : 0;
}

double QuotaLedger::share(TeamIndex Team) const {
  const auto *Account = find(Team);
  return Account ? Account->Share : MinimumShare;
}

double QuotaLedger::usagePerShare(TeamIndex Team) const {
  if (Targets_.empty())
    return running(Team) / share(Team);
  auto Position = static_cast<std::size_t>(Team);
  double Target = Position < Targets_.size() ? Targets_[Position] : 0;
  return running(Team) / (Target > 0 ? Target : 1);
}

} // namespace cornellift::kernel
