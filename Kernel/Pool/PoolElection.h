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

/// What an entry process says of itself in its heartbeats.
struct CandidateState {
  std::string Vm;
  std::string DataCentre;
  std::uint32_t Weight = 1; ///< Relative processing power.
  bool IsReady = false;
  bool IsStopping = false;
  std::set<std::string> Managed;   ///< Data centres whose workers it manages.
  std::set<std::string> Releasing; ///< Data centres whose workers it is letting go of.
  std::set<std::string> Seen;      ///< Data centres of whose manager it hears.

  bool operator==(const CandidateState &) const = default;
};

/// This process is to manage the workers of a data centre.
struct BeginManaging {
  std::string DataCentre;
  /// Claim the workers from then on; far in the future while another process releases them one by
  /// one.
  core::TimePoint ClaimAt;
  /// The process that releases them; when it is lost, the rest may be claimed.
  std::optional<PeerIndex> ReleasedBy;
};

/// This process is to let go of the workers of a data centre as they become empty.
struct StopManaging {
  std::string DataCentre;
  PeerIndex Successor{};
};

/// Another process has let go of all workers of a data centre that this one manages.
struct ClaimRemaining {
  std::string DataCentre;
  core::TimePoint ClaimAt;
};

struct ElectionChanges {
  std::vector<BeginManaging> Begun;
  std::vector<StopManaging> Stopped;
  std::vector<ClaimRemaining> Claims;
};

/// Decides which entry process manages the workers of which data centre, from what the processes
/// tell each other. A wrong decision on both sides of a cut costs time, not safety: a worker obeys
/// the highest fencing token only.
///
/// A manager stays one until it stops, is lost, or has its place in another data centre than the
/// workers. The processes of the workers' data centre come first, then the more powerful ones.
class PoolElection {
public:
  explicit PoolElection(CandidateState Self, core::TimePoint Now);

  void setDataCentres(std::set<std::string> Names) { DataCentres_ = std::move(Names); }
  void setReady(bool IsReady) { Self_.IsReady = IsReady; }
  void setStopping() { Self_.IsStopping = true; }
  /// Whether other entry processes are known, reachable or not.
  void setOthersExist(bool OthersExist) { OthersExist_ = OthersExist; }
  /// Data centres that another process is to manage, although there is no link to it yet. Empty
  /// where all processes are linked.
  void setReservedForOthers(std::set<std::string> DataCentres) {
    ReservedForOthers_ = std::move(DataCentres);
  }

  /// Returns whether the state differs from the one known before.
  bool peerChanged(PeerIndex Peer, CandidateState State, core::TimePoint Now);
  /// HasEnded: the process is gone for certain, and orders nothing any more.
  void peerLost(PeerIndex Peer, bool HasEnded, core::TimePoint Now);

  ElectionChanges evaluate(core::TimePoint Now);

  /// All workers of the data centre have been let go of.
  void released(const std::string &DataCentre) { Self_.Releasing.erase(DataCentre); }

  bool isManager(PeerIndex Peer) const;
  const std::set<std::string> &managed() const { return Self_.Managed; }
  const std::set<std::string> &releasing() const { return Self_.Releasing; }
  /// Data centres of whose manager this process hears, its own included.
  std::set<std::string> seen() const;

  /// Who takes the jobs of this process's callers: SelfPeer, a peer, or nobody.
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
  std::optional<PeerIndex> managerAmongPeers(const std::string &DataCentre) const;
  std::optional<PeerIndex> bestPeer(const std::string &DataCentre, core::TimePoint Now) const;
  bool isSeenByOthers(const std::string &DataCentre) const;
  std::optional<PeerIndex> successorFor(const std::string &DataCentre, core::TimePoint Now) const;
  void considerBegin(const std::string &DataCentre, core::TimePoint Now, ElectionChanges &Changes);
  void checkReleases(ElectionChanges &Changes, core::TimePoint Now);

  CandidateState Self_;
  core::TimePoint StartedAt_;
  core::TimePoint IsolatedSince_; ///< When the last peer was lost, or the start.
  bool OthersExist_ = false;
  std::set<std::string> DataCentres_;
  std::set<std::string> ReservedForOthers_;
  std::map<PeerIndex, Peer> Peers_;
  std::map<std::string, LostManager> LostManagers_;
  /// Data centres that this process manages while another one still releases their workers.
  std::map<std::string, PeerIndex> PendingReleases_;
};

} // namespace cornellift::kernel
