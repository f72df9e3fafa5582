#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Membership/MemberRecord.h"
#include "Kernel/Scheduler.h"
#include "Kernel/Slots/MaxMinAllocation.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornellift::kernel {

/// An endpoint of the local data centre that may get work.
struct LenderEndpoint {
  EndpointIndex Endpoint{};
  std::string Name;
  std::uint32_t Slots = 0;
  std::vector<ServiceIndex> Services{}; ///< Services that it offers.
};

/// An entry VM of the local data centre, including this process itself, with its last reported
/// load.
struct LenderPeer {
  std::string EntryVm;
  Incarnation Process;
  std::uint32_t WaitingTasks = 0;
  std::uint32_t FreeSlots = 0;
  /// A stopping VM owns no slots, but borrows some to finish the jobs that it has started.
  enum class Role : std::uint8_t { Owner, Stopping } PeerRole{};
};

/// Slots and demand of the local Scheduler.
struct SlotDemand {
  std::uint32_t WaitingTasks = 0;
  std::uint32_t FreeSlots = 0;
  std::function<EndpointUsage(EndpointIndex)> UseOf;
  std::vector<TeamDemand> Teams{};
  std::vector<ServiceIndex> Services{}; ///< Services of the waiting tasks; empty means any.
};

struct SlotGrant {
  EndpointIndex Endpoint{};
  std::uint32_t Slots = 0;
};

/// Lists all slots that the borrower keeps and how many more it wants, so that the next request
/// corrects the effects of a lost request or reply.
struct BorrowRequest {
  Incarnation Borrower;
  std::uint64_t Sequence = 0; ///< Increasing; outdated requests are refused.
  std::vector<SlotGrant> Kept;
  std::uint32_t Wanted = 0;
  std::vector<ServiceIndex> Services{}; ///< Wanted slots offer one of these; empty means any.
  std::optional<VmDemand> Demand{};     ///< Demand of the borrower; not in every request.
};

/// All slots that the borrower may use until the lease ends. The lease is counted from the time at
/// which the borrower sent the request.
struct BorrowReply {
  std::vector<SlotGrant> Grants{};
  core::Duration Lease{0};
  /// Further slots that the owner reserves for the borrower and grants as its tasks on them end.
  std::uint32_t ReservedSlots = 0;
  std::optional<VmDemand> Demand{}; ///< Demand of the owner, if the request has the borrower's.
};

/// Sets the number of slots of the endpoint that the local Scheduler may use.
struct SetSlots {
  EndpointIndex Endpoint{};
  std::uint32_t Slots = 0;
};

/// Sends the request to the owner. Complete it with borrowReplied or borrowFailed.
struct SendBorrow {
  std::string Owner;
  Incarnation Process;
  BorrowRequest Request;
};

/// Requests the return of slots from the borrower as soon as its tasks on them end.
struct SendRecall {
  std::string Borrower;
  Incarnation Process;
  std::vector<SlotGrant> Wanted;
};

/// Slots that each team is entitled to on this VM; see Scheduler::setTeamTargets.
struct SetTeamTargets {
  std::vector<double> Targets;
};

using SlotAction = std::variant<SetSlots, SendBorrow, SendRecall, SetTeamTargets>;
using SlotActions = std::vector<SlotAction>;

struct SlotLenderSettings {
  core::Duration Lease = std::chrono::seconds(2);
  /// Delay before slots of another VM are taken over, so that the leases that it granted have
  /// ended.
  core::Duration TakeoverDelay = std::chrono::seconds(2);
  /// A VM that loses an endpoint to a VM that joined keeps using it for this time, which gives the
  /// membership change time to spread and is well below the takeover delay.
  core::Duration ReleaseDelay = std::chrono::seconds(1);
  /// Takeover delay when the process starts. Zero when it has no peers.
  core::Duration InitialDelay = std::chrono::seconds(2);
  core::Duration RenewInterval = std::chrono::milliseconds(800);
  core::Duration RetryInterval = std::chrono::milliseconds(300);
  /// Unused borrowed slots are returned after this time.
  core::Duration IdleTime = std::chrono::milliseconds(300);
  core::Duration RecallInterval = std::chrono::milliseconds(100);
  /// Time without further requests to an owner after a recall, or when it had nothing to lend.
  core::Duration RefusalBackoff = std::chrono::milliseconds(500);
  /// Time without further borrowing after borrowed slots were never used; doubles up to the
  /// maximum.
  core::Duration UnusedBorrowBackoff = std::chrono::seconds(1);
  core::Duration MaximumUnusedBorrowBackoff = std::chrono::seconds(16);
  std::uint32_t MaximumWanted = 256; ///< Per request.
  /// While tasks wait, each pair of VMs exchanges reports of the tasks of their teams at least this
  /// often. With 58 teams on 7 VMs, this costs 1.3 KB/s per VM.
  core::Duration ReportInterval = std::chrono::seconds(2);
  core::Duration ReportLifetime = std::chrono::seconds(6);
  /// A request that only renews or returns slots has a report if the last one is older than this.
  core::Duration MinimumReportInterval = std::chrono::milliseconds(500);
  /// A report younger than this takes precedence over the load in heartbeats.
  core::Duration FreshReport = std::chrono::seconds(1);
  core::Duration OfferInterval = std::chrono::milliseconds(20);
  /// Time for which an owner reserves slots for a borrower, and the delay after which the borrower
  /// requests them again.
  core::Duration ReservationTime = std::chrono::milliseconds(250);
  core::Duration ReservationRetryDelay = std::chrono::milliseconds(20);
  /// Minimum time between two returns of slots to the same owner.
  core::Duration ReturnInterval = std::chrono::milliseconds(20);
  core::Duration TargetInterval = std::chrono::milliseconds(50);
};

