#pragma once

#include "Utilities/Replay/Trace.h"

#include <cstdint>
#include <vector>

namespace cornellift::replay {

/// Response times in milliseconds, one per job of the trace; negative for jobs left out.
struct IdealSchedule {
  std::vector<double> Planned;    ///< Of the plan with the lowest mean.
  std::vector<double> Tail;       ///< Of the plan with the lowest 0.99 quantile.
  std::vector<double> LowerBound; ///< No schedule can be faster for this job.
};

/// Plans the included jobs on the trace's workers, with true run times, speeds and outages known.
/// docs/TRACES.md states the algorithm.
IdealSchedule planClairvoyant(const Trace &Input, const std::vector<std::uint8_t> &Included);

} // namespace cornellift::replay
