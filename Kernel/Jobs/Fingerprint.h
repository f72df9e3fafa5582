#pragma once

#include "Kernel/Job.h"
#include "Kernel/KernelConfiguration.h"

#include <cstdint>

namespace cornellift::kernel {

/// Hash of a job's specification and payload, which distinguishes a repeated submission from
/// another job under the same identifier. Uses names instead of indexes, so that all processes
/// agree on it. The deadline is left out: its conversion from wall-clock time differs between
/// processes.
std::uint64_t fingerprint(const JobSpec &Spec, const KernelConfiguration &Configuration);

} // namespace cornellift::kernel
