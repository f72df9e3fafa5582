#include "Libraries/LibStore/KeyMirror.h"

#include "Libraries/LibCore/Log.h"

#include <algorithm>
#include <utility>

namespace cornellift::store {
namespace {

/// Exponential backoff after failed calls: the delay doubles with each consecutive failure and is
/// multiplied by a random factor of 0.5 to 1.
constexpr core::Duration InitialBackoff = std::chrono::milliseconds(100);
constexpr core::Duration MaximumBackoff = std::chrono::milliseconds(800);
constexpr std::uint32_t MaximumDoublings = 3;
/// A watch returns at most some 500 events or 1 MB. A reply that reaches one of these sizes may be
/// incomplete, so that the next call follows at once; a mirror that waited would fall further
/// behind with each call.
constexpr std::size_t LargeReplyEvents = 250;
constexpr std::size_t LargeReplyBytes = 64U << 10;

} // namespace

KeyMirror::KeyMirror(asio::io_context &Reactor, std::shared_ptr<StoreClient> Store,
                     std::string Prefix, MirrorOptions Options, ChangeHandler OnChange)
    : Timer_(Reactor), Store_(std::move(Store)), Prefix_(std::move(Prefix)), Options_(Options),
      OnChange_(std::move(OnChange)), Random_(std::random_device()()) {}

void KeyMirror::start() {
  if (!std::exchange(IsStopped_, false))
    return;
  ++Generation_;
  load();
}

void KeyMirror::stop() {
  IsStopped_ = true;
  ++Generation_;
  Timer_.cancel();
}

void KeyMirror::setOptions(MirrorOptions Options) {
  bool IsFaster = Options.CallInterval < Options_.CallInterval;
  Options_ = Options;
  if (IsFaster && Next_ && Failures_ == 0)
    scheduleStep(core::Duration(0), Next_);
}

void KeyMirror::recordReply(std::string_view Call, std::size_t Entries, std::size_t Bytes) {
  LastReply_ = {Call, CalledAt_, core::MonotonicClock::now(), Entries, Bytes};
}

void KeyMirror::load() {
  CalledAt_ = core::MonotonicClock::now();
  Store_->range(Prefix_, Options_.MaximumValueBytes,
                [Self = shared_from_this(), Generation = Generation_](StoreReply<StorePage> Reply) {
                  if (Generation == Self->Generation_)
                    Self->loaded(std::move(Reply));
                });
}

void KeyMirror::loaded(StoreReply<StorePage> Reply) {
  if (!Reply.Content)
    return retryLater(Reply.Cause);
  Failures_ = 0;
  recordReply("range", Reply.Content->Items.size(), Reply.Content->ReplyBytes);
  // After a compaction, a delayed reply may be older than the copy, which must never go back to an
  // earlier revision.
  if (Reply.Content->Revision < Revision_)
    return retryLater("the store returned an older revision");
  Items_.clear();
  for (auto &Item : Reply.Content->Items)
    if (isUnderPrefix(Item.Key))
      Items_[Item.Key] = std::move(Item);
  Revision_ = Reply.Content->Revision;
  BytesOfAllKeys_ = Reply.Content->ReplyBytes;
  WasLargeReply_ = false;
  IsLoaded_ = true;
  RefreshedAt_ = core::MonotonicClock::now();
  OnChange_(Items_);
  scheduleNextCall(Options_.CallInterval);
}

bool KeyMirror::isUnderPrefix(std::string_view Key) const {
  if (Key.starts_with(Prefix_))
    return true;
  core::logLine(core::LogLevel::Warning, "store", "a reply has a key outside the prefix",
                {{"prefix", Prefix_}, {"key_bytes", std::to_string(Key.size())}});
  return false;
}

void KeyMirror::watchChanges() {
  CalledAt_ = core::MonotonicClock::now();
  Store_->watch(
      Prefix_, Revision_, Options_.WatchTimeout, Options_.MaximumValueBytes,
      [Self = shared_from_this(), Generation = Generation_](StoreReply<StoreEvents> Reply) {
        if (Generation == Self->Generation_)
          Self->watchReturned(std::move(Reply));
      });
}

void KeyMirror::watchReturned(StoreReply<StoreEvents> Reply) {
  if (!Reply.Content && Reply.Failure == StoreFailure::Expired) {
    core::logLine(core::LogLevel::Information, "store",
                  "the watch revision was compacted; reading all keys", {{"prefix", Prefix_}});
    return load();
  }
  if (!Reply.Content)
    return retryLater(Reply.Cause);
  Failures_ = 0;
  recordReply("watch", Reply.Content->Events.size(), Reply.Content->ReplyBytes);
  auto Bytes = Reply.Content->ReplyBytes;
  bool MayHaveMore = Reply.Content->Events.size() >= LargeReplyEvents || Bytes >= LargeReplyBytes;
  if (!MayHaveMore)
    RefreshedAt_ = core::MonotonicClock::now();
  apply(std::move(*Reply.Content));
  bool IsSeries = std::exchange(WasLargeReply_, MayHaveMore) && MayHaveMore;
  if (!MayHaveMore)
    return scheduleNextCall(Options_.CallInterval);
  // If this reply and another one like it are as large as all keys, following the history would
  // fall behind a series of changes: the keys are read as they are now.
  bool IsHistoryLarger = 2 * Bytes >= BytesOfAllKeys_;
  scheduleStep(core::Duration(0),
               IsSeries && IsHistoryLarger ? &KeyMirror::load : &KeyMirror::watchChanges);
}

void KeyMirror::apply(StoreEvents Changes) {
  bool HasChanged = !Changes.Events.empty();
  for (auto &Event : Changes.Events) {
    if (!isUnderPrefix(Event.Item.Key))
      continue;
    auto Known = Items_.find(Event.Item.Key);
    if (Known != Items_.end() && Known->second.Revision > Event.Item.Revision)
      continue;
    if (Event.IsRemoved)
      Items_.erase(Event.Item.Key);
    else
      Items_[Event.Item.Key] = std::move(Event.Item);
  }
  Revision_ = std::max(Revision_, Changes.Revision);
  if (HasChanged)
    OnChange_(Items_);
}

void KeyMirror::retryLater(const std::string &Cause) {
  if (Failures_ == 0)
    core::logLine(core::LogLevel::Warning, "store", "a call to the store failed",
                  {{"prefix", Prefix_}, {"reason", Cause}});
  auto Delay =
      std::min(MaximumBackoff, InitialBackoff * (1 << std::min(Failures_, MaximumDoublings)));
  ++Failures_;
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  Delay = std::chrono::duration_cast<core::Duration>(Delay * Jitter(Random_));
  scheduleNextCall(Delay);
}

void KeyMirror::scheduleNextCall(core::Duration Delay) {
  bool ReadsAll = !IsLoaded_ || Options_.Mode == MirrorMode::Poll;
  scheduleStep(Delay, ReadsAll ? &KeyMirror::load : &KeyMirror::watchChanges);
}

void KeyMirror::scheduleStep(core::Duration Delay, void (KeyMirror::*Next)()) {
  if (IsStopped_)
    return;
  Next_ = Next;
  Timer_.expires_after(Delay);
  // A timer that has already expired completes without an error even if it was set anew meanwhile.
  auto Timer = ++TimerGeneration_;
  Timer_.async_wait([Self = shared_from_this(), Generation = Generation_,
                     Timer](boost::system::error_code Error) {
    if (!Error && Generation == Self->Generation_ && Timer == Self->TimerGeneration_ && Self->Next_)
      (Self.get()->*std::exchange(Self->Next_, nullptr))();
  });
}

} // namespace cornellift::store
