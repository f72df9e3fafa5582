#pragma once

#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibCore/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// The workers that exist, from their entries in the store. Answers entries that lapse while the
/// store is away although the worker lives: they come back within two seconds of its return, and
/// until then the worker is kept.
class WorkerRegistry {
public:
  /// The worker's entry was written; empty when it cannot be read, which names no worker.
  void written(const std::string &Id, std::optional<WorkerEntry> Entry);

  /// The worker's entry was removed. StoreAwayAt is when the store last failed to answer.
  void removed(const std::string &Id, core::TimePoint StoreAwayAt, core::TimePoint Now);

  /// Drops entries whose time has come. Returns whether any was dropped.
  bool tick(core::TimePoint Now);

  /// The workers of the data centres, in the order of their ids.
  std::vector<WorkerEntry> workersIn(const std::set<std::string> &DataCentres) const;

  bool contains(const std::string &Id) const { return Entries_.contains(Id); }
  std::vector<std::string> ids() const;

private:
  struct Known {
    WorkerEntry Entry;
    std::optional<core::TimePoint> DropAt;
  };

  std::map<std::string, Known> Entries_;
  /// When the next entry is to be dropped; empty when none is.
  std::optional<core::TimePoint> NextDropAt_;
};

} // namespace cornellift::kernel
