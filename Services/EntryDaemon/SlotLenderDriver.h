#pragma once

#include "Kernel/Slots/SlotLender.h"
#include "Libraries/LibPeer/PeerClient.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/KernelThread.h"
#include "Services/EntryDaemon/MembershipMonitor.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::entry {

/// Runs the SlotLender and sends its calls to the peers. The lender runs on the kernel's thread, so
/// that a slot cannot be lent and used for a task start at the same time.
class SlotLenderDriver {
public:
  enum class PeerMode { Standalone, WithPeers };

  SlotLenderDriver(KernelThread &Kernel, const CurrentConfiguration &Configuration,
                   MembershipMonitor &Members, peer::PeerClient &Client, PeerMode Mode);

  /// Creates the lender. Call after the own member record is set and before the first tick().
  void createLender();

  /// Call on the kernel's thread after each tick.
  void tick(const kernel::Scheduler &Scheduler, core::TimePoint Now);

  /// Handles a peer's request for slots. Empty with Unavailable when the kernel does not respond in
  /// time, or with the lender's reason for a refusal.
  std::optional<peer::BorrowSlotsReply> lend(const peer::BorrowSlotsRequest &Request);

  /// Handles the request of an owner to return slots.
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
  /// Ranks the configured teams by name and returns their quota shares by team index.
  std::vector<double> rankTeams();
  peer::VmDemand encode(const kernel::VmDemand &Demand) const;
  /// Empty when the message has no demand, or one for another configuration version than the one in
  /// force here.
  template <typename Message>
  std::optional<kernel::VmDemand> decodeDemand(const Message &From) const;
  std::vector<kernel::ServiceIndex> decodeServices(const peer::BorrowSlotsRequest &Request) const;
  std::string nameOf(kernel::EndpointIndex Endpoint) const;

  KernelThread &Kernel_;
  const CurrentConfiguration &CurrentConfiguration_;
  MembershipMonitor &Members_;
  peer::PeerClient &Client_;
  PeerMode Mode_;
  // Used on the kernel's thread only.
  std::unique_ptr<kernel::SlotLender> Lender_;
  std::shared_ptr<const kernel::KernelConfiguration> Configuration_;
  std::map<std::string, kernel::EndpointIndex, std::less<>> EndpointIndexes_;
  std::vector<kernel::TeamIndex> TeamsByRank_; ///< Configured teams in the order of their names.
  std::vector<std::optional<std::uint32_t>> Ranks_; ///< By team index.
  std::string DataCentre_;
  core::TimePoint NextPeerUpdate_;
};

} // namespace cornellift::entry
