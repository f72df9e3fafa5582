#include "Services/PoolDaemon/WorkerDirectory.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <utility>

namespace cornellift::pool {
namespace {

/// Timing of the watch. Each worker writes its entry every one and a half seconds; events between
/// two calls arrive together. A draining worker must get no new task after two seconds, and a watch
/// that hangs is replaced within that time.
constexpr core::Duration WatchTimeout = std::chrono::seconds(1);
constexpr core::Duration WatchInterval = std::chrono::milliseconds(600);
/// Upper bound on the length of an entry. Workers write a few hundred bytes; some dozen entries of
/// another writer, as long as the store takes them, would use up the memory of the smallest VMs.
constexpr std::size_t MaximumEntryBytes = 16U << 10;
/// Each entry is written two or three times in four seconds, so that a full read transfers less
/// than a watch.
constexpr core::Duration MinimumFullReadInterval = std::chrono::seconds(4);
constexpr core::Duration MaximumFullReadInterval = std::chrono::seconds(30);
/// Up to this many workers are read at the minimum interval, which transfers about 35 KB a second.
constexpr std::size_t WorkersAtMinimumInterval = 400;

} // namespace

core::Duration fullReadInterval(std::size_t WorkerCount) {
  auto Scaled = MinimumFullReadInterval * static_cast<std::int64_t>(WorkerCount) /
                static_cast<std::int64_t>(WorkersAtMinimumInterval);
  return std::clamp(std::chrono::duration_cast<core::Duration>(Scaled), MinimumFullReadInterval,
                    MaximumFullReadInterval);
}

WorkerDirectory::WorkerDirectory(store::asio::io_context &Reactor,
                                 const std::shared_ptr<store::StoreClient> &Store,
                                 const platform::WorkerFormat &Format, kernel::DecisionLog &Log,
                                 ChangeHandler OnChange)
    : Store_(Store), Format_(Format), Log_(Log), OnChange_(std::move(OnChange)),
      Mirror_(std::make_shared<store::KeyMirror>(
          Reactor, Store, std::string(Store->format().workerPrefix()), mirrorOptions(),
          [this](const store::KeyMirror::Items &Items) { itemsChanged(Items); })) {}

void WorkerDirectory::setWatching(bool IsWanted) {
  IsWatching_ = IsWanted;
  Mirror_->setOptions(mirrorOptions());
}

store::MirrorOptions WorkerDirectory::mirrorOptions() const {
  store::MirrorOptions Options;
  Options.WatchTimeout = WatchTimeout;
  Options.CallInterval = IsWatching_ ? WatchInterval : fullReadInterval(Revisions_.size());
  Options.Mode = IsWatching_ ? store::MirrorMode::Watch : store::MirrorMode::Poll;
  Options.MaximumValueBytes = MaximumEntryBytes;
  return Options;
}

std::optional<kernel::WorkerEntry> WorkerDirectory::parseEntry(std::string_view Id,
                                                               const store::StoreItem &Item) const {
  if (Item.IsTooLong)
    return core::fail(core::ErrorKind::Malformed, "the value has more than " +
                                                      std::to_string(MaximumEntryBytes) +
                                                      " bytes; check the process that writes it");
  return Format_.parseEntry(Id, Item.Value);
}

void WorkerDirectory::itemsChanged(const store::KeyMirror::Items &Items) {
  auto Now = core::MonotonicClock::now();
  auto PrefixSize = Store_->format().workerPrefix().size();
  for (const auto &[Key, Item] : Items) {
    auto Id = Key.substr(PrefixSize);
    auto &Read = Revisions_[Id];
    if (Read == Item.Revision)
      continue;
    Read = Item.Revision;
    auto Entry = parseEntry(Id, Item);
    if (!Entry)
      Log_.line(kernel::DecisionPriority::StateChange, "worker entry cannot be read", std::nullopt,
                {{"worker", std::string_view(Id)},
                 {"reason", std::string_view(core::lastReason().Message)}});
    Listing_.written(Id, std::move(Entry));
  }
  std::string Prefix(Store_->format().workerPrefix());
  std::erase_if(Revisions_, [&](const auto &Read) { return !Items.contains(Prefix + Read.first); });
  for (const auto &Id : Listing_.ids())
    if (!Items.contains(Prefix + Id))
      Listing_.removed(Id, Store_->lastFailedAt(), Now);
  Mirror_->setOptions(mirrorOptions());
  Listing_.tick(Now);
  OnChange_();
}

void WorkerDirectory::tick(core::TimePoint Now) {
  if (Listing_.tick(Now))
    OnChange_();
}

} // namespace cornellift::pool
