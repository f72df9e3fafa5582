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
  Refused, ///< The last word was "not run".
  Failed,  ///< It failed or may have run, and was not repeated any more.
  Cancelled
};

/// What became of one job of the trace, over all its submissions.
struct JobFate {
  JobEnd End = JobEnd::Unanswered;
  double Response = -1; ///< Milliseconds from the first submission to the last answer.
  std::uint32_t Submissions = 0;
  bool RefusalWasUntrue = false; ///< A task of a submission that was "not run" has started.
  bool Started = false;          ///< A task has started.
  double FlaggedAt = -1; ///< Milliseconds when it was foreseen to be late; negative when never.
};

/// Messages between an entry VM and a worker. Replies are not counted.
struct MessageCounts {
  std::uint64_t Starts = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t StatusQueries = 0;
  std::uint64_t Fences = 0;
  std::uint64_t CancelledInVain = 0;
  std::uint64_t SlotExchange = 0; ///< Between entry VMs; not counted as wasted.
  std::uint64_t Store = 0;        ///< The kernel has no way to make a store call.

  std::uint64_t wasted() const {
    return Refused + Probes + Duplicates + StatusQueries + Fences + CancelledInVain;
  }
};

/// State at one moment, taken every 100 ms.
struct Sample {
  double At = 0; ///< Milliseconds.
  std::uint32_t Waiting = 0;
  std::uint32_t Busy = 0;  ///< Slots.
  std::uint32_t Slots = 0; ///< Of workers that are not down.
  std::uint32_t Ejected = 0;
};

struct ReplayResult {
  std::vector<JobFate> Jobs; ///< In the trace's order.
  MessageCounts Messages;
  std::vector<Sample> Samples;
  std::uint64_t Tasks = 0;        ///< Starts that a worker accepted.
  std::uint64_t DoubleStarts = 0; ///< Starts of a task that had started.
  double UsefulWork = 0;          ///< Slot milliseconds of tasks whose job completed.
  double TotalWork = 0;           ///< Slot milliseconds of all tasks.
  double LongestOverQuota = 0;    ///< Milliseconds that a team was over while another waited.
  double LongestUnderQuotaWait = 0;
  double LongestSilence = 0; ///< Milliseconds from a start to the answer on another connection.
  double EjectedShare = 0;   ///< Largest share of a data centre that was ejected.
  double EndOfBurst = -1;    ///< When the last job of the burst was answered; milliseconds.
  DecisionTimes Times;
};

} // namespace cornellift::replay
