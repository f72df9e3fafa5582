#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/KindShares.h"
#include "Kernel/Pool/RoomForecast.h"
#include "Kernel/Pool/Worker.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cornellift::kernel {

/// A job is given up or rejected only when the remaining time is less than this share of its
/// expected run time, because estimates are rough.
constexpr double MinimumRunTimeShare = 0.7;

/// Whether a waiting job can still meet its objective. Jobs are placed in the order of these
/// values.
enum class JobProspect : std::uint8_t {
  InTime,
  StartedLate, ///< Late, but some of its tasks have started and would be wasted.
  Late
};

/// A waiting job: its deadlines, and the work that it needs.
struct WaitingJob {
  JobHandle Handle{};
  /// Order in which it gives way, as of its arrival.
  Standing ArrivalStanding{};
  bool MayHaveRun = false; ///< Some of its tasks run or have run.
  /// What its waiting tasks take of a typical worker: the dominant share of the worker's resources
  /// times the run time, in milliseconds.
  double Work = 0;
  core::Duration ShortestRun{0}; ///< Expected run time of its longest waiting task, at the fastest.
  core::TimePoint LatestStart;   ///< On a typical worker.
  /// Later than LatestStart for jobs that may rely on the fastest workers to meet the objective.
  core::TimePoint InTimeUntil;
  core::TimePoint UsefulUntil;
};

/// The decisions on all waiting jobs.
struct AdmissionPlan {
  std::vector<JobProspect> Prospects;    ///< By the position in the input.
  std::vector<std::size_t> Unattainable; ///< Positions of those that can't even be served late.
  double Work = 0;                       ///< Of the jobs that remain, as WaitingJob::Work.
  std::size_t LateCount = 0;             ///< Jobs that could be in time but for the work ahead.
};

/// Decides which waiting jobs are to be in time when the room doesn't suffice for all. Answers more
/// work than there is room for: bursts, the return after an outage, the loss of workers.
///
/// Jobs are taken in the order of their latest start, as long as all that were taken so far can
/// start in time. When one can't, jobs give way until it can, those of the worst standing first,
/// and among these the one with the latest start. Placed by the latest start alone, each job would
/// begin as soon as it is just too late, so that none is in time.
///
/// Jobs that have started never give way. They and those below their floor are late only when not
/// even the fastest worker meets their objective: the last tasks of wide jobs are placed long after
/// the first, and these jobs, of which all tasks have to fit, are the first that don't fit when
/// there is a little less room than expected. The standing of the others is that of their arrival
/// (KindShares): if it changed while they wait, jobs that were to be in time would be refused after
/// all.
///
/// A job that can't be in time is unattainable if the room that the jobs in time leave doesn't
/// serve it while the answer is of use.
AdmissionPlan planAdmission(std::span<const WaitingJob> Jobs, const RoomForecast &Room,
                            core::TimePoint Now);

} // namespace cornellift::kernel
