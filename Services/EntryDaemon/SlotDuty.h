#pragma once

#include "Kernel/Slots/SlotLender.h"
#include "Libraries/LibPeer/PeerClient.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/KernelThread.h"
#include "Services/EntryDaemon/MembershipDuty.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::entry {

/// Runs the SlotLender on the kernel's thread, so that grants and task starts exclude each other.
class SlotDuty {
public:
  enum class Company { Alone, WithPeers };

  SlotDuty(KernelThread &Kernel, const CurrentConfiguration &Configuration, MembershipDuty &Members,
           peer::PeerClient &Client, Company Expected);

  /// Call when the members' own record is set, before the first tick().
  void prepare();

  /// On the kernel's thread, after each tick.
  void tick(const kernel::Scheduler &Scheduler, core::TimePoint Now);

  /// Answers a peer. Empty with Unavailable when the kernel does not answer in time, or with the
  /// lender's reason.
  std::optional<peer::BorrowSlotsReply> lend(const peer::BorrowSlotsRequest &Request);

  void recalled(const peer::ReturnSlotsRequest &Request);

private:
  void updateEndpoints(core::TimePoint Now, kernel::SlotActions &Out);
  void updatePeers(core::TimePoint Now, kernel::SlotActions &Out);
  void perform(const kernel::SlotActions &Actions);
  void sendBorrow(const kernel::SendBorrow &Action);
  void sendRecall(const kernel::SendRecall &Action);
  std::string addressOf(kernel::Incarnation Process) const;
  template <typename Message>
  std::vector<kernel::SlotGrant> decodeGrants(const Message &Grants) const;
  /// Numbers the configured teams by name and returns their shares by index.
  std::vector<double> rankTeams();
  peer::VmDemand encode(const kernel::VmDemand &Demand) const;
  /// Empty when there is none or its configuration is not the one in force here.
  template <typename Message>
  std::optional<kernel::VmDemand> decodeDemand(const Message &From) const;
  std::vector<kernel::ServiceIndex> decodeServices(const peer::BorrowSlotsRequest &Request) const;
  std::string nameOf(kernel::EndpointIndex Endpoint) const;

  KernelThread &Kernel_;
  const CurrentConfiguration &CurrentConfiguration_;
  MembershipDuty &Members_;
  peer::PeerClient &Client_;
  Company Expected_;
  // Used on the kernel's thread only.
  std::unique_ptr<kernel::SlotLender> Lender_;
  std::shared_ptr<const kernel::KernelConfiguration> Configuration_;
  std::map<std::string, kernel::EndpointIndex, std::less<>> Indexes_;
  std::vector<kernel::TeamIndex> TeamsByRank_; ///< Configured teams in the order of their names.
  std::vector<std::optional<std::uint32_t>> Ranks_; ///< By team.
  std::string DataCentre_;
  core::TimePoint NextPeers_;
};

} // namespace cornellift::entry
