#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibPeer/PeerClient.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/IssuerNames.h"
#include "Services/EntryDaemon/KernelThread.h"
#include "Services/EntryDaemon/MembershipMonitor.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cornellift::entry {

/// Delegates tasks to entry VMs of other data centres while tasks wait and neither this VM nor the
/// other VMs of its data centre have free slots. Each other data centre is a further endpoint to
/// the scheduler, with as many slots as the chosen VM there reported idle.
class DelegationClient {
public:
  DelegationClient(KernelThread &Kernel, const CurrentConfiguration &Configuration,
                   MembershipMonitor &Members, peer::PeerClient &Client, const IssuerNames &Names,
                   kernel::Incarnation Own);

  /// Grants slots of other data centres. Called on the kernel's thread after each tick.
  void tick(const kernel::Scheduler &Scheduler, core::TimePoint Now);

  /// Carries out an action for another data centre; returns false for other actions. Called on the
  /// kernel's thread.
  bool perform(const kernel::Action &Next);

private:
  /// The process that a task was sent to.
  struct Target {
    std::string Address;
    kernel::Incarnation Process;
  };
  /// An endpoint that represents another data centre.
  struct RemoteDataCentre {
    std::string Name;
    Target Receiver;
    std::uint32_t LoadSequence = 0;
    std::uint32_t StartedSince = 0; ///< Number of tasks started since that load was reported.
    std::uint32_t Published = 0;    ///< Slots last reported to the kernel.
  };

  void updateConfiguration();
  bool hasIdleNeighbour(const kernel::Membership &View) const;
  /// Returns the number of idle slots there. Running is the number of tasks that this process runs
  /// there now.
  std::uint32_t idleSlots(const kernel::Membership &View, RemoteDataCentre &Item,
                          std::uint32_t Running) const;
  bool carryOut(const kernel::StartTask &Action);
  bool carryOut(const kernel::AskTask &Action);
  bool carryOut(const kernel::FenceTask &Action);
  bool carryOut(const kernel::ProbeEndpoint &Action);
  template <typename Other> bool carryOut(const Other &) { return false; }
  bool sendControlRequest(kernel::TaskId Task, kernel::EndpointIndex Endpoint,
                          std::uint32_t Attempt, kernel::AskDelegated::Operation Purpose);
  peer::DelegateTaskRequest encodeStart(const kernel::StartTask &Action,
                                        const Target &Receiver) const;
  std::optional<Target> targetOf(kernel::TaskId Task);
  void removeTarget(kernel::TaskId Task);

  KernelThread &Kernel_;
  const CurrentConfiguration &CurrentConfiguration_;
  MembershipMonitor &Members_;
  peer::PeerClient &Client_;
  const IssuerNames &Names_;
  const kernel::Incarnation Own_;
  // Used only on the kernel's thread.
  std::shared_ptr<const kernel::KernelConfiguration> Configuration_;
  std::map<kernel::EndpointIndex, RemoteDataCentre> RemoteDataCentres_;
  core::TimePoint NextUpdate_;
  /// Since when tasks have waited without a free slot.
  std::optional<core::TimePoint> SaturatedSince_;

  std::mutex Mutex_;
  std::map<kernel::TaskId, Target> Targets_; ///< Targets of tasks that have not ended.
};

} // namespace cornellift::entry
