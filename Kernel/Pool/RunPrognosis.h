#pragma once

#include "Kernel/Identifiers.h"

#include <cstddef>
#include <span>

namespace cornellift::kernel {

/// A job whose tasks take this many times the expected time is overlong.
constexpr double OverlongFactor = 3;

/// Run time of one run, actual or extrapolated from its progress, in milliseconds on a typical
/// worker near the data.
struct ObservedRun {
  EndpointIndex Worker{};
  double Milliseconds = 0;
  /// The least that its progress allows. Progress is reported in whole percents, so that an end
  /// extrapolated from a few of them may be wrong by half.
  double AtLeast = 0;
};

/// A run of another job on the same worker; one of each job.
struct NeighbourRun {
  double Milliseconds = 0; ///< As ObservedRun::Milliseconds.
  double ExpectedMilliseconds = 0;
  double Deviation = 0;     ///< Standard deviation of the logarithm of the run time around it.
  double OverlongShare = 0; ///< Share of the jobs of its kind that are overlong.
};

/// What is known of a run that takes longer than expected.
struct RunEvidence {
  ObservedRun Own;
  double ExpectedMilliseconds = 0; ///< Expected on a typical worker when the job came.
  double Deviation = 0;            ///< Standard deviation of its logarithm for jobs of the kind.
  double OverlongShare = 0;        ///< Share of the jobs of the kind that are overlong.
  /// Runs of the same step, which are of similar length, with those that were moved; those on its
  /// own worker are left out.
  std::span<const ObservedRun> Siblings;
  std::span<const NeighbourRun> Neighbours;
};

enum class RunDelay {
  None,      ///< The run is about as long as expected.
  LongJob,   ///< The task is longer than expected, on any worker.
  SlowWorker ///< The worker is slower than believed.
};

struct RunPrognosis {
  RunDelay Delay = RunDelay::None;
  /// Expected run time of the task on a typical worker that is sound.
  double TypicalMilliseconds = 0;
  /// Logarithm of the odds that the worker is at fault.
  double LogOdds = 0;
  std::size_t Siblings = 0; ///< Siblings on other workers that were considered.
};

/// Tells a long job from a slow worker.
///
/// Answers loads in which a few jobs are many times as long as declared while a few workers are
/// many times slower than the others. Moving a run of a long job throws its progress away, and the
/// fresh run takes as long again; leaving a run on a slow worker makes its job late.
///
/// Compares two explanations of the run time. If the worker is at fault, then runs of the step on
/// other workers are shorter by its slowdown, and runs of other jobs on it are as much longer than
/// expected. If the job is long, its siblings are as long, and the neighbours are not affected. A
/// lone run is held against the spread of its kind, and against the share of its jobs that have
/// been overlong of late: a length that the kind often has is no sign of a fault. Faults are rare,
/// so that without evidence the job is long.
RunPrognosis prognoseRun(const RunEvidence &Evidence);

/// Median of the runs' Milliseconds; requires that there is one.
double medianMilliseconds(std::span<const ObservedRun> Runs);
/// Median of the runs' AtLeast; requires that there is one.
double medianAtLeast(std::span<const ObservedRun> Runs);

} // namespace cornellift::kernel
