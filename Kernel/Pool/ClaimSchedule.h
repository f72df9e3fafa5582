#pragma once

#include "Libraries/LibCore/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cornellift::kernel {

/// When this manager may claim the workers of the data centres that it has taken over.
///
/// Answers a planned stop of a manager under load. Its idle workers are released at once and its
/// busy ones one by one, often before the successor has listed them. Each is to be claimed as soon
/// as both are known, while the others are still held by the former manager.
class ClaimSchedule {
public:
  /// Begins to manage the workers of a data centre, none of which is claimed before ClaimAt. A
  /// worker whose release arrived earlier keeps it.
  void begin(const std::string &DataCentre, core::TimePoint ClaimAt);

  /// Allows the claim of all workers of the data centre, whose former manager has released them or
  /// is lost.
  void claimRemaining(const std::string &DataCentre, core::TimePoint ClaimAt);

  /// Records that the former manager has released a worker. DataCentre is empty if the worker is
  /// not listed yet.
  void released(const std::string &DataCentre, std::string_view Worker);

  /// Stops managing the data centre. Releases of its workers do not count for a later takeover.
  void end(const std::string &DataCentre);

  /// Earliest claim of the worker; empty if it may be claimed at any time.
  std::optional<core::TimePoint> claimAt(const std::string &DataCentre,
                                         std::string_view Worker) const;

private:
  using WorkerIds = std::set<std::string, std::less<>>;

  bool isReleased(const std::string &DataCentre, std::string_view Worker) const;

  std::map<std::string, core::TimePoint> ClaimAt_; ///< By managed data centre.
  std::map<std::string, WorkerIds> Released_;      ///< By data centre; by none if it is unknown.
};

} // namespace cornellift::kernel
