#pragma once

#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibCore/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// The existing workers, from their entries in the store. While the store is unavailable, entries
/// of live workers expire. Such workers are kept until their entries can have been written again,
/// which takes up to two seconds after the store is back.
class WorkerRegistry {
public:
  /// Call when the worker's entry was written. An empty Entry means that it cannot be parsed, which
  /// removes the worker.
  void written(const std::string &Id, std::optional<WorkerEntry> Entry);

  /// Call when the worker's entry was removed. StoreAwayAt is when the store last failed to answer.
  void removed(const std::string &Id, core::TimePoint StoreAwayAt, core::TimePoint Now);

  /// Drops removed entries that are due. Returns whether any was dropped.
  bool tick(core::TimePoint Now);

  /// The workers in the data centres, ordered by id.
  std::vector<WorkerEntry> workersIn(const std::set<std::string> &DataCentres) const;

  bool contains(const std::string &Id) const { return Entries_.contains(Id); }
  /// Returns the worker, or null if there is none with that id.
  const WorkerEntry *find(const std::string &Id) const;
  std::vector<std::string> ids() const;

private:
  struct Known {
    WorkerEntry Entry;
    std::optional<core::TimePoint> DropAt;
  };

  std::map<std::string, Known> Entries_;
  /// When the next entry is due to be dropped; empty if none is.
  std::optional<core::TimePoint> NextDropAt_;
};

} // namespace cornellift::kernel
