#pragma once

#include "Utilities/Replay/TimedScheduler.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornellift::replay {

enum class JobEnd {
  Unanswered,
  Completed,
  Refused, ///< The last submission ended as "not run".
  Failed,  ///< The last submission failed or may have run, and was not repeated.
  Cancelled
};

/// Outcome of one job of the trace, over all its submissions.
struct JobOutcome {
  JobEnd End = JobEnd::Unanswered;
  double Response = -1; ///< Milliseconds from the first submission to the last answer.
  std::uint32_t Submissions = 0;
  bool RefusedAfterStart = false; ///< A task of a "not run" submission had started.
  bool Started = false;           ///< A task has started.
  double FlaggedAt = -1; ///< Milliseconds when it was flagged as late; negative when never.
};

/// Counts of messages from entry VMs to workers, except where noted. Replies are not counted.
struct MessageCounts {
  std::uint64_t Starts = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t StatusQueries = 0;
  std::uint64_t Fences = 0;
  std::uint64_t WastedCancels = 0;
  std::uint64_t SlotExchange = 0; ///< Between entry VMs; not counted as wasted.
  std::uint64_t Store = 0;        ///< Always 0: the kernel makes no store calls.

  std::uint64_t wasted() const {
    return Refused + Probes + Duplicates + StatusQueries + Fences + WastedCancels;
  }
};

/// A snapshot of the load, taken every 100 ms.
struct Sample {
  double At = 0;             ///< Milliseconds.
  std::uint32_t Waiting = 0; ///< Tasks.
  std::uint32_t Busy = 0;    ///< Slots.
  std::uint32_t Slots = 0;   ///< Slots of workers that are not down.
  std::uint32_t Ejected = 0; ///< Workers.
};

struct ReplayResult {
  std::vector<JobOutcome> Jobs; ///< In the trace's order.
  MessageCounts Messages;
  std::vector<Sample> Samples;
  std::uint64_t Tasks = 0;        ///< Starts that a worker accepted.
  std::uint64_t DoubleStarts = 0; ///< Starts of a task on a worker that had started it before.
  double UsefulWork = 0;          ///< Slot milliseconds of completed submissions.
  double TotalWork = 0;           ///< Slot milliseconds of all tasks.
  double LongestOverQuota = 0;    ///< Milliseconds a team was over its quota while others waited.
  /// Milliseconds that a team waited under its quota while another was over its own.
  double LongestUnderQuotaWait = 0;
  /// Milliseconds from a start on a silent connection to the answer on another one.
  double LongestSilence = 0;
  double EjectedShare = 0; ///< Largest share of a data centre's workers that was ejected.
  double EndOfBurst = -1;  ///< Milliseconds when the last job of the burst was answered.
  DecisionTimes Times;
};

} // namespace cornellift::replay
