#include "Services/PoolDaemon/WorkerDirectory.h"

#include "Libraries/LibCore/Reason.h"

#include <utility>

namespace cornellift::pool {
namespace {

/// Each worker writes its entry every one and a half seconds; the events in between arrive
/// together. A leaving worker gets no new task after two seconds.
constexpr store::MirrorPace ClosePace = {std::chrono::seconds(3), std::chrono::milliseconds(600)};
/// In four seconds each entry is written two or three times, so that reading all of them is less.
constexpr store::MirrorPace DistantPace = {std::chrono::seconds(3), std::chrono::seconds(4),
                                           store::MirrorReading::Everything};

} // namespace

WorkerDirectory::WorkerDirectory(store::asio::io_context &Reactor,
                                 const std::shared_ptr<store::StoreClient> &Store,
                                 const platform::WorkerFormat &Format, kernel::DecisionLog &Log,
                                 ChangeHandler OnChange)
    : Store_(Store), Format_(Format), Log_(Log), OnChange_(std::move(OnChange)),
      Mirror_(std::make_shared<store::KeyMirror>(
          Reactor, Store, std::string(Store->format().workerPrefix()), DistantPace,
          [this](const store::KeyMirror::Items &Items) { itemsChanged(Items); })) {}

void WorkerDirectory::followClosely(bool IsWanted) {
  Mirror_->setPace(IsWanted ? ClosePace : DistantPace);
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
      Log_.line(kernel::DecisionWeight::Belief, "worker entry cannot be read", std::nullopt,
                {{"worker", std::string_view(Id)},
                 {"reason", std::string_view(core::lastReason().Message)}});
    Listing_.written(Id, std::move(Entry));
  }
  for (const auto &Id : Listing_.ids()) {
    if (Items.contains(std::string(Store_->format().workerPrefix()) + Id))
      continue;
    Revisions_.erase(Id);
    Listing_.removed(Id, Store_->lastAway(), Now);
  }
  Listing_.tick(Now);
  OnChange_();
}

void WorkerDirectory::tick(core::TimePoint Now) {
  if (Listing_.tick(Now))
    OnChange_();
}

} // namespace cornellift::pool
