#pragma once

#include "Kernel/Job.h"
#include "Kernel/Pool/JobKey.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::kernel {

enum class WorkerState { Ready, Draining };

/// A worker's entry in the platform's store.
struct WorkerEntry {
  std::string Id;
  std::string Address; ///< IP address and port.
  std::string DataCentre;
  std::string Service;
  WorkerState State = WorkerState::Ready;
  Resources Capacity;
  std::uint32_t Slots = 1;                  ///< Maximum number of running tasks.
  std::vector<std::string> Labels;          ///< Worker type and rack.
  std::int64_t StartedMilliseconds = 0;     ///< Start of this incarnation, since 1970 (Unix time).
  std::optional<core::TimePoint> ColdUntil; ///< It is slow until then, shortly after its start.
  /// While it drains, if it has stated a notice: it stays at least until then. Runs that last
  /// longer may be lost with it.
  std::optional<core::TimePoint> StaysUntil;

  /// Takes over the deadlines of a former report of the same incarnation that hardly differ: the
  /// reports arrive with different delays, which must not look like changes of the entry.
  void keepSteadyDeadlines(const WorkerEntry &Former);
  bool hasLabel(std::string_view Label) const;
  bool operator==(const WorkerEntry &Other) const;
};

/// Starts one run of a task.
struct StartCommand {
  TaskRef Task;
  std::uint32_t Run = 1; ///< Run number; increases with each start of the task.
  std::string Specification;
  std::uint64_t FencingToken = 0;
  std::int64_t StartBy = 0; ///< Latest start on the worker's clock, in ms; refused when passed.
};

/// Stops one run of a task.
struct StopCommand {
  TaskRef Task;
  std::uint32_t Run = 1;
  std::uint64_t FencingToken = 0;
};

/// Long poll for running and ended tasks; also extends the lease of all running tasks.
struct PollCommand {
  std::uint64_t Number = 0; ///< Sequence number of this process's polls of the worker.
  std::uint64_t FencingToken = 0;
  std::uint64_t LastSeen = 0;             ///< Ends up to this number need not be reported again.
  std::optional<std::int64_t> LeaseUntil; ///< End of the lease on the worker's clock, in ms.
  std::uint32_t WaitMilliseconds = 0;     ///< How long the reply may wait for a new end.
};

/// Result of a command to a worker.
enum class CommandVerdict {
  Accepted,
  Fenced,      ///< The worker has seen a higher fencing token.
  Outdated,    ///< A run with this or a higher number has ended or was stopped on the worker.
  TooLate,     ///< StartBy had passed.
  NoCapacity,  ///< The task does not fit beside the running tasks.
  Unhealthy,   ///< The worker is not serving commands at present.
  Misdirected, ///< The address belongs to another worker now.
  Invalid,     ///< The worker did not understand the command; a bug in this program.
  NoReply,     ///< The command may have been executed, or may be executed later.
  NotSent      ///< The worker could not be reached.
};

/// Name of the verdict for log lines.
std::string_view verdictName(CommandVerdict Verdict);

/// Reply to a StartCommand or StopCommand.
struct CommandReply {
  CommandVerdict Verdict = CommandVerdict::NoReply;
  std::optional<std::int64_t> ClockMilliseconds; ///< The worker's clock at the time of the reply.
};

/// How a run ended on its worker.
enum class RunEnd {
  Done,
  Failed,
  Stopped, ///< By a stop command.
  Lapsed,  ///< The lease expired.
  Broken   ///< It ended with another task of its group, or while waiting for that task.
};

/// A running task in a worker's report.
struct RunningTask {
  TaskRef Task;
  std::uint32_t Run = 1;
  double PercentDone = 0;
};

/// An ended run in a worker's report.
struct EndedTask {
  std::uint64_t Number = 0; ///< Sequence number among the ends of the worker's incarnation.
  TaskRef Task;
  std::uint32_t Run = 1;
  RunEnd How = RunEnd::Done;
};

/// A worker's state in its reply to a poll.
struct WorkerReport {
  std::int64_t ClockMilliseconds = 0;
  std::int64_t StartedMilliseconds = 0; ///< Start of the incarnation; zero if not given.
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended; ///< In ascending order of Number.
};

/// Reply to a PollCommand; Report is set if the verdict is Accepted.
struct PollReply {
  CommandVerdict Verdict = CommandVerdict::NoReply;
  std::optional<WorkerReport> Report;
};

} // namespace cornellift::kernel
