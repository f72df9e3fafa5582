#pragma once

#include "Kernel/Scheduler.h"

#include <cstdint>
#include <memory>

namespace cornellift::kernel {

/// Makes the scheduler that the daemon and the replay use. It starts nothing before the first
/// applyConfiguration. The seed feeds the jitter of retry times; equal seeds and equal calls give
/// equal decisions.
std::unique_ptr<Scheduler> makePolicyScheduler(std::uint64_t Seed);

} // namespace cornellift::kernel
