#include "Services/EntryDaemon/ConfigurationUpdater.h"

#include "Libraries/LibConfiguration/Head.h"
#include "Libraries/LibConfiguration/VersionStore.h"
#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"

#include <random>
#include <utility>

namespace cornellift::entry {
namespace {

using core::ErrorKind;
using core::LogLevel;

/// A change of relay and a stop wait for the end of a watch, so this is shorter than the 5 s within
/// which a change has to be in force. Nine relays make 6 calls per second.
constexpr auto WatchTimeout = std::chrono::milliseconds(3500);

constexpr auto ReadTimeout = std::chrono::seconds(3);

/// The maximum limits the delay until a relay detects that the store is available again.
constexpr auto InitialBackoff = std::chrono::milliseconds(100);
constexpr auto MaximumBackoff = std::chrono::seconds(2);

/// Time that the store has to deliver a version that a peer has announced, before a relay fetches
/// the version from its peers.
constexpr auto StorePreferenceDelay = std::chrono::milliseconds(250);

/// Interval at which a process that is not a relay checks whether it has become one.
constexpr auto RelayCheckInterval = std::chrono::milliseconds(500);

core::TimePoint within(core::Duration Span) { return core::MonotonicClock::now() + Span; }

} // namespace

ConfigurationUpdater::ConfigurationUpdater(platform::PlatformStore &Store, Receiver Receive)
    : Store_(Store), Receive_(std::move(Receive)),
      StoreBackoff_(InitialBackoff, MaximumBackoff, std::random_device()()) {}

ConfigurationUpdater::~ConfigurationUpdater() { stop(); }

bool ConfigurationUpdater::start() {
  if (!Peers_)
    return core::failFalse(ErrorKind::Internal, "setPeers() has to come before start()");
  Thread_ = std::thread([this] { run(); });
  return true;
}

void ConfigurationUpdater::stop() {
  {
    std::lock_guard Guard(Mutex_);
    Stopping_ = true;
    Changed_.notify_all();
  }
  if (Thread_.joinable())
    Thread_.join();
}

std::uint64_t ConfigurationUpdater::version() const {
  std::lock_guard Guard(Mutex_);
  return Current_ ? Current_->Version : 0;
}

std::string ConfigurationUpdater::headText() const {
  std::lock_guard Guard(Mutex_);
  return HeadText_;
}

std::optional<configuration::HeadDelta>
ConfigurationUpdater::changesSince(std::uint64_t Version) const {
  std::lock_guard Guard(Mutex_);
  auto Changes = History_.since(Version);
  if (!Changes)
    return std::nullopt;
  return configuration::HeadDelta{Version, Current_->Version, std::move(*Changes),
                                  configuration::digestOf(HeadText_)};
}

bool ConfigurationUpdater::updateIfNewer(std::string_view Text) {
  auto Head = configuration::Head::parse(Text);
  if (!Head) {
    core::logLine(LogLevel::Error, "configuration", "invalid configuration head rejected",
                  {{"reason", core::lastReason().Message}});
    return false;
  }
  std::lock_guard Order(Apply_);
  std::shared_ptr<const kernel::KernelConfiguration> Previous;
  {
    std::lock_guard Guard(Mutex_);
    Previous = Current_;
  }
  if (Previous && Head->Version <= Previous->Version)
    return core::failFalse(ErrorKind::Conflict,
                           "version " + std::to_string(Previous->Version) + " is in force");
  auto Converted = Head->Content.toKernelConfiguration(Head->Version, Previous.get());
  configuration::addDelegates(Converted);
  auto Next = std::make_shared<const kernel::KernelConfiguration>(std::move(Converted));
  {
    std::lock_guard Guard(Mutex_);
    Current_ = Next;
    HeadText_ = Text;
    History_.add(Head->Latest);
    Changed_.notify_all();
  }
  core::logLine(LogLevel::Information, "audit", "configuration in force",
                {{"version", std::to_string(Head->Version)},
                 {"patch_id", Head->Latest.PatchId},
                 {"who", Head->Latest.Who},
                 {"why", Head->Latest.Why}});
  Receive_(std::move(Next));
  return true;
}

void ConfigurationUpdater::notifyNewer(std::uint64_t Version) {
  std::lock_guard Guard(Mutex_);
  if ((Current_ && Version <= Current_->Version) || Version <= AnnouncedVersion_)
    return;
  AnnouncedVersion_ = Version;
  Changed_.notify_all();
}

void ConfigurationUpdater::refresh(core::TimePoint Deadline) {
  auto Before = version();
  if (auto Stored = Store_.get(configuration::HeadKey, Deadline)) {
    updateIfNewer(Stored->Value);
    Ready_.store(version() > 0);
  }
  if (version() > Before)
    Peers_->announceVersion(version(), PeerNetwork::Reach::Everywhere);
}

void ConfigurationUpdater::run() {
  while (!isStopping() && !isReady())
    fetchInitial();
  // Separate thread: a watch on a silent connection must not delay versions that peers announce.
  std::jthread Fetches([this] {
    while (!isStopping())
      awaitNewerVersion(RelayCheckInterval);
  });
  while (!isStopping()) {
    if (Peers_->isRelay())
      watchStore();
    else
      sleepFor(RelayCheckInterval);
  }
}

/// Reads the store, queries the peers and applies the highest version. The store alone suffices,
/// since it has the highest version of all; the peers alone suffice while it does not reply.
void ConfigurationUpdater::fetchInitial() {
  auto Stored = Store_.get(configuration::HeadKey, within(ReadTimeout));
  bool StoreReplied = Stored || core::lastReason().Kind == ErrorKind::NotFound;
  recordStoreReply(StoreReplied);
  auto Head = Stored ? configuration::Head::parse(Stored->Value) : std::nullopt;
  // A newer version of the peers is applied first, so that no lower one is ever in force here.
  if (auto Fetched = Peers_->fetchConfiguration(Head ? Head->Version : 0, PeerNetwork::Form::Whole))
    updateIfNewer(std::get<std::string>(*Fetched));
  if (Stored)
    updateIfNewer(Stored->Value);
  if (version() > 0) {
    Ready_.store(true);
    StoreBackoff_.reset();
    return;
  }
  core::logLine(LogLevel::Warning, "configuration",
                StoreReplied
                    ? "there is no configuration yet; make one with cornellift-operator seed"
                    : "neither the store nor a peer provided a configuration; retrying");
  awaitNewerVersion(StoreBackoff_.next());
}

void ConfigurationUpdater::watchStore() {
  auto Stored = Store_.watch(configuration::HeadKey, SeenRevision_, within(WatchTimeout));
  bool IsUnchanged = !Stored && core::lastReason().Kind == ErrorKind::Timeout;
  bool IsRemoved = !Stored && core::lastReason().Kind == ErrorKind::NotFound;
  recordStoreReply(Stored || IsUnchanged || IsRemoved);
  if (Stored) {
    StoreBackoff_.reset();
    SeenRevision_ = Stored->Revision;
    if (updateIfNewer(Stored->Value))
      Peers_->announceVersion(version(), PeerNetwork::Reach::Everywhere);
    return;
  }
  // The version in force stays; the next watch waits until there is a head again.
  if (IsRemoved)
    SeenRevision_ = 0;
  if (IsUnchanged)
    StoreBackoff_.reset();
  else
    sleepFor(StoreBackoff_.next());
}

/// Waits at most the given time until a peer announces a higher version, and fetches it.
void ConfigurationUpdater::awaitNewerVersion(core::Duration Longest) {
  bool IsRelay = Peers_->isRelay();
  {
    std::unique_lock Guard(Mutex_);
    auto IsNewerAnnounced = [this] {
      return AnnouncedVersion_ > (Current_ ? Current_->Version : 0);
    };
    auto IsNoneAnnounced = [&] { return Stopping_ || !IsNewerAnnounced(); };
    if (!Changed_.wait_for(Guard, Longest, [&] { return Stopping_ || IsNewerAnnounced(); }) ||
        Stopping_)
      return;
    if (IsRelay && Changed_.wait_for(Guard, StorePreferenceDelay, IsNoneAnnounced))
      return;
    // If the fetch fails, the next heartbeat announces the version again.
    AnnouncedVersion_ = 0;
  }
  bool IsNew = fetchFromPeers();
  // The store has not delivered this version to the relay, on which its data centre depends.
  if (IsNew && IsRelay)
    Peers_->announceVersion(version(), PeerNetwork::Reach::OwnDataCentre);
}

bool ConfigurationUpdater::fetchFromPeers() {
  using configuration::HeadDelta;
  std::uint64_t Have = 0;
  std::string Base;
  {
    std::lock_guard Guard(Mutex_);
    Have = Current_ ? Current_->Version : 0;
    Base = HeadText_;
  }
  auto Fetched = Peers_->fetchConfiguration(Have, PeerNetwork::Form::WholeOrChanges);
  if (!Fetched)
    return false;
  if (const auto *Whole = std::get_if<std::string>(&*Fetched))
    return updateIfNewer(*Whole);
  if (auto Text = configuration::applyDelta(Base, std::get<HeadDelta>(*Fetched)))
    return updateIfNewer(*Text);
  core::logLine(LogLevel::Warning, "configuration",
                "configuration delta from a peer could not be applied",
                {{"reason", core::lastReason().Message}});
  Fetched = Peers_->fetchConfiguration(Have, PeerNetwork::Form::Whole);
  return Fetched && updateIfNewer(std::get<std::string>(*Fetched));
}

void ConfigurationUpdater::sleepFor(core::Duration Longest) {
  std::unique_lock Guard(Mutex_);
  Changed_.wait_for(Guard, Longest, [this] { return Stopping_; });
}

void ConfigurationUpdater::recordStoreReply(bool Replied) {
  if (StoreReachable_.exchange(Replied) == Replied)
    return;
  if (Replied)
    core::logLine(LogLevel::Information, "configuration", "the platform's store replies again");
  else
    core::logLine(LogLevel::Warning, "configuration", "the platform's store does not reply",
                  {{"reason", core::lastReason().Message}});
}

bool ConfigurationUpdater::isStopping() const {
  std::lock_guard Guard(Mutex_);
  return Stopping_;
}

} // namespace cornellift::entry
