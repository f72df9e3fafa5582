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

/// An endpoint of the own data centre that may get work.
struct LenderEndpoint {
  EndpointIndex Endpoint{};
  std::string Name;
  std::uint32_t Slots = 0;
  std::vector<ServiceIndex> Services{}; ///< That it offers.
};

/// An entry VM of the own data centre, this one included, with its last reported load.
struct LenderPeer {
  std::string EntryVm;
  Incarnation Process;
  std::uint32_t WaitingTasks = 0;
  std::uint32_t FreeSlots = 0;
  /// A stopping VM owns nothing, but borrows to finish the jobs that it has begun.
  enum class Role : std::uint8_t { Owner, Stopping } Part{};
};

/// What the local Scheduler has and wants.
struct SlotDemand {
  std::uint32_t WaitingTasks = 0;
  std::uint32_t FreeSlots = 0;
  std::function<EndpointUsage(EndpointIndex)> UseOf;
  std::vector<TeamDemand> Teams{};
  std::vector<ServiceIndex> Services{}; ///< Of the waiting tasks; empty means any.
};

struct SlotGrant {
  EndpointIndex Endpoint{};
  std::uint32_t Slots = 0;
};

/// A borrower states everything that it keeps and how many more slots it wants, so that a lost
/// request or reply is corrected by the next one.
struct BorrowRequest {
  Incarnation Borrower;
  std::uint64_t Sequence = 0; ///< Rising; late requests are refused.
  std::vector<SlotGrant> Kept;
  std::uint32_t Wanted = 0;
  std::vector<ServiceIndex> Services{}; ///< Wanted slots offer one of these; empty means any.
  std::optional<VmDemand> Demand{};     ///< Of the borrower; not in every request.
};

/// Everything that the borrower may use until the lease ends, counted from its sending the request.
struct BorrowReply {
  std::vector<SlotGrant> Grants{};
  core::Duration Lease{0};
  /// Further slots that the owner holds ready for the borrower as its tasks on them end.
  std::uint32_t ReservedSlots = 0;
  std::optional<VmDemand> Demand{}; ///< Of the owner, when the request has the borrower's.
};

/// The local Scheduler may use this many slots of the endpoint from now on.
struct SetSlots {
  EndpointIndex Endpoint{};
  std::uint32_t Slots = 0;
};

/// Sends the request to the owner. Answer with borrowReplied or borrowFailed.
struct SendBorrow {
  std::string Owner;
  Incarnation Process;
  BorrowRequest Request;
};

/// Asks the borrower to return slots as soon as its tasks on them end.
struct SendRecall {
  std::string Borrower;
  Incarnation Process;
  std::vector<SlotGrant> Wanted;
};

/// Slots due to each team on this VM; see Scheduler::setTeamTargets.
struct SetTeamTargets {
  std::vector<double> Targets;
};

using SlotAction = std::variant<SetSlots, SendBorrow, SendRecall, SetTeamTargets>;
using SlotActions = std::vector<SlotAction>;

struct SlotLenderSettings {
  core::Duration Lease = std::chrono::seconds(2);
  /// Wait before slots of another VM are taken over: the leases that it granted have ended then.
  core::Duration TakeoverDelay = std::chrono::seconds(2);
  /// A home that loses an endpoint to a VM that joined goes on using it for this time, which leaves
  /// the news of the join time to spread and is well below the takeover delay.
  core::Duration ReleaseDelay = std::chrono::seconds(1);
  /// The takeover delay when the process starts. Zero when it has no peers.
  core::Duration InitialDelay = std::chrono::seconds(2);
  core::Duration RenewInterval = std::chrono::milliseconds(800);
  core::Duration RetryInterval = std::chrono::milliseconds(300);
  /// Unused borrowed slots are returned after this time.
  core::Duration IdleTime = std::chrono::milliseconds(300);
  core::Duration RecallInterval = std::chrono::milliseconds(100);
  /// An owner that recalled or had nothing to lend is not asked again for this time.
  core::Duration RefusalBackoff = std::chrono::milliseconds(500);
  /// After slots were borrowed and not used once, no more are borrowed for this time; it doubles up
  /// to the maximum.
  core::Duration UnusedBorrowBackoff = std::chrono::seconds(1);
  core::Duration MaximumUnusedBorrowBackoff = std::chrono::seconds(16);
  std::uint32_t MaximumWanted = 256; ///< Per request.
  /// While tasks wait, each pair of VMs tells each other its teams' tasks at least this often. With
  /// 58 teams on 7 VMs that is 1.3 KB/s for each VM.
  core::Duration ReportInterval = std::chrono::seconds(2);
  core::Duration ReportLifetime = std::chrono::seconds(6);
  /// Requests that only renew or return have a report when the last one is older.
  core::Duration MinimumReportInterval = std::chrono::milliseconds(500);
  /// A younger report counts more than the load in heartbeats.
  core::Duration FreshReport = std::chrono::seconds(1);
  core::Duration OfferInterval = std::chrono::milliseconds(20);
  /// An owner keeps slots ready for a borrower for this time, and the borrower asks for them again
  /// after the pause.
  core::Duration ReservationTime = std::chrono::milliseconds(250);
  core::Duration ReservationRetryDelay = std::chrono::milliseconds(20);
  /// Between two returns of slots to one owner.
  core::Duration ReturnInterval = std::chrono::milliseconds(20);
  core::Duration TargetInterval = std::chrono::milliseconds(50);
};

