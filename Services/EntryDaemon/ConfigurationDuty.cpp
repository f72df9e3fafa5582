#include "Services/EntryDaemon/ConfigurationDuty.h"

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

/// A change of relay and a stop wait for the end of a watch, so it is shorter than the 5 s in which a
/// change has to be in force. Nine relays make 6 calls per second with it.
constexpr auto WatchTime = std::chrono::milliseconds(3500);

constexpr auto ReadTime = std::chrono::seconds(3);

/// The longest wait bounds how late a relay notices that the store is back.
constexpr auto FirstBackoff = std::chrono::milliseconds(100);
constexpr auto LongestBackoff = std::chrono::seconds(2);

/// How long a relay waits for the store to tell it of a version that a peer has announced, before it
/// fetches it from the peer.
constexpr auto StoreAdvantage = std::chrono::milliseconds(250);

/// How often a process that is no relay checks whether it has become one.
constexpr auto RelayCheckTime = std::chrono::milliseconds(500);

core::TimePoint within(core::Duration Span) { return core::MonotonicClock::now() + Span; }

} // namespace

ConfigurationDuty::ConfigurationDuty(platform::PlatformStore &Store, Receiver Receive)
    : Store_(Store), Receive_(std::move(Receive)),
      StoreBackoff_(FirstBackoff, LongestBackoff, std::random_device()()) {}

ConfigurationDuty::~ConfigurationDuty() { stop(); }

bool ConfigurationDuty::start() {
  if (!Peers_)
    return core::failFalse(ErrorKind::Internal, "setPeers() has to come before start()");
  Thread_ = std::thread([this] { run(); });
  return true;
}

void ConfigurationDuty::stop() {
  {
    std::lock_guard Guard(Mutex_);
    Stopping_ = true;
    Changed_.notify_all();
  }
  if (Thread_.joinable())
    Thread_.join();
}

std::uint64_t ConfigurationDuty::version() const {
  std::lock_guard Guard(Mutex_);
  return Current_ ? Current_->Version : 0;
}

std::string ConfigurationDuty::headText() const {
  std::lock_guard Guard(Mutex_);
  return HeadText_;
}

bool ConfigurationDuty::offer(std::string_view Text) {
  auto Head = configuration::Head::parse(Text);
  if (!Head) {
    core::logLine(LogLevel::Error, "configuration", "a head was refused",
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

void ConfigurationDuty::notifyNewer(std::uint64_t Version) {
  std::lock_guard Guard(Mutex_);
  if ((Current_ && Version <= Current_->Version) || Version <= Wanted_)
    return;
  Wanted_ = Version;
  Changed_.notify_all();
}

void ConfigurationDuty::refresh(core::TimePoint Deadline) {
  auto Before = version();
  if (auto Stored = Store_.get(configuration::HeadKey, Deadline)) {
    offer(Stored->Value);
    Ready_.store(version() > 0);
  }
  if (version() > Before)
    Peers_->announceVersion(version(), PeerNetwork::Reach::Everywhere);
}

void ConfigurationDuty::run() {
  while (!isStopping() && !isReady())
    learnFirst();
  // A watch on a connection that went silent must not hold up what the peers tell.
  std::jthread Fetches([this] {
    while (!isStopping())
      awaitNews(RelayCheckTime);
  });
  while (!isStopping()) {
    if (Peers_->isRelay())
      watchStore();
    else
      sleepFor(RelayCheckTime);
  }
}

/// Asks the store and the peers, and takes the highest version. The store alone is enough, since it
/// has the highest of all; peers alone are enough while it does not reply.
void ConfigurationDuty::learnFirst() {
  auto Stored = Store_.get(configuration::HeadKey, within(ReadTime));
  bool StoreReplied = Stored || core::lastReason().Kind == ErrorKind::NotFound;
  noteStore(StoreReplied);
  auto Head = Stored ? configuration::Head::parse(Stored->Value) : std::nullopt;
  // What the peers have on top comes first, so that no lower version is ever in force here.
  if (auto Text = Peers_->fetchConfiguration(Head ? Head->Version : 0))
    offer(*Text);
  if (Stored)
    offer(Stored->Value);
  if (version() > 0) {
    Ready_.store(true);
    StoreBackoff_.reset();
    return;
  }
  core::logLine(LogLevel::Warning, "configuration",
                StoreReplied
                    ? "there is no configuration yet; make one with cornellift-operator seed"
                    : "neither the store nor a peer has a configuration; trying again");
  awaitNews(StoreBackoff_.next());
}

void ConfigurationDuty::watchStore() {
  auto Stored = Store_.watch(configuration::HeadKey, SeenRevision_, within(WatchTime));
  bool Replied = Stored || core::lastReason().Kind == ErrorKind::Timeout;
  noteStore(Replied);
  if (Stored) {
    StoreBackoff_.reset();
    SeenRevision_ = Stored->Revision;
    if (offer(Stored->Value))
      Peers_->announceVersion(version(), PeerNetwork::Reach::Everywhere);
    return;
  }
  if (Replied)
    StoreBackoff_.reset();
  else
    sleepFor(StoreBackoff_.next());
}

/// Waits until peers tell of a higher version, or for the given time, and fetches it.
void ConfigurationDuty::awaitNews(core::Duration Longest) {
  bool IsRelay = Peers_->isRelay();
  {
    std::unique_lock Guard(Mutex_);
    auto HasNews = [this] { return Wanted_ > (Current_ ? Current_->Version : 0); };
    auto HasNone = [&] { return Stopping_ || !HasNews(); };
    if (!Changed_.wait_for(Guard, Longest, [&] { return Stopping_ || HasNews(); }) || Stopping_)
      return;
    if (IsRelay && Changed_.wait_for(Guard, StoreAdvantage, HasNone))
      return;
    // Heartbeats tell again if the fetch fails.
    Wanted_ = 0;
  }
  bool IsNew = fetchFromPeers();
  // The store did not tell the relay, so its data centre waits for it.
  if (IsNew && IsRelay)
    Peers_->announceVersion(version(), PeerNetwork::Reach::OwnDataCentre);
}

bool ConfigurationDuty::fetchFromPeers() {
  auto Text = Peers_->fetchConfiguration(version());
  return Text && offer(*Text);
}

void ConfigurationDuty::sleepFor(core::Duration Longest) {
  std::unique_lock Guard(Mutex_);
  Changed_.wait_for(Guard, Longest, [this] { return Stopping_; });
}

void ConfigurationDuty::noteStore(bool Replied) {
  if (StoreReachable_.exchange(Replied) == Replied)
    return;
  if (Replied)
    core::logLine(LogLevel::Information, "configuration", "the platform's store replies again");
  else
    core::logLine(LogLevel::Warning, "configuration", "the platform's store does not reply",
                  {{"reason", core::lastReason().Message}});
}

bool ConfigurationDuty::isStopping() const {
  std::lock_guard Guard(Mutex_);
  return Stopping_;
}

} // namespace cornellift::entry
