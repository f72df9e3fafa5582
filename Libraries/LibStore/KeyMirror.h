#pragma once

#include "Libraries/LibStore/StoreClient.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace cornellift::store {

/// What a mirror asks the store for, once it has read all keys.
enum class MirrorMode : std::uint8_t {
  Watch, ///< Each change, from a watch.
  Poll,  ///< All keys again; less to read when most of them change between two calls.
};

/// How a mirror follows the store.
struct MirrorOptions {
  core::Duration WatchTimeout{0}; ///< Of one watch.
  core::Duration CallInterval{0}; ///< Events that come in between arrive together.
  MirrorMode Mode = MirrorMode::Watch;
};

/// Keeps a copy of all keys with a prefix. It reads them once and then follows a watch or reads
/// them again; it also reads them again when the history has been dropped. While the store is away
/// the copy stays as it is.
class KeyMirror : public std::enable_shared_from_this<KeyMirror> {
public:
  using Items = std::map<std::string, StoreItem>;
  /// Called after each change, and after the first reading.
  using ChangeHandler = std::function<void(const Items &)>;

  KeyMirror(asio::io_context &Reactor, std::shared_ptr<StoreClient> Store, std::string Prefix,
            MirrorOptions Options, ChangeHandler OnChange);

  void start();
  void stop();
  /// A faster pace holds at once, a slower one from the next call on.
  void setOptions(MirrorOptions Options);

  bool isLoaded() const { return IsLoaded_; }
  /// Highest revision of the store that the copy reflects.
  std::uint64_t revision() const { return Revision_; }
  const Items &items() const { return Items_; }
  /// When the copy last reflected all that the store had at that time.
  core::TimePoint refreshedAt() const { return RefreshedAt_; }

private:
  void load();
  void loaded(StoreReply<StorePage> Reply);
  void watchChanges();
  void watchReturned(StoreReply<StoreEvents> Reply);
  void apply(StoreEvents Changes);
  /// Pauses and makes the next call of the pace.
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
  core::TimePoint RefreshedAt_;
  bool IsLoaded_ = false;
  bool IsStopped_ = true;
  void (KeyMirror::*Next_)() = nullptr; ///< What follows the pause under way.
  std::uint64_t TimerGeneration_ = 0;   ///< Of the pauses; only the last one counts.
  std::uint32_t Failures_ = 0;          ///< In a row.
  std::uint64_t Generation_ = 0;        ///< Ignores replies to calls made before a restart.
  std::minstd_rand Random_;
};

} // namespace cornellift::store
