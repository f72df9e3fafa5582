#pragma once

#include "Tests/Pool/PoolSimulation.h"

#include <vector>

namespace cornellift::test {

constexpr double TaskCores = 2;
constexpr double RunMilliseconds = 200;
/// Twice the run time plus 60 ms, which is the policy of the route in PoolSimulation.
constexpr core::Duration Objective = std::chrono::milliseconds(460);

/// Submits jobs of two tasks each at regular intervals and then runs for five more seconds.
std::vector<kernel::JobKey> submitEvenly(PoolSimulation &Simulation, core::Duration Interval,
                                         int Jobs);

/// Share of the jobs that completed within the objective.
double shareInTime(const PoolSimulation &Simulation, const std::vector<kernel::JobKey> &Keys);

} // namespace cornellift::test
