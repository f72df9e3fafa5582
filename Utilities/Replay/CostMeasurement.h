#pragma once

#include <cstdint>
#include <iosfwd>

namespace cornellift::replay {

/// Prints the decision times at 50, 350, 700 and 1,400 workers and the bytes per waiting task.
void measureCost(std::uint64_t Seed, double Load, std::ostream &Output);

} // namespace cornellift::replay
