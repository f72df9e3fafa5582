#pragma once

#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibCore/Time.h"

#include <string>
#include <unordered_map>

namespace cornellift::kernel {

/// The racks that tasks with data there want now, or wanted a short time ago. Other tasks leave
/// them free where that costs them nothing.
///
/// Answers loads in which tasks without data fill the rack that holds the data of many others.
class RackDemand {
public:
  /// Records that a task wants a worker of the rack.
  void want(const std::string &Rack, core::TimePoint Now);

  bool isWanted(const WorkerEntry &Entry, core::TimePoint Now) const;

  bool empty() const { return WantedUntil_.empty(); }
  void forgetExpired(core::TimePoint Now);

private:
  std::unordered_map<std::string, core::TimePoint> WantedUntil_;
};

} // namespace cornellift::kernel
