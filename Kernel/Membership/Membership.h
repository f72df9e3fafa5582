#pragma once

#include "Kernel/Membership/MemberTable.h"

#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cornellift::kernel {

/// Identifies a probe until its reply, failure or deadline.
enum class ProbeToken : std::uint64_t {};

/// Probes a peer. Answer with probeReplied or probeFailed.
struct SendProbe {
  ProbeToken Token{};
  std::string Address;
  core::TimePoint Deadline;
  Heartbeat Own;
};

/// Probes the target indirectly, through a helper. Answer with probeReplied or probeFailed.
struct SendIndirectProbe {
  ProbeToken Token{};
  std::string HelperAddress;
  std::string TargetAddress;
  Incarnation Target;
  core::TimePoint Deadline;
};

/// Sends records. The reply to a full announcement has to be passed to announced().
struct SendAnnouncement {
  std::string Address;
  Announcement Content;
};

using MembershipAction = std::variant<SendProbe, SendIndirectProbe, SendAnnouncement>;
using MembershipActions = std::vector<MembershipAction>;

/// An entry VM in the platform's list, which is delayed.
struct ListedVm {
  std::string EntryVm;
  std::string Address;
  std::string DataCentre;
  enum class Status : std::uint8_t { Live, Leaving } State{};
};

struct MembershipSettings {
  std::size_t Successors = 2;
  core::Duration ProbeInterval = std::chrono::milliseconds(400);
  core::Duration ProbeTimeout = std::chrono::milliseconds(300);
  /// Time from the first missed probe until the target is declared dead. Together with the interval
  /// and the timeout, a VM is declared dead 0.8 s to 1.1 s after its last reply.
  core::Duration SuspicionTime = std::chrono::milliseconds(400);
  core::Duration RetryInterval = std::chrono::milliseconds(130);
  /// Relays announce new configurations to each other immediately. The next probe compensates for a
  /// lost announcement, within the 5 s in which a change has to be in force.
  core::Duration GatewayInterval = std::chrono::seconds(4);
  core::Duration GatewayTimeout = std::chrono::seconds(1);
  /// Three missed gateway probes in a row.
  core::Duration DataCentreTimeout = std::chrono::seconds(7);
  core::Duration ContactInterval = std::chrono::seconds(2);
  core::Duration JoinInterval = std::chrono::milliseconds(300);
  /// A longer gap between ticks means that this process was paused; replies that it missed in that
  /// time do not show that a peer failed.
  core::Duration PauseThreshold = std::chrono::milliseconds(250);
  core::Duration LoadInterval = std::chrono::seconds(1);
};

/// Failure detector and view of the entry VMs. Inside a data centre each process probes its two
/// successors in the ring of names; the relay also probes one VM, the gateway, of each other data
/// centre. Announcements spread the records, and the digest in each heartbeat reveals lost
/// announcements. Deterministic.
class Membership {
public:
  Membership(MemberRecord Own, MembershipSettings Settings, std::uint64_t Seed);

  /// Addresses to request the first records from.
  void setSeeds(std::vector<std::string> Addresses) { Seeds_ = std::move(Addresses); }

  /// Call at least every 50 ms.
  void tick(core::TimePoint Now, MembershipActions &Out);

  void probeReplied(ProbeToken Token, const Heartbeat &Reply, core::TimePoint Now,
                    MembershipActions &Out);
  void probeFailed(ProbeToken Token, core::TimePoint Now, MembershipActions &Out);

  /// Handles a peer's probe and returns the reply.
  Heartbeat heartbeatReceived(const Heartbeat &Sender, core::TimePoint Now);

  /// Merges records from a peer. Returns the records for the peer to merge: all when it sent all.
  Announcement announced(const Announcement &Update, core::TimePoint Now, MembershipActions &Out);

  void platformListReceived(std::vector<ListedVm> Listed, core::TimePoint Now,
                            MembershipActions &Out);

  void setStanding(MemberStanding Standing, core::TimePoint Now, MembershipActions &Out);
  void setLoad(std::uint32_t WaitingTasks, std::uint32_t FreeSlots, std::uint64_t Version,
               core::TimePoint Now);
  void announceSuccession(SuccessionRecord Record, core::TimePoint Now, MembershipActions &Out);

  /// Receivers of an announcement: the own data centre, or also one VM of each other data centre.
  enum class Reach : std::uint8_t { OwnDataCentre, Everywhere };
  void announceVersion(std::uint64_t Version, Reach Range, core::TimePoint Now,
                       MembershipActions &Out);

  const MemberRecord &own() const { return Own_; }
  const MemberTable &table() const { return Table_; }
  Heartbeat heartbeat(core::TimePoint Now);