/// Decides which slots of the data centre's endpoints this process may use. Each endpoint has one
/// home, the ready VM with the highest rendezvous hash; the home lends idle slots to peers with
/// waiting tasks. While the data centre has more tasks than slots, a VM that holds more than its
/// part of the MaxMinAllocation gives way to those that hold less. Deterministic.
class SlotLender {
public:
  SlotLender(std::string OwnName, Incarnation Own, SlotLenderSettings Settings);

  void setEndpoints(std::vector<LenderEndpoint> Endpoints, core::TimePoint Now, SlotActions &Out);
  void setPeers(std::vector<LenderPeer> Peers, core::TimePoint Now, SlotActions &Out);
  /// Quota shares by team.
  void setShares(std::vector<double> Shares) { Shares_ = std::move(Shares); }

  /// Call after changes of the demand and at least every 50 ms.
  void tick(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);

  /// A peer's request. Empty with NotFound when the borrower is not a live member as far as is
  /// known here, or with Expired when it has sent a later request.
  std::optional<BorrowReply> lend(const BorrowRequest &Request, const SlotDemand &Demand,
                                  core::TimePoint Now, SlotActions &Out);

  void borrowReplied(Incarnation Owner, std::uint64_t Sequence, const BorrowReply &Reply,
                     core::TimePoint Now, SlotActions &Out);
  void borrowFailed(Incarnation Owner, std::uint64_t Sequence, core::TimePoint Now);

  /// The owner wants slots back.
  void recalled(Incarnation Owner, std::span<const SlotGrant> Wanted, core::TimePoint Now,
                SlotActions &Out);

  /// Name of the VM that owns the endpoint's slots; empty when no VM is ready.
  std::string designatedOwner(std::string_view EndpointName) const;

private:
  struct Loan {
    std::uint32_t Slots = 0;
    core::TimePoint Until{};
  };
  struct Borrowed {
    std::uint32_t Slots = 0;  ///< Leased.
    std::uint32_t Target = 0; ///< At most this many may be used.
    bool EverUsed = false;
    core::TimePoint UsedAt{};
  };
  struct Slots {
    std::string Name{};
    std::uint32_t Total = 0;
    std::optional<core::TimePoint> OwnedFrom{};
    std::optional<core::TimePoint> ReleasedAt{};
    std::map<std::uint64_t, Loan> Lent{}; ///< By borrower.
    std::uint32_t Withheld = 0;           ///< From own use, for promises.
    std::vector<ServiceIndex> Services{};
    std::uint32_t Published = 0;
  };
  /// What this process has borrowed from one owner.
  struct OwnerState {
    std::string Owner{};
    std::map<EndpointIndex, Borrowed> Held{};
    core::TimePoint Until{};
    core::TimePoint RenewAt{};
    core::TimePoint ReturnAt{};     ///< Earliest moment to return slots.
    core::TimePoint NextBorrowAt{}; ///< Earliest moment to ask for more.
    core::TimePoint ReportAt{};     ///< A request of this moment or later has a report.
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

