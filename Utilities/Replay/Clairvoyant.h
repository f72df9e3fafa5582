#pragma once

#include "Utilities/Replay/Trace.h"

#include <cstdint>
#include <vector>

namespace cornellift::replay {

/// Response times in milliseconds, one per job of the trace; negative for jobs left out.
struct IdealSchedule {
  std::vector<double> Planned;    ///< Plan with the lowest mean.
  std::vector<double> Tail;       ///< Plan with the lowest 0.99 quantile.
  std::vector<double> LowerBound; ///< Lower bound over all schedules.
};

/// Plans the included jobs on the trace's workers with full knowledge of run times, speeds and
/// outages. docs/TRACES.md describes the algorithm.
IdealSchedule planClairvoyant(const Trace &Input, const std::vector<std::uint8_t> &Included);

} // namespace cornellift::replay
