#pragma once

#include "Tests/Pool/PoolSimulation.h"

#include <vector>

namespace cornellift::test {

constexpr double TaskCores = 2;
constexpr double RunMilliseconds = 200;
/// Two times the run time and 60 ms, as the route of PoolSimulation's jobs has it.
constexpr core::Duration Objective = std::chrono::milliseconds(460);

/// Submits jobs of two tasks each at even intervals, and lets five seconds pass.
std::vector<kernel::JobKey> submitEvenly(PoolSimulation &Simulation, core::Duration Interval,
                                         int Jobs);

/// Share of the jobs that were completed within the objective.
double shareInTime(const PoolSimulation &Simulation, const std::vector<kernel::JobKey> &Keys);

} // namespace cornellift::test
