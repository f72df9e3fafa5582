#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibPeer/PeerClient.h"
#include "Services/EntryDaemon/ConfigurationBoard.h"
#include "Services/EntryDaemon/IssuerNames.h"
#include "Services/EntryDaemon/KernelThread.h"
#include "Services/EntryDaemon/MembershipMonitor.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cornellift::entry {

/// Starts tasks through entry VMs of other data centres while tasks wait and neither this VM nor
/// its neighbours have free slots. Such a VM appears to the scheduler as one more endpoint, with as
/// many slots as it reported idle.
class DelegationDuty {
public:
  DelegationDuty(KernelThread &Kernel, const ConfigurationBoard &Board, MembershipMonitor &Members,
                 peer::PeerClient &Client, const IssuerNames &Names, kernel::Incarnation Own);

  /// On the kernel's thread, after each tick: grants slots of other data centres.
  void tick(const kernel::Scheduler &Scheduler, core::TimePoint Now);

  /// On the kernel's thread: carries out an action for another data centre. Returns false for other
  /// actions.
  bool perform(const kernel::Action &Next);

private:
  /// The process that a task was sent to.
  struct Target {
    std::string Address;
    kernel::Incarnation Process;
  };
  /// One endpoint that stands for a data centre.
  struct Centre {
    std::string Name;
    Target Helper;
    std::uint32_t LoadSequence = 0;
    std::uint32_t StartedSince = 0; ///< Since that load was reported.
    std::uint32_t Published = 0;
  };

  void updateConfiguration();
  bool hasIdleNeighbour(const kernel::Membership &View) const;
  /// Running counts the tasks that this process has there now.
  std::uint32_t idleSlots(const kernel::Membership &View, Centre &Item,
                          std::uint32_t Running) const;
  bool carryOut(const kernel::StartTask &Action);
  bool carryOut(const kernel::AskTask &Action);
  bool carryOut(const kernel::FenceTask &Action);
  bool carryOut(const kernel::ProbeEndpoint &Action);
  template <typename Other> bool carryOut(const Other &) { return false; }
  bool question(kernel::TaskId Task, kernel::EndpointIndex Endpoint, std::uint32_t Attempt,
                kernel::AskDelegated::Operation Purpose);
  peer::DelegateTaskRequest encodeStart(const kernel::StartTask &Action,
                                        const Target &Receiver) const;
  std::optional<Target> targetOf(kernel::TaskId Task);
  void forget(kernel::TaskId Task);

  KernelThread &Kernel_;
  const ConfigurationBoard &Board_;
  MembershipMonitor &Members_;
  peer::PeerClient &Client_;
  const IssuerNames &Names_;
  const kernel::Incarnation Own_;
  // Used on the kernel's thread only.
  std::shared_ptr<const kernel::KernelConfiguration> Configuration_;
  std::map<kernel::EndpointIndex, Centre> Centres_;
  core::TimePoint NextUpdate_;
  std::optional<core::TimePoint> FullSince_; ///< Tasks have waited without a free slot since then.

  std::mutex Mutex_;
  std::map<kernel::TaskId, Target> Targets_; ///< Of tasks that have not ended.
};

} // namespace cornellift::entry
