#include "Services/PoolDaemon/WorkerDirectory.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <utility>

namespace cornellift::pool {
namespace {

/// Each worker writes its entry every one and a half seconds; the events in between arrive
/// together. A leaving worker gets no new task after two seconds; a watch that hangs is replaced
/// within that time.
constexpr store::MirrorOptions ClosePace = {std::chrono::seconds(1),
                                            std::chrono::milliseconds(600)};
/// In four seconds each entry is written two or three times, so that reading all of them is less.
constexpr core::Duration MinimumFullReadInterval = std::chrono::seconds(4);
constexpr core::Duration MaximumFullReadInterval = std::chrono::seconds(30);
/// Workers that are read at the shortest interval, some 35 KB a second.
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
          Reactor, Store, std::string(Store->format().workerPrefix()), pace(),
          [this](const store::KeyMirror::Items &Items) { itemsChanged(Items); })) {}

void WorkerDirectory::setWatching(bool IsWanted) {
  IsWatching_ = IsWanted;
  Mirror_->setOptions(pace());
}

store::MirrorOptions WorkerDirectory::pace() const {
  if (IsWatching_)
    return ClosePace;
  return {ClosePace.WatchTimeout, fullReadInterval(Revisions_.size()), store::MirrorMode::Poll};
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
    auto Entry = Format_.parseEntry(Id, Item.Value);
    if (!Entry)
      Log_.line(kernel::DecisionPriority::StateChange, "worker entry cannot be read", std::nullopt,
                {{"worker", std::string_view(Id)},
                 {"reason", std::string_view(core::lastReason().Message)}});
    Listing_.written(Id, std::move(Entry));
  }
  for (const auto &Id : Listing_.ids()) {
    if (Items.contains(std::string(Store_->format().workerPrefix()) + Id))
      continue;
    Revisions_.erase(Id);
    Listing_.removed(Id, Store_->lastFailedAt(), Now);
  }
  Mirror_->setOptions(pace());
  Listing_.tick(Now);
  OnChange_();
}

void WorkerDirectory::tick(core::TimePoint Now) {
  if (Listing_.tick(Now))
    OnChange_();
}

} // namespace cornellift::pool
