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
  double RunMilliseconds = 100; ///< Of a task on a worker of speed 1.
  double Cores = 2;             ///< Of a task.
  double WorkShare = 1;         ///< Share of the offered work.
  double Stretch = DefaultStretch;
};

/// What became of the jobs of one kind.
struct KindResult {
  std::size_t Jobs = 0;
  double InTime = 0;         ///< Share within the objective.
  double WidestInTime = 0;   ///< The same of the tenth with the most work.
  double WidestRejected = 0; ///< Share of that tenth.
  double Rejected = 0;       ///< Share.
  double GivenUp = 0;        ///< Share.
  double RefusedAfter = 0;   ///< Mean time until a refusal, in milliseconds.
};

/// What became of a load.
struct LoadResult {
  std::vector<KindResult> Kinds; ///< In the order of the kinds that were offered.
  double WorkInTime = 0;         ///< Share of the offered work that was done within the objective.

  std::string describe() const;
};

/// Offers jobs at random moments for the span and waits for the last answers. Load is the offered
/// work relative to what all workers can do.
LoadResult offer(PoolSimulation &Simulation, std::span<const LoadKind> Kinds, double Load,
                 core::Duration Span);

} // namespace cornellift::test
