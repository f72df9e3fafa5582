#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Libraries/LibPlatform/PlatformStore.h"
#include "Services/EntryDaemon/Backoff.h"
#include "Services/EntryDaemon/ConfigurationSource.h"
#include "Services/EntryDaemon/Duty.h"
#include "Services/EntryDaemon/PeerNetwork.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace cornellift::entry {

/// Learns configuration versions and puts them in force in this process, never a lower one than
/// before. The relay of a data centre watches the platform's store; the other processes fetch from
/// their peers when a heartbeat tells of a higher version.
class ConfigurationDuty : public Duty, public ConfigurationSource {
public:
  /// Called with each version in force, in increasing order.
  using Receiver = std::function<void(std::shared_ptr<const kernel::KernelConfiguration>)>;

  ConfigurationDuty(platform::PlatformStore &Store, Receiver Receive);
  ~ConfigurationDuty() override;

  /// Names the peers; call before start().
  void setPeers(PeerNetwork &Peers) { Peers_ = &Peers; }

  bool start() override;
  void stop() override;

  std::uint64_t version() const override;
  std::string headText() const override;
  bool offer(std::string_view HeadText) override;
  void notifyNewer(std::uint64_t Version) override;

  /// True once the store or all reachable peers were asked and one had a configuration.
  bool isReady() const { return Ready_.load(); }

  /// False after a call to the store without a reply, until one has a reply.
  bool isStoreReachable() const { return StoreReachable_.load(); }

  /// Reads the store's head and puts it in force if it is newer; then tells the peers. For the
  /// process that has just applied a patch.
  void refresh(core::TimePoint Deadline);

private:
  void run();
  void learnFirst();
  void watchStore();
  void awaitNews(core::Duration Longest);
  bool fetchFromPeers();
  void sleepFor(core::Duration Longest);
  void noteStore(bool Replied);
  bool isStopping() const;

  platform::PlatformStore &Store_;
  Receiver Receive_;
  PeerNetwork *Peers_ = nullptr;
  Backoff StoreBackoff_;
  std::uint64_t SeenRevision_ = 0; ///< Of the store's head; used by the duty's thread.
  std::atomic<bool> Ready_{false};
  std::atomic<bool> StoreReachable_{true};

  /// Held while a version is put in force, so that the receiver gets them in order.
  std::mutex Apply_;

  mutable std::mutex Mutex_; ///< For the members below.
  std::condition_variable Changed_;
  std::shared_ptr<const kernel::KernelConfiguration> Current_;
  std::string HeadText_;
  std::uint64_t Wanted_ = 0; ///< Highest version that peers told of.
  bool Stopping_ = false;

  std::thread Thread_;
};

} // namespace cornellift::entry
