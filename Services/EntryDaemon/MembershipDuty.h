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

/// Runs the failure detector: ticks, probes and announcements over gRPC, and the platform's list on
/// the relay. Safe to use from every thread.
class MembershipDuty : public Component {
public:
  /// What the heartbeats tell of this process.
  struct SelfReport {
    kernel::MemberStanding Standing{};
    std::uint32_t WaitingTasks = 0;
    std::uint32_t FreeSlots = 0;
    std::uint64_t ConfigurationVersion = 0;
  };

  /// Report is called at each tick. Store may be null: then there is no platform's list.
  MembershipDuty(peer::PeerClient &Client, std::function<SelfReport()> Report,
                 platform::PlatformStore *Store);

  /// Called with a version above the own one. Set before start().
  void setConfiguration(ConfigurationSource *Source) { Configuration_ = Source; }

  /// Endpoints in the platform's list are passed on to this. Set before start().
  void setLeavingEndpoints(LeavingEndpoints &Endpoints) { Endpoints_ = &Endpoints; }

  /// Sets this process's record, with the address that peers use, and the seeds' addresses. Call
  /// before start().
  void setOwn(kernel::MemberRecord Own, std::vector<std::string> Seeds);

  bool start() override;
  void stop() override;

  /// Reads the view under its lock.
  template <typename Reader> auto read(Reader Read) const {
    std::lock_guard Guard(Mutex_);
    return Read(static_cast<const kernel::Membership &>(*View_));
  }

  /// Changes the view under its lock, then sends what follows.
  void change(const std::function<void(kernel::Membership &, core::TimePoint,
                                       kernel::MembershipActions &)> &Change);

  kernel::Heartbeat heartbeatReceived(const kernel::Heartbeat &Sender);
  void noteLeaving(const std::string &Endpoint);
  kernel::Announcement announced(const kernel::Announcement &News);

private:
  void runTicks();
  void pollList();
  void takeList(std::vector<platform::VmRecord> Listed);
  void announceLeaving(const std::vector<std::string> &Names);
  void perform(const kernel::MembershipActions &Actions);
  void send(const kernel::SendProbe &Action);
  void send(const kernel::SendIndirectProbe &Action);
  void send(const kernel::SendAnnouncement &Action);
  void finishProbe(kernel::ProbeToken Token, const std::optional<kernel::Heartbeat> &Reply);
  void noteVersion(std::uint64_t Version);
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
