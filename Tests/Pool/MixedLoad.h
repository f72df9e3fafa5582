#pragma once

#include "Tests/Pool/PoolSimulation.h"

#include <span>
#include <string>
#include <vector>

namespace cornellift::test {

/// A kind of job whose widths and run times vary around the means.
struct LoadKind {
  std::string Route;
  std::uint32_t Priority = 0;
  double Tasks = 1;
  double RunMilliseconds = 100;
  double Cores = 2;
  double WorkShare = 1; ///< Share of the offered work.
  double Stretch = 2;
};

/// What became of the jobs of one kind.
struct KindResult {
  std::size_t Jobs = 0;
  double InTime = 0;       ///< Share within the objective.
  double WidestInTime = 0; ///< The same of the tenth with the most work.
  double WidestRejected = 0;
  double Rejected = 0;
  double GivenUp = 0;
  double RefusedAfter = 0; ///< Mean time until a refusal, in milliseconds.
};

struct LoadResult {
  std::vector<KindResult> Kinds;
  double WorkInTime = 0; ///< Share of the offered work that was done within the objective.

  std::string describe() const;
};

/// Offers jobs at random moments for the span, at so many times the room of all workers, and waits
/// for the last answers.
LoadResult offer(PoolSimulation &Simulation, std::span<const LoadKind> Kinds, double Load,
                 core::Duration Span);

} // namespace cornellift::test
