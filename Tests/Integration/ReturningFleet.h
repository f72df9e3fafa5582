#pragma once

#include "Tests/Integration/PoolDeployment.h"

#include <string>
#include <vector>

namespace cornellift::integration {

/// Four data centres with two VMs and twelve workers each.
PoolDeploymentSettings fleetSettings();

/// Posts jobs of these run times, in milliseconds, while workers return under their ids, each of
/// them every few seconds. Fails for each task that has had two runs at the same time.
void checkReturningFleet(PoolDeployment &Deployment, const std::string &Name,
                         const std::vector<int> &RunTimes);

} // namespace cornellift::integration
