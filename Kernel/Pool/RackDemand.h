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
  /// Records new tasks that want the rack; TypicalMilliseconds is the sum of their run times there,
  /// on typical workers. Zero renews an earlier demand.
  void want(const std::string &Rack, double TypicalMilliseconds, core::TimePoint Now);

  /// Mean number of tasks that would run there at the same time, if all that wanted it did.
  double load(const std::string &Rack, core::TimePoint Now) const;

  /// Returns whether one of the worker's labels is a rack that is wanted.
  bool isWanted(const WorkerEntry &Entry, core::TimePoint Now) const;

  bool empty() const { return Demands_.empty(); }
  void forgetExpired(core::TimePoint Now);

private:
  struct Demand {
    core::TimePoint Until;
    double Milliseconds = 0; ///< Decaying sum, as of At.
    core::TimePoint At;
  };

  std::unordered_map<std::string, Demand> Demands_;
};

} // namespace cornellift::kernel
