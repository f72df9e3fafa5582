#pragma once

#include "Kernel/Pool/PoolElection.h"
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
  /// Begins to manage the workers of a data centre, none of which is claimed before the given time.
  /// A worker keeps its release by that former manager, also if this arrived earlier.
  void begin(const BeginManaging &Begun);

  /// Allows the claim of all workers of the data centre, whose former manager has released them or
  /// is lost.
  void claimRemaining(const std::string &DataCentre, core::TimePoint ClaimAt);

  /// Records that a manager has released a worker.
  void released(PeerIndex Former, std::string_view Worker);

  /// Forgets the releases by a manager that releases no more workers, or is lost. They do not count
  /// if it, or the process that has taken the workers over, releases them again later.
  void forgetReleases(PeerIndex Former);

  /// Stops managing the data centre. Releases of its workers do not count for a later takeover.
  void end(const std::string &DataCentre);

  /// Earliest claim of the worker; empty if it may be claimed at any time.
  std::optional<core::TimePoint> claimAt(const std::string &DataCentre,
                                         std::string_view Worker) const;

private:
  using WorkerIds = std::set<std::string, std::less<>>;

  bool isReleased(const BeginManaging &Begun, std::string_view Worker) const;

  std::map<std::string, BeginManaging> Begun_; ///< By managed data centre.
  std::map<PeerIndex, WorkerIds> Released_;    ///< By former manager.
};

} // namespace cornellift::kernel