/// Decides which slots of the data centre's endpoints this process may use. The owner of an
/// endpoint is the ready VM with the highest rendezvous hash; it lends idle slots to peers with
/// waiting tasks. While the data centre has more tasks than slots, VMs that hold more than their
/// target in the MaxMinAllocation give slots to those that hold less. Deterministic.
class SlotLender {
public:
  SlotLender(std::string OwnName, Incarnation Own, SlotLenderSettings Settings);

  void setEndpoints(std::vector<LenderEndpoint> Endpoints, core::TimePoint Now, SlotActions &Out);
  void setPeers(std::vector<LenderPeer> Peers, core::TimePoint Now, SlotActions &Out);
  /// Quota shares by team.
  void setShares(std::vector<double> Shares) { Shares_ = std::move(Shares); }

  /// Call after changes of the demand and at least every 50 ms.
  void tick(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);

  /// Handles a request of a peer. Returns an empty optional, with NotFound when the borrower is not
  /// a known live member, or with Expired when it has sent a later request.
  std::optional<BorrowReply> lend(const BorrowRequest &Request, const SlotDemand &Demand,
                                  core::TimePoint Now, SlotActions &Out);

  void borrowReplied(Incarnation Owner, std::uint64_t Sequence, const BorrowReply &Reply,
                     core::TimePoint Now, SlotActions &Out);
  void borrowFailed(Incarnation Owner, std::uint64_t Sequence, core::TimePoint Now);

  /// The owner wants slots back.
  void recalled(Incarnation Owner, std::span<const SlotGrant> Wanted, core::TimePoint Now,
                SlotActions &Out);

  /// Name of the VM that owns, or is to take over, the slots of the endpoint; empty when no VM is
  /// ready.
  std::string designatedOwner(std::string_view EndpointName) const;

private:
  struct Loan {
    std::uint32_t Slots = 0;
    core::TimePoint Until{};
  };
  struct Borrowed {
    std::uint32_t Slots = 0;  ///< Slots under the lease.
    std::uint32_t Target = 0; ///< Number of them that may be used.
    bool EverUsed = false;
    core::TimePoint UsedAt{};
  };
  struct EndpointSlots {
    std::string Name{};
    std::uint32_t Total = 0;
    std::optional<core::TimePoint> OwnedFrom{};
    std::optional<core::TimePoint> ReleasedAt{};
    std::map<std::uint64_t, Loan> Lent{}; ///< By borrower.
    std::uint32_t Withheld = 0; ///< Reserved slots, which this process does not use itself.
    std::vector<ServiceIndex> Services{};
    std::uint32_t Published = 0;
  };
  /// Slots borrowed from one owner, and the state of the requests to it.
  struct OwnerState {
    std::string Owner{};
    std::map<EndpointIndex, Borrowed> Held{};
    core::TimePoint Until{};
    core::TimePoint RenewAt{};
    core::TimePoint ReturnAt{};     ///< Earliest time of the next return of slots.
    core::TimePoint NextBorrowAt{}; ///< Earliest time of the next request for more slots.
    core::TimePoint ReportAt{};     ///< Requests have a report from this time on.
    struct Pending {
      std::uint64_t Sequence = 0;
      std::uint32_t Wanted = 0;
      core::TimePoint SentAt{};
    };
    std::optional<Pending> Request{};
  };
  struct Borrower {
    std::uint64_t LastSequence = 0;
    core::TimePoint RecallAt{};
  };
  struct Reservation {
    std::uint32_t Slots = 0;
    core::TimePoint Until{};
  };
  struct Choice {
    const LenderPeer *Peer = nullptr;
    std::uint32_t Slots = 0;
  };
  struct Report {
    VmDemand Demand;
    core::TimePoint At{};
  };

