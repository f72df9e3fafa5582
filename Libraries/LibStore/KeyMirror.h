#pragma once

#include "Libraries/LibStore/StoreClient.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace cornellift::store {

/// How a mirror keeps up to date once it has read all keys.
enum class MirrorMode : std::uint8_t {
  Watch, ///< Watches for each change.
  Poll,  ///< Reads all keys again, which is less data if most of them change between calls.
};

/// Timing and mode of a mirror's calls to the store.
struct MirrorOptions {
  core::Duration WatchTimeout{0}; ///< Time after which the store ends a watch without events.
  core::Duration CallInterval{0}; ///< Delay after each call; events meanwhile arrive in one batch.
  MirrorMode Mode = MirrorMode::Watch;
  /// Longer values are not kept, only their keys and revisions: those of another writer could
  /// otherwise take more memory than the process has.
  std::size_t MaximumValueBytes = LongestValueBytes;

  /// The longest value that the store takes.
  static constexpr std::size_t LongestValueBytes = 1U << 20;
};

/// The reply that brought the latest change, for logs.
struct MirrorReply {
  std::string_view Call; ///< "range" or "watch".
  core::TimePoint CalledAt;
  core::TimePoint ReceivedAt;
  std::size_t Entries = 0; ///< Items or events in the reply.
  std::size_t Bytes = 0;
};

/// Keeps a local copy of all keys with a prefix. It reads all of them once and then watches for
/// changes or polls. It reads all of them again if the store has compacted the history that a watch
/// needs, and if reading the history takes more than reading the keys. While the store is
/// unavailable, the copy stays unchanged.
class KeyMirror : public std::enable_shared_from_this<KeyMirror> {
public:
  using Items = std::map<std::string, StoreItem>;
  /// Called after each change, and after each reading of all keys.
  using ChangeHandler = std::function<void(const Items &)>;

  KeyMirror(asio::io_context &Reactor, std::shared_ptr<StoreClient> Store, std::string Prefix,
            MirrorOptions Options, ChangeHandler OnChange);

  void start();
  void stop();
  /// A shorter interval takes effect at once, a longer one from the next call on.
  void setOptions(MirrorOptions Options);

  bool isLoaded() const { return IsLoaded_; }
  /// Highest store revision that the copy reflects.
  std::uint64_t revision() const { return Revision_; }
  /// All keys begin with the prefix, whatever the store has returned.
  const Items &items() const { return Items_; }
  /// When the copy was last completely up to date.
  core::TimePoint refreshedAt() const { return RefreshedAt_; }
  const MirrorReply &lastReply() const { return LastReply_; }

private:
  void load();
  void recordReply(std::string_view Call, std::size_t Entries, std::size_t Bytes);
  void loaded(StoreReply<StorePage> Reply);
  /// Returns whether the key belongs to the copy; logs one that does not.
  bool isUnderPrefix(std::string_view Key) const;
  void watchChanges();
  void watchReturned(StoreReply<StoreEvents> Reply);
  void apply(StoreEvents Changes);
  /// Schedules the next read or watch after a delay.
  void scheduleNextCall(core::Duration Delay);
  void retryLater(const std::string &Cause);
  void scheduleStep(core::Duration Delay, void (KeyMirror::*Next)());

  asio::steady_timer Timer_;
  std::shared_ptr<StoreClient> Store_;
  std::string Prefix_;
  MirrorOptions Options_;
  ChangeHandler OnChange_;
  Items Items_;
  std::uint64_t Revision_ = 0;
  std::size_t BytesOfAllKeys_ = 0; ///< Size of the latest reply that held all keys.
  bool WasLargeReply_ = false; ///< The reply before the latest one was that of a watch, and large.
  core::TimePoint RefreshedAt_;
  core::TimePoint CalledAt_; ///< When the latest call was made.
  MirrorReply LastReply_;
  bool IsLoaded_ = false;
  bool IsStopped_ = true;
  void (KeyMirror::*Next_)() = nullptr; ///< Step that the pending timer runs.
  std::uint64_t TimerGeneration_ = 0;   ///< Identifies the latest timer; earlier ones are ignored.
  std::uint32_t Failures_ = 0;          ///< Consecutive failures.
  std::uint64_t Generation_ = 0;        ///< Changes at start and stop; earlier replies are ignored.
  std::minstd_rand Random_;
};

} // namespace cornellift::store
