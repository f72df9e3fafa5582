#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/WorkerRegistry.h"
#include "Libraries/LibPlatform/WorkerFormat.h"
#include "Libraries/LibStore/KeyMirror.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace cornellift::pool {

/// Interval between full reads of the entries by a process that manages none of the workers. It
/// grows with the number of workers, so that the transferred bytes per second do not; a process
/// that takes over workers reads the entries again before it uses them.
core::Duration fullReadInterval(std::size_t WorkerCount);

/// Mirrors the workers' entries in the store: with a watch while this process manages workers,
/// otherwise with full reads, often enough to take over workers while the store is unavailable.
class WorkerDirectory {
public:
  using ChangeHandler = std::function<void()>;

  WorkerDirectory(store::asio::io_context &Reactor,
                  const std::shared_ptr<store::StoreClient> &Store,
                  const platform::WorkerFormat &Format, kernel::DecisionLog &Log,
                  ChangeHandler OnChange);

  void start() { Mirror_->start(); }
  /// Sets the services of the configuration in force. The entries of others name no worker to use
  /// and are left out until a configuration has their service. An empty set admits all.
  void setServices(std::set<std::string> Services);
  /// Watches the store for changes if IsWanted, otherwise reads all entries at intervals.
  void setWatching(bool IsWanted);
  void tick(core::TimePoint Now);

  const kernel::WorkerRegistry &listing() const { return Listing_; }
  /// Number of entries in the store that name no worker to use.
  std::size_t leftOut() const { return LeftOut_; }
  bool isLoaded() const { return Mirror_->isLoaded(); }
  /// When the listing was last up to date.
  core::TimePoint refreshedAt() const { return Mirror_->refreshedAt(); }
  std::uint64_t revision() const { return Mirror_->revision(); }

private:
  /// What was read of one entry.
  struct ReadEntry {
    std::uint64_t Revision = 0;
    std::size_t Bytes = 0; ///< Length of its value; zero if it is left out.
    bool IsLeftOut = false;
  };

  store::MirrorOptions mirrorOptions() const;
  /// Returns an empty optional with the reason for an entry that names no worker to use.
  std::optional<kernel::WorkerEntry> readEntry(const std::string &Id,
                                               const store::StoreItem &Item) const;
  void itemsChanged(const store::KeyMirror::Items &Items);
  void entryChanged(const std::string &Id, const store::StoreItem &Item);

  std::shared_ptr<store::StoreClient> Store_;
  const platform::WorkerFormat &Format_;
  kernel::DecisionLog &Log_;
  ChangeHandler OnChange_;
  kernel::WorkerRegistry Listing_;
  std::unordered_map<std::string, ReadEntry> Read_; ///< Entries read, by id.
  std::set<std::string> Services_;
  std::size_t LeftOut_ = 0;
  std::size_t ListingBytes_ = 0; ///< Length of all values that are in use.
  bool IsWatching_ = false;      ///< Some of the workers are managed by this process.
  std::shared_ptr<store::KeyMirror> Mirror_;
};

} // namespace cornellift::pool
