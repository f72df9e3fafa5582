#pragma once

#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornellift::kernel {

/// The state that an entry process announces in its heartbeats.
struct CandidateState {
  std::string Vm;
  std::string DataCentre;
  std::uint32_t Weight = 1; ///< Relative processing power.
  bool IsReady = false;
  bool IsStopping = false;
  std::set<std::string> Managed;   ///< Data centres whose workers it manages.
  std::set<std::string> Releasing; ///< Data centres whose workers it is releasing.
  std::set<std::string> Seen;      ///< Data centres whose manager sends it heartbeats.

  bool operator==(const CandidateState &) const = default;
};

/// This process starts to manage the workers of a data centre.
struct BeginManaging {
  std::string DataCentre;
  /// Earliest time to claim the workers; far in the future while another process releases them one
  /// by one.
  core::TimePoint ClaimAt;
  /// The process that is releasing them. If it is lost, the remaining ones may be claimed.
  std::optional<PeerIndex> ReleasedBy;
  /// Earliest time to claim those that it has released. Later than now if another process, which is
  /// lost, may have claimed some of them.
  core::TimePoint ClaimReleasedAt;
};

/// This process stops managing the workers of a data centre and releases each when it is idle.
struct StopManaging {
  std::string DataCentre;
  PeerIndex Successor{};
};

/// The former manager of a data centre that this process manages has released all workers or is
/// lost.
struct ClaimRemaining {
  std::string DataCentre;
  core::TimePoint ClaimAt;
};

struct ElectionChanges {
  std::vector<BeginManaging> Begun;
  std::vector<StopManaging> Stopped;
  std::vector<ClaimRemaining> Claims;
};

/// Elects the entry process that manages the workers of each data centre, from the heartbeats of
/// all processes. During a network partition both sides may elect a manager; this costs time but is
/// safe, because a worker only obeys the highest fencing token.
///
/// A manager keeps this role until it stops, is lost, or a process in the workers' data centre
/// can replace a manager from another one. See CandidateRank for the order of candidates.
class PoolElection {
public:
  explicit PoolElection(CandidateState Self, core::TimePoint Now);

  void setDataCentres(std::set<std::string> Names) { DataCentres_ = std::move(Names); }
  void setReady(bool IsReady) { Self_.IsReady = IsReady; }
  void setStopping() { Self_.IsStopping = true; }
  /// Sets whether other entry processes are known, reachable or not.
  void setOthersExist(bool OthersExist) { OthersExist_ = OthersExist; }
  /// Sets the data centres that are reserved for a better-ranked process that is not linked yet.
  /// Empty if all processes are linked.
  void setReservedForOthers(std::set<std::string> DataCentres) {
    ReservedForOthers_ = std::move(DataCentres);
  }

  /// Updates the state of a peer. Returns whether it has changed.
  bool peerChanged(PeerIndex Peer, CandidateState State, core::TimePoint Now);
  /// HasEnded is true if the process has certainly ended and will not send further commands.
  void peerLost(PeerIndex Peer, bool HasEnded, core::TimePoint Now);

  /// Applies the election rules and returns what has changed for this process.
  ElectionChanges evaluate(core::TimePoint Now);

  /// Call when all workers of the data centre have been released.
  void released(const std::string &DataCentre) { Self_.Releasing.erase(DataCentre); }

  bool isManager(PeerIndex Peer) const;
  bool isManagerOf(PeerIndex Peer, const std::string &DataCentre) const;
  /// The peer that manages the workers of the data centre, if any.
  std::optional<PeerIndex> managerAmongPeers(const std::string &DataCentre) const;
  const std::set<std::string> &managed() const { return Self_.Managed; }
  const std::set<std::string> &releasing() const { return Self_.Releasing; }
  /// Data centres whose manager sends heartbeats to this process, or is this process.
  std::set<std::string> seen() const;

  /// The manager to which this process submits its callers' jobs: SelfPeer, a peer, or none.
  std::optional<PeerIndex> assignedManager() const;

private:
  struct Peer {
    CandidateState State;
    core::TimePoint UpSince;
  };

  struct LostManager {
    core::TimePoint ClaimAt;
  };

  bool ranksBefore(const CandidateState &Left, const CandidateState &Right,
                   const std::string &DataCentre) const;
  std::optional<PeerIndex> bestPeer(const std::string &DataCentre, core::TimePoint Now) const;
  bool isSeenByOthers(const std::string &DataCentre) const;
  std::optional<PeerIndex> successorFor(const std::string &DataCentre, core::TimePoint Now) const;
  void beginManagingIfElected(const std::string &DataCentre, core::TimePoint Now,
                              ElectionChanges &Changes);
  void checkReleases(ElectionChanges &Changes, core::TimePoint Now);

  CandidateState Self_;
  core::TimePoint StartedAt_;
  core::TimePoint IsolatedSince_; ///< When the last peer was lost, or the start of this process.
  bool OthersExist_ = false;
  std::set<std::string> DataCentres_;
  std::set<std::string> ReservedForOthers_;
  std::map<PeerIndex, Peer> Peers_;
  std::map<std::string, LostManager> LostManagers_;
  /// Data centres that this process manages while another one is still releasing their workers.
  std::map<std::string, PeerIndex> PendingReleases_;
};

} // namespace cornellift::kernel
