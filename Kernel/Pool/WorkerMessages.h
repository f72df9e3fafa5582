#pragma once

#include "Kernel/Job.h"
#include "Kernel/Pool/JobKey.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::kernel {

enum class WorkerState { Ready, Draining };

/// What a worker's entry in the platform's store says of it.
struct WorkerEntry {
  std::string Id;
  std::string Address; ///< IP number and port.
  std::string DataCentre;
  std::string Service;
  WorkerState State = WorkerState::Ready;
  Resources Capacity;
  std::uint32_t Slots = 1;              ///< Bound on running tasks.
  std::vector<std::string> Labels;      ///< Its type and its rack.
  std::int64_t StartedMilliseconds = 0; ///< Start of this incarnation, since 1970.

  bool operator==(const WorkerEntry &Other) const;
};

/// Orders one run of a task.
struct StartCommand {
  TaskRef Task;
  std::uint32_t Run = 1; ///< Number of this start of the task; rises.
  std::string Specification;
  std::uint64_t FencingToken = 0;
  std::int64_t StartBy = 0; ///< On the worker's clock, in milliseconds; refused when later.
};

struct StopCommand {
  TaskRef Task;
  std::uint32_t Run = 1;
  std::uint64_t FencingToken = 0;
};

/// Asks what runs and what has ended, and extends the lease of all that runs.
struct PollCommand {
  std::uint64_t Number = 0; ///< Tells this process's looks at one worker apart.
  std::uint64_t FencingToken = 0;
  std::uint64_t LastSeen = 0;             ///< Ends up to this number need not be listed again.
  std::optional<std::int64_t> LeaseUntil; ///< On the worker's clock, in milliseconds.
  std::uint32_t WaitMilliseconds = 0;     ///< For a new end.
};

enum class CommandVerdict {
  Accepted,
  Fenced,      ///< The worker has seen a higher fencing token.
  Outdated,    ///< A run with this number, or a higher one, has ended or was stopped there.
  TooLate,     ///< StartBy had passed.
  NoCapacity,  ///< The task does not fit beside what runs.
  Unhealthy,   ///< The worker does nothing at present.
  Misdirected, ///< Another worker has that address now.
  Invalid,     ///< The order was not understood; a fault of this program.
  NoReply,     ///< May have been carried out, or may be later.
  NotSent      ///< The worker was not reached.
};

/// The verdict's name, for logs.
std::string_view verdictName(CommandVerdict Verdict);

/// Reply to a StartCommand or StopCommand.
struct CommandReply {
  CommandVerdict Verdict = CommandVerdict::NoReply;
  std::optional<std::int64_t> ClockMilliseconds; ///< The worker's clock, when it replied.
};

enum class RunEnd {
  Done,
  Failed,
  Stopped, ///< By order.
  Lapsed,  ///< Its lease ended.
  Broken   ///< With another task of its group, or while waiting for it.
};

struct RunningTask {
  TaskRef Task;
  std::uint32_t Run = 1;
  double PercentDone = 0;
};

struct EndedTask {
  std::uint64_t Number = 0; ///< Counts the ends of this incarnation of the worker.
  TaskRef Task;
  std::uint32_t Run = 1;
  RunEnd How = RunEnd::Done;
};

struct WorkerReport {
  std::int64_t ClockMilliseconds = 0;
  std::int64_t StartedMilliseconds = 0; ///< Zero when not told.
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended; ///< In the order of their numbers.
};

/// Reply to a PollCommand; the report is present when the verdict is Accepted.
struct PollReply {
  CommandVerdict Verdict = CommandVerdict::NoReply;
  std::optional<WorkerReport> Report;
};

} // namespace cornellift::kernel