  bool owns(const EndpointSlots &Item, core::TimePoint Now) const;
  std::uint32_t lent(const EndpointSlots &Item, core::TimePoint Now) const;
  void updateOwnership(core::TimePoint Now, core::Duration Delay);
  void publish(core::TimePoint Now, SlotActions &Out);
  std::uint32_t borrowedOf(EndpointIndex Endpoint, core::TimePoint Now) const;
  void recordUse(const SlotDemand &Demand, core::TimePoint Now);
  void returnIdle(const SlotDemand &Demand, core::TimePoint Now);
  void backOffIfUnused(const Borrowed &Held, core::TimePoint Now);
  void renew(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  void borrowMore(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  /// Returns the peer that can lend most slots, and their number.
  Choice chooseLender(std::uint32_t Deficit, core::TimePoint Now) const;
  void recall(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  std::vector<SlotGrant> kept(const OwnerState &Item, const SlotDemand &Demand) const;
  enum class Reporting { Always, WhenDue };
  void send(std::uint64_t Owner, OwnerState &Item, std::vector<SlotGrant> Kept,
            std::uint32_t Wanted, Reporting When, core::TimePoint Now, SlotActions &Out);
  core::TimePoint leaseEnd(const EndpointSlots &Item, core::TimePoint Now) const;
  /// Slots of the endpoint that are neither lent nor in use.
  std::uint32_t idle(const EndpointSlots &Item, EndpointIndex Endpoint, const SlotDemand &Demand,
                     core::TimePoint Now) const;
  /// Renews the loans that the request keeps. Returns how many slots the borrower has given back.
  std::uint32_t renewLoans(const BorrowRequest &Request, const SlotDemand &Demand,
                           core::TimePoint Now, std::map<EndpointIndex, std::uint32_t> &Next);
  std::uint32_t grant(const BorrowRequest &Request, std::uint32_t Wanted, const SlotDemand &Demand,
                      core::TimePoint Now, std::map<EndpointIndex, std::uint32_t> &Next);

  // Implemented in SlotLenderShares.cpp:
  VmDemand ownDemand(const SlotDemand &Demand, core::TimePoint Now) const;
  /// Slots without a task, neither running nor waiting.
  static std::uint32_t idleIn(const VmDemand &Demand);
  /// Returns the report for peers.
  VmDemand report(core::TimePoint Now) const;
  void recordReport(Incarnation Peer, const std::optional<VmDemand> &Demand, core::TimePoint Now);
  /// Adjusts the peer's report for the slots that it got or gave back here since.
  void correctReport(Incarnation Peer, std::uint32_t Got, std::uint32_t GaveBack);
  /// Computes how many slots each known VM lacks of its target.
  void computeDeficits(const SlotDemand &Demand, core::TimePoint Now);
  std::uint32_t surplusOf(std::uint64_t Process) const;
  /// Returns whether this VM lacks at least half of its target and the peer lacks no more slots
  /// than it even after lending it one.
  bool peerMayLendOne(std::uint64_t Process) const;
  /// Returns the reverse: whether the peer may borrow one from this VM.
  bool peerMayBorrowOne(std::uint64_t Process) const;
  std::uint32_t ownSurplus() const;
  std::uint32_t ownDeficit() const;
  /// Withholds slots from own use until the reserved ones are idle.
  void applyReservations(const SlotDemand &Demand, core::TimePoint Now);
  std::uint32_t reservedForOthers(std::uint64_t Borrower) const;
  /// Returns borrowed slots beyond the own target, as far as peers lack slots.
  void returnSurplus(const SlotDemand &Demand, core::TimePoint Now);
  void requestReports(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  /// Reports idle slots to the peer that lacks most.
  void offer(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  void publishTargets(core::TimePoint Now, SlotActions &Out);

  std::string OwnName_;
  Incarnation Own_;
  SlotLenderSettings Settings_;
  std::map<EndpointIndex, EndpointSlots> Endpoints_;
  std::map<std::string, LenderPeer> Peers_;
  std::map<std::uint64_t, OwnerState> Owners_;
  std::map<std::uint64_t, Borrower> Borrowers_;
  std::map<std::uint64_t, Reservation> Reservations_; ///< By borrower.
  std::map<std::uint64_t, Report> Reports_;           ///< By peer.
  std::map<std::uint64_t, double> Deficits_; ///< Slots that a peer lacks; negative for a surplus.
  double OwnDeficit_ = 0;
  std::uint32_t PeerDeficit_ = 0; ///< Whole slots that the peers lack in total.
  VmDemand OwnDemand_;
  std::vector<ServiceIndex> WantedServices_;
  std::vector<double> Shares_;
  std::vector<double> TeamTargets_;
  std::vector<double> PublishedTargets_;
  core::TimePoint NextTargets_;
  core::TimePoint NextOffer_;
  std::uint64_t LastSequence_ = 0;
  core::TimePoint NoBorrowUntil_;
  core::Duration UnusedBorrowBackoff_;
  std::optional<core::TimePoint> NothingWaitingSince_;
  std::optional<core::TimePoint> EarliestOwnership_;
};

} // namespace cornellift::kernel