  /// Name of the VM that watches the platform for this data centre: the live ready VM with the
  /// lowest name, or the lowest starting one while none is ready. Empty when this process has been
  /// replaced and knows no other.
  std::string relay() const;
  bool isRelay() const { return relay() == Own_.EntryVm; }

  /// True when the data centre's gateway does not answer this data centre's relay.
  bool isUnreachable(std::string_view DataCentre) const;

  /// The next live VM in the ring that is ready; the choice for a transfer at shutdown.
  std::optional<MemberRecord> nextReady() const;

  /// Load that the process last reported; empty when none is known.
  std::optional<LoadRecord> loadOf(Incarnation Process) const;

  /// True when a peer has sent its records, or when no peer could be reached in time.
  bool hasJoined() const { return Joined_; }

private:
  struct PeerMonitor {
    MemberRecord Target{};
    enum class Phase : std::uint8_t { Idle, Probing, Suspected } State{};
    core::TimePoint NextAt{};
    core::TimePoint Deadline{}; ///< Deadline of the probe, or end of the suspicion time.
    std::optional<core::TimePoint> RetryAt{};
    std::set<ProbeToken> Tokens{};
    int DigestMismatches = 0;
  };
  struct Gateway {
    core::TimePoint NextAt{};
    core::TimePoint LastReplyAt{};
    std::size_t Choice = 0;
    std::optional<ProbeToken> Token{};
    core::TimePoint Deadline{};
    int DigestMismatches = 0;
  };
  struct GossipedLoad {
    LoadRecord Load{};
    int SendsLeft = 0;
    core::TimePoint ReceivedAt{};
  };

  bool isPeer(const MemberRecord &Record) const;
  std::vector<const MemberRecord *> localPeers() const;
  void resumeAfterPause(core::Duration Gap, core::TimePoint Now);
  void updateMonitors(core::TimePoint Now);
  void runMonitor(PeerMonitor &Item, core::TimePoint Now, MembershipActions &Out);
  void probe(PeerMonitor &Item, core::TimePoint Deadline, core::TimePoint Now,
             MembershipActions &Out);
  void suspect(PeerMonitor &Item, core::TimePoint Now, MembershipActions &Out);
  void requestIndirectProbes(PeerMonitor &Item, MembershipActions &Out);
  void declareDead(const MemberRecord &Target, core::TimePoint Now, MembershipActions &Out);
  void confirmAlive(PeerMonitor &Item, const Heartbeat &Reply, core::TimePoint Now,
                    MembershipActions &Out);
  void runGateways(core::TimePoint Now, MembershipActions &Out);
  void runGateway(const std::string &DataCentre, Gateway &Item, core::TimePoint Now,
                  MembershipActions &Out);
  void gatewayProbeMissed(Gateway &Item, core::TimePoint Now) const;
  std::set<std::string> otherDataCentres() const;
  std::vector<std::string> gatewayAddresses(std::string_view DataCentre) const;
  void updateUnreachable(core::TimePoint Now, MembershipActions &Out);
  void contact(core::TimePoint Now, MembershipActions &Out);
  void checkDigest(const Heartbeat &Reply, const std::string &Address, int &Mismatches,
                   core::TimePoint Now, MembershipActions &Out);
  void sync(const std::string &Address, core::TimePoint Now, MembershipActions &Out);
  void publishOwn(core::TimePoint Now, MembershipActions &Out);
  void broadcast(const Announcement &Update, MembershipActions &Out) const;
  void sendToOtherDataCentres(const Announcement &Update, MembershipActions &Out) const;
  bool mergeMember(const MemberRecord &Record, core::TimePoint Now, MembershipActions &Out);
  bool mergeOwn(const MemberRecord &Record, core::TimePoint Now, MembershipActions &Out);
  void recordLoad(const LoadRecord &Load, core::TimePoint Now);
  Announcement fullAnnouncement() const;
  ProbeToken newToken() { return ProbeToken(++LastToken_); }

  MemberRecord Own_;
  MembershipSettings Settings_;
  std::mt19937_64 Random_;
  MemberTable Table_;
  std::vector<std::string> Seeds_;
  std::vector<ListedVm> Listed_;
  std::map<std::string, PeerMonitor> Monitors_;
  std::map<std::string, Gateway> Gateways_;
  std::map<std::uint64_t, GossipedLoad> Loads_;
  LoadRecord OwnLoad_;
  core::TimePoint NextLoadAt_;
  std::optional<core::TimePoint> LastTick_;
  core::TimePoint NextContactAt_;
  core::TimePoint NextSyncAt_;
  core::TimePoint NextExpiryAt_;
  std::map<ProbeToken, std::string> ContactProbes_;
  std::uint64_t MonitoredVersion_ = 0;
  std::uint64_t LastToken_ = 0;
  bool Joined_ = false;
  bool Superseded_ = false;
};

} // namespace cornellift::kernel
