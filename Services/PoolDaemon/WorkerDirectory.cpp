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
/// Upper bound on the length of an entry. Workers write a few hundred bytes; entries of another
/// writer, as long as the store takes them, would use up the memory of the smallest VMs.
constexpr std::size_t MaximumEntryBytes = 4U << 10;
/// Upper bound on the length of all entries in use together, some 20,000 of the usual length. They
/// have to fit into one message to other managers.
constexpr std::size_t MaximumListingBytes = 6U << 20;
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
  Options.CallInterval = IsWatching_ ? WatchInterval : fullReadInterval(Read_.size());
  Options.Mode = IsWatching_ ? store::MirrorMode::Watch : store::MirrorMode::Poll;
  Options.MaximumValueBytes = MaximumEntryBytes;
  return Options;
}

void WorkerDirectory::setServices(std::set<std::string> Services) {
  if (Services == Services_)
    return;
  Services_ = std::move(Services);
  Read_.clear();
  ListingBytes_ = 0;
  itemsChanged(Mirror_->items());
}

std::optional<kernel::WorkerEntry> WorkerDirectory::readEntry(const std::string &Id,
                                                              const store::StoreItem &Item) const {
  if (Item.IsTooLong)
    return core::fail(core::ErrorKind::TooLarge, "the value has more than " +
                                                     std::to_string(MaximumEntryBytes) +
                                                     " bytes; check the process that writes it");
  auto Entry = Format_.parseEntry(Id, Item.Value, core::MonotonicClock::now());
  if (!Entry)
    return std::nullopt;
  if (!Services_.empty() && !Services_.contains(Entry->Service))
    return core::fail(core::ErrorKind::NotFound,
                      "no configuration in force has the service \"" + Entry->Service +
                          "\"; add it or check the process that writes the entry");
  if (ListingBytes_ + Item.Value.size() > MaximumListingBytes)
    return core::fail(core::ErrorKind::TooLarge, "all entries together have more than " +
                                                     std::to_string(MaximumListingBytes) +
                                                     " bytes; remove those without a worker");
  return Entry;
}

void WorkerDirectory::entryChanged(const std::string &Id, const store::StoreItem &Item) {
  auto &Read = Read_[Id];
  if (Read.Revision == Item.Revision)
    return;
  Read.Revision = Item.Revision;
  ListingBytes_ -= std::exchange(Read.Bytes, 0);
  auto Entry = readEntry(Id, Item);
  Read.Bytes = Entry ? Item.Value.size() : 0;
  ListingBytes_ += Read.Bytes;
  bool WasLeftOut = std::exchange(Read.IsLeftOut, !Entry);
  if (!Entry && !WasLeftOut)
    Log_.line(kernel::DecisionPriority::StateChange, "worker entry left out", std::nullopt,
              {{"worker", std::string_view(Id)},
               {"reason", std::string_view(core::lastReason().Message)}});
  if (const auto *Former = Entry ? Listing_.find(Id) : nullptr)
    Entry->keepSteadyDeadlines(*Former);
  Listing_.written(Id, std::move(Entry));
}

void WorkerDirectory::itemsChanged(const store::KeyMirror::Items &Items) {
  auto Now = core::MonotonicClock::now();
  std::string Prefix(Store_->format().workerPrefix());
  for (const auto &[Key, Item] : Items)
    entryChanged(Key.substr(Prefix.size()), Item);
  std::erase_if(Read_, [&](const auto &Read) {
    bool IsGone = !Items.contains(Prefix + Read.first);
    ListingBytes_ -= IsGone ? Read.second.Bytes : 0;
    return IsGone;
  });
  for (const auto &Id : Listing_.ids())
    if (!Items.contains(Prefix + Id))
      Listing_.removed(Id, Store_->lastFailedAt(), Now);
  LeftOut_ = static_cast<std::size_t>(std::count_if(
      Read_.begin(), Read_.end(), [](const auto &Read) { return Read.second.IsLeftOut; }));
  Mirror_->setOptions(mirrorOptions());
  Listing_.tick(Now);
  OnChange_();
}

void WorkerDirectory::tick(core::TimePoint Now) {
  if (Listing_.tick(Now))
    OnChange_();
}

} // namespace cornellift::pool
