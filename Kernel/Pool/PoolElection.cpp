#include "Kernel/Pool/PoolElection.h"

#include "Kernel/Pool/CandidateRank.h"

#include <utility>

namespace cornellift::kernel {
namespace {

/// After its start a process waits for the others' heartbeats before it manages its own data
/// centre.
constexpr core::Duration StartupDelay = std::chrono::milliseconds(250);
/// The same for other data centres, whose VMs may be starting too. Handing the workers over to them
/// while all callers reconnect would leave workers idle.
constexpr core::Duration ForeignStartupDelay = std::chrono::milliseconds(1000);
/// How long a peer must have been linked before a running manager hands workers over to it.
constexpr core::Duration MinimumUptime = std::chrono::milliseconds(1500);
/// Longest remaining lease of a manager that is found lost. Its loss is detected after 0.6 s
/// without a heartbeat, and a lease lasts 0.94 s at most.
constexpr core::Duration RemainingLeaseTime = std::chrono::milliseconds(350);
/// A process that reaches no peer is probably cut off itself, and would only take the workers away
/// from processes that still serve callers. It starts to manage workers after this time.
constexpr core::Duration IsolationDelay = std::chrono::seconds(3);
constexpr core::Duration Never = std::chrono::hours(24 * 365);

} // namespace

PoolElection::PoolElection(CandidateState Self, core::TimePoint Now)
    : Self_(std::move(Self)), StartedAt_(Now), IsolatedSince_(Now) {}

bool PoolElection::peerChanged(PeerIndex Index, CandidateState State, core::TimePoint Now) {
  auto [Position, IsNew] = Peers_.try_emplace(Index);
  if (IsNew)
    Position->second.UpSince = Now;
  if (!IsNew && Position->second.State == State)
    return false;
  Position->second.State = std::move(State);
  return true;
}

void PoolElection::peerLost(PeerIndex Index, bool HasEnded, core::TimePoint Now) {
  auto Found = Peers_.find(Index);
  if (Found == Peers_.end())
    return;
  auto ClaimAt = HasEnded ? Now : Now + RemainingLeaseTime;
  for (const auto &DataCentre : Found->second.State.Managed)
    LostManagers_[DataCentre] = {ClaimAt};
  for (const auto &DataCentre : Found->second.State.Releasing)
    LostManagers_[DataCentre] = {ClaimAt};
  Peers_.erase(Found);
  if (Peers_.empty())
    IsolatedSince_ = Now;
}

bool PoolElection::ranksBefore(const CandidateState &Left, const CandidateState &Right,
                               const std::string &DataCentre) const {
  return rankIn(DataCentre, Left) < rankIn(DataCentre, Right);
}

std::optional<PeerIndex> PoolElection::managerAmongPeers(const std::string &DataCentre) const {
  std::optional<PeerIndex> Best;
  for (const auto &[Index, Known] : Peers_) {
    if (!Known.State.Managed.contains(DataCentre))
      continue;
    if (!Best || ranksBefore(Known.State, Peers_.at(*Best).State, DataCentre))
      Best = Index;
  }
  return Best;
}

std::optional<PeerIndex> PoolElection::bestPeer(const std::string &DataCentre,
                                                core::TimePoint Now) const {
  std::optional<PeerIndex> Best;
  for (const auto &[Index, Known] : Peers_) {
    bool IsProven = Now - Known.UpSince >= MinimumUptime || Self_.IsStopping;
    if (!Known.State.IsReady || Known.State.IsStopping || !IsProven)
      continue;
    if (!Best || ranksBefore(Known.State, Peers_.at(*Best).State, DataCentre))
      Best = Index;
  }
  return Best;
}

bool PoolElection::isSeenByOthers(const std::string &DataCentre) const {
  for (const auto &[Index, Known] : Peers_)
    if (Known.State.Seen.contains(DataCentre))
      return true;
  return false;
}

std::optional<PeerIndex> PoolElection::successorFor(const std::string &DataCentre,
                                                    core::TimePoint Now) const {
  auto Other = managerAmongPeers(DataCentre);
  if (Other && (Self_.IsStopping || ranksBefore(Peers_.at(*Other).State, Self_, DataCentre)))
    return Other;
  auto Best = bestPeer(DataCentre, Now);
  if (!Best)
    return std::nullopt;
  bool IsAway = Self_.DataCentre != DataCentre && Peers_.at(*Best).State.DataCentre == DataCentre;
  return Self_.IsStopping || IsAway ? Best : std::nullopt;
}

void PoolElection::beginManagingIfElected(const std::string &DataCentre, core::TimePoint Now,
                                          ElectionChanges &Changes) {
  bool IsOwn = Self_.DataCentre == DataCentre;
  if (Self_.IsStopping || !Self_.IsReady ||
      Now < StartedAt_ + (IsOwn ? StartupDelay : ForeignStartupDelay))
    return;
  if (Peers_.empty() && OthersExist_ && Now < IsolatedSince_ + IsolationDelay)
    return;
  if (managerAmongPeers(DataCentre) || Self_.Releasing.contains(DataCentre) ||
      ReservedForOthers_.contains(DataCentre))
    return;
  for (const auto &[Index, Known] : Peers_)
    if (Known.State.IsReady && !Known.State.IsStopping &&
        ranksBefore(Known.State, Self_, DataCentre))
      return;
  std::optional<PeerIndex> Releaser;
  for (const auto &[Index, Known] : Peers_)
    if (Known.State.Releasing.contains(DataCentre))
      Releaser = Index;
  if (!Releaser && isSeenByOthers(DataCentre))
    return;
  auto Lost = LostManagers_.find(DataCentre);
  auto ClaimAt = Lost == LostManagers_.end() ? Now : std::max(Now, Lost->second.ClaimAt);
  auto ClaimReleasedAt = ClaimAt;
  if (Releaser) {
    ClaimAt = Now + Never;
    PendingReleases_[DataCentre] = *Releaser;
  }
  LostManagers_.erase(DataCentre);
  Self_.Managed.insert(DataCentre);
  Changes.Begun.push_back({DataCentre, ClaimAt, Releaser, ClaimReleasedAt});
}

void PoolElection::checkReleases(ElectionChanges &Changes, core::TimePoint Now) {
  for (auto Entry = PendingReleases_.begin(); Entry != PendingReleases_.end();) {
    const auto &[DataCentre, Index] = *Entry;
    auto Known = Peers_.find(Index);
    if (Known != Peers_.end() && Known->second.State.Releasing.contains(DataCentre)) {
      ++Entry;
      continue;
    }
    auto Lost = LostManagers_.find(DataCentre);
    auto ClaimAt = Lost == LostManagers_.end() ? Now : std::max(Now, Lost->second.ClaimAt);
    LostManagers_.erase(DataCentre);
    if (Self_.Managed.contains(DataCentre))
      Changes.Claims.push_back({DataCentre, ClaimAt});
    Entry = PendingReleases_.erase(Entry);
  }
}

ElectionChanges PoolElection::evaluate(core::TimePoint Now) {
  ElectionChanges Changes;
  checkReleases(Changes, Now);
  for (const auto &DataCentre : DataCentres_) {
    if (!Self_.Managed.contains(DataCentre)) {
      beginManagingIfElected(DataCentre, Now, Changes);
      continue;
    }
    auto Successor = successorFor(DataCentre, Now);
    if (!Successor)
      continue;
    Self_.Managed.erase(DataCentre);
    Self_.Releasing.insert(DataCentre);
    PendingReleases_.erase(DataCentre);
    Changes.Stopped.push_back({DataCentre, *Successor});
  }
  return Changes;
}

bool PoolElection::isManager(PeerIndex Peer) const {
  auto Found = Peers_.find(Peer);
  return Found != Peers_.end() && !Found->second.State.Managed.empty();
}

bool PoolElection::isManagerOf(PeerIndex Peer, const std::string &DataCentre) const {
  auto Found = Peers_.find(Peer);
  return Found != Peers_.end() && Found->second.State.Managed.contains(DataCentre);
}

std::set<std::string> PoolElection::seen() const {
  auto Result = Self_.Managed;
  for (const auto &[Index, Known] : Peers_)
    Result.insert(Known.State.Managed.begin(), Known.State.Managed.end());
  return Result;
}

std::optional<PeerIndex> PoolElection::assignedManager() const {
  if (Self_.Managed.contains(Self_.DataCentre))
    return SelfPeer;
  if (auto Near = managerAmongPeers(Self_.DataCentre))
    return Near;
  if (!Self_.Managed.empty())
    return SelfPeer;
  for (const auto &[Index, Known] : Peers_)
    if (!Known.State.Managed.empty())
      return Index;
  return std::nullopt;
}

} // namespace cornellift::kernel
