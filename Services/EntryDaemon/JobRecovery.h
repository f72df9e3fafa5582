#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Kernel/Recovery.h"

#include <string_view>
#include <vector>

namespace cornellift::entry {

/// Asks every configured endpoint for its records of the job, several at a time.

std::vector<kernel::EndpointRecords>
collectRecords(const kernel::KernelConfiguration &Configuration, std::string_view Job);

} // namespace cornellift::entry
