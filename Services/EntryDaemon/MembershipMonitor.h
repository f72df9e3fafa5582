#pragma once

#include "Kernel/Membership/Membership.h"
#include "Libraries/LibPeer/PeerClient.h"
#include "Libraries/LibPlatform/PlatformStore.h"
#include "Services/EntryDaemon/Component.h"
#include "Services/EntryDaemon/ConfigurationSource.h"
#include "Services/EntryDaemon/LeavingEndpoints.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cornellift::entry {

/// Runs the failure detector: ticks, probes and announcements over gRPC. On the relay it also polls
/// the platform's list of VMs. Thread-safe.
class MembershipMonitor : public Component {
public:
  /// State of this process as sent in heartbeats.
  struct SelfReport {
    kernel::MemberStanding Standing{};
    std::uint32_t WaitingTasks = 0;
    std::uint32_t FreeSlots = 0;
    std::uint64_t ConfigurationVersion = 0;
  };

  /// Report is called at each tick. Store may be null; the platform's list is not read then.
  MembershipMonitor(peer::PeerClient &Client, std::function<SelfReport()> Report,
                    platform::PlatformStore *Store);

  /// Sets the source that is notified of versions above its own. Set before start().
  void setConfiguration(ConfigurationSource *Source) { Configuration_ = Source; }

  /// Sets the receiver of endpoints that the platform's list marks as leaving. Set before start().
  void setLeavingEndpoints(LeavingEndpoints &Endpoints) { Endpoints_ = &Endpoints; }

  /// Sets this process's member record, with the address that peers use, and the addresses of the
  /// seed peers. Call before start().
  void setOwnRecord(kernel::MemberRecord Own, std::vector<std::string> Seeds);

  bool start() override;
  void stop() override;

  /// Calls Read with the membership table while holding its lock.
  template <typename Reader> auto read(Reader Read) const {
    std::lock_guard Guard(Mutex_);
    return Read(static_cast<const kernel::Membership &>(*View_));
  }

  /// Calls Change with the membership table while holding its lock, then performs the resulting
  /// actions.
  void change(const std::function<void(kernel::Membership &, core::TimePoint,
                                       kernel::MembershipActions &)> &Change);

  /// Handles the heartbeat of a peer and returns the own one.
  kernel::Heartbeat heartbeatReceived(const kernel::Heartbeat &Sender);
  /// Reports an endpoint that the platform's list marks as leaving.
  void reportLeavingEndpoint(const std::string &Endpoint);
  /// Handles an announcement and returns the reply to its sender.
  kernel::Announcement announced(const kernel::Announcement &Received);

private:
  void runTicks();
  void pollList();
  void applyPlatformList(std::vector<platform::VmRecord> Listed);
  void announceLeaving(const std::vector<std::string> &Names);
  void perform(const kernel::MembershipActions &Actions);
  void send(const kernel::SendProbe &Action);
  void send(const kernel::SendIndirectProbe &Action);
  void send(const kernel::SendAnnouncement &Action);
  void finishProbe(kernel::ProbeToken Token, const std::optional<kernel::Heartbeat> &Reply);
  void notifyIfNewer(std::uint64_t Version);
  bool sleepFor(core::Duration Span);

  peer::PeerClient &Client_;
  std::function<SelfReport()> Report_;
  platform::PlatformStore *Store_;
  ConfigurationSource *Configuration_ = nullptr;
  LeavingEndpoints *Endpoints_ = nullptr;
  mutable std::mutex Mutex_;
  std::unique_ptr<kernel::Membership> View_;
  std::mutex StopMutex_;
  std::condition_variable StopSignal_;
  bool Stopping_ = false;
  std::thread TickThread_;
  std::thread ListThread_;
};

} // namespace cornellift::entry
