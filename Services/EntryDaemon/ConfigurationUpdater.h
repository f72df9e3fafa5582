#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Libraries/LibConfiguration/ChangeHistory.h"
#include "Libraries/LibPlatform/PlatformStore.h"
#include "Services/EntryDaemon/Backoff.h"
#include "Services/EntryDaemon/Component.h"
#include "Services/EntryDaemon/ConfigurationSource.h"
#include "Services/EntryDaemon/PeerNetwork.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace cornellift::entry {

/// Fetches configuration versions and puts them in force in this process, in increasing order. The
/// relay of a data centre watches the platform's store; the other processes fetch from their peers
/// when a heartbeat announces a higher version.
class ConfigurationUpdater : public Component, public ConfigurationSource {
public:
  /// Called with each version that is put in force, in increasing order.
  using Receiver = std::function<void(std::shared_ptr<const kernel::KernelConfiguration>)>;

  ConfigurationUpdater(platform::PlatformStore &Store, Receiver Receive);
  ~ConfigurationUpdater() override;

  /// Call before start().
  void setPeers(PeerNetwork &Peers) { Peers_ = &Peers; }

  bool start() override;
  void stop() override;

  std::uint64_t version() const override;
  std::string headText() const override;
  std::optional<configuration::HeadDelta> changesSince(std::uint64_t Version) const override;
  bool updateIfNewer(std::string_view HeadText) override;
  void notifyNewer(std::uint64_t Version) override;

  /// True once a configuration is in force, after the store or all reachable peers were queried.
  bool isReady() const { return Ready_.load(); }

  /// False from a call to the store that got no reply until the next call that gets one.
  bool isStoreReachable() const { return StoreReachable_.load(); }

  /// Reads the store's head, puts it in force if it is newer and announces it to the peers. Used by
  /// the process that has just applied a patch.
  void refresh(core::TimePoint Deadline);

private:
  void run();
  void fetchInitial();
  void watchStore();
  void awaitNewerVersion(core::Duration Longest);
  bool fetchFromPeers();
  void sleepFor(core::Duration Longest);
  void recordStoreReply(bool Replied);
  bool isStopping() const;

  platform::PlatformStore &Store_;
  Receiver Receive_;
  PeerNetwork *Peers_ = nullptr;
  Backoff StoreBackoff_;
  std::uint64_t SeenRevision_ = 0; ///< Revision of the store's head; used only by Thread_.
  std::atomic<bool> Ready_{false};
  std::atomic<bool> StoreReachable_{true};

  /// Locked while a version is put in force, so that the receiver gets the versions in order.
  std::mutex Apply_;

  mutable std::mutex Mutex_; ///< Guards the members below.
  std::condition_variable Changed_;
  std::shared_ptr<const kernel::KernelConfiguration> Current_;
  std::string HeadText_;
  configuration::ChangeHistory History_;
  std::uint64_t AnnouncedVersion_ = 0; ///< Highest version that peers announced.
  bool Stopping_ = false;

  std::thread Thread_;
};

} // namespace cornellift::entry