  bool owns(const Slots &Item, core::TimePoint Now) const;
  std::uint32_t lent(const Slots &Item, core::TimePoint Now) const;
  void updateOwnership(core::TimePoint Now, core::Duration Delay);
  void publish(core::TimePoint Now, SlotActions &Out);
  std::uint32_t borrowedOf(EndpointIndex Endpoint, core::TimePoint Now) const;
  void recordUse(const SlotDemand &Demand, core::TimePoint Now);
  void returnIdle(const SlotDemand &Demand, core::TimePoint Now);
  void backOffIfUnused(const Borrowed &Held, core::TimePoint Now);
  void renew(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  void borrowMore(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  /// The peer with most slots to lend.
  Choice chooseLender(std::uint32_t Deficit, core::TimePoint Now) const;
  void recall(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  std::vector<SlotGrant> kept(const OwnerState &Item, const SlotDemand &Demand) const;
  enum class Reporting { Always, WhenDue };
  void send(std::uint64_t Owner, OwnerState &Item, std::vector<SlotGrant> Kept,
            std::uint32_t Wanted, Reporting When, core::TimePoint Now, SlotActions &Out);
  core::TimePoint leaseEnd(const Slots &Item, core::TimePoint Now) const;
  /// Slots of the endpoint that are neither lent nor in use.
  std::uint32_t idle(const Slots &Item, EndpointIndex Endpoint, const SlotDemand &Demand,
                     core::TimePoint Now) const;
  /// Returns how many slots the borrower has given back.
  std::uint32_t renewLoans(const BorrowRequest &Request, const SlotDemand &Demand,
                           core::TimePoint Now, std::map<EndpointIndex, std::uint32_t> &Next);
  std::uint32_t grant(const BorrowRequest &Request, std::uint32_t Wanted, const SlotDemand &Demand,
                      core::TimePoint Now, std::map<EndpointIndex, std::uint32_t> &Next);

  // SlotLenderShares.cpp
  VmDemand ownDemand(const SlotDemand &Demand, core::TimePoint Now) const;
  /// Slots without a task, running or waiting.
  static std::uint32_t idleIn(const VmDemand &Demand);
  /// What to tell peers.
  VmDemand report(core::TimePoint Now) const;
  void recordReport(Incarnation Peer, const std::optional<VmDemand> &Demand, core::TimePoint Now);
  /// Keeps the peer's report in step with the slots that it got and gave back here.
  void correctReport(Incarnation Peer, std::uint32_t Got, std::uint32_t GaveBack);
  /// Computes what each known VM is due.
  void computeDeficits(const SlotDemand &Demand, core::TimePoint Now);
  std::uint32_t surplusOf(std::uint64_t Process) const;
  /// Whether the peer lacks less than this VM even after it has given it a slot.
  bool peerMayLendOne(std::uint64_t Process) const;
  /// The same in the other direction, for a peer that lacks a whole slot.
  bool peerMayBorrowOne(std::uint64_t Process) const;
  std::uint32_t ownSurplus() const;
  std::uint32_t ownDeficit() const;
  /// Withholds slots from own use until the promised ones are idle.
  void applyReservations(const SlotDemand &Demand, core::TimePoint Now);
  std::uint32_t reservedForOthers(std::uint64_t Borrower) const;
  /// Returns borrowed slots beyond the own part that other VMs are due.
  void returnSurplus(const SlotDemand &Demand, core::TimePoint Now);
  void requestReports(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  /// Tells the peer that lacks most slots that there are idle ones here.
  void offer(const SlotDemand &Demand, core::TimePoint Now, SlotActions &Out);
  void publishTargets(core::TimePoint Now, SlotActions &Out);

  std::string OwnName_;
  Incarnation Own_;
  SlotLenderSettings Settings_;
  std::map<EndpointIndex, Slots> Endpoints_;
  std::map<std::string, LenderPeer> Peers_;
  std::map<std::uint64_t, OwnerState> Owners_;
  std::map<std::uint64_t, Borrower> Borrowers_;
  std::map<std::uint64_t, Reservation> Reservations_; ///< By borrower.
  std::map<std::uint64_t, Report> Reports_;           ///< By peer.
  std::map<std::uint64_t, double>
      Deficits_; ///< Slots that a peer lacks; negative when it has more.
  double OwnDeficit_ = 0;
  std::uint32_t PeerDeficit_ = 0; ///< Slots that the peers lack together.
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
