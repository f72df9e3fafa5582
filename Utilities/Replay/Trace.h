#pragma once

#include "Kernel/Job.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornellift::replay {

/// One task of a trace. Times are in milliseconds on a worker of speed 1.
struct TraceTask {
  double True = 0;     ///< Run time.
  double Declared = 0; ///< Run time.
  kernel::Resources DeclaredSize;
  kernel::Resources TrueSize;
};

/// Specifies whether a job's tasks can succeed.
enum class JobNature {
  Good,
  Failing, ///< Every task fails on every worker.
};

struct TraceJob {
  double At = 0; ///< Milliseconds from the start of the trace.
  std::string Label;
  std::uint32_t Team = 0;
  std::uint32_t Service = 0;
  std::uint32_t Kind = 0;
  JobNature Nature{};
  std::optional<double> Deadline; ///< Milliseconds after At.
  std::vector<TraceTask> Tasks;
};

struct TraceWorker {
  std::string Name;
  std::string DataCentre;
  std::uint32_t Slots = 8;
  kernel::Resources Capacity;
  double Speed = 1;
};

/// Changes the speed of a worker for tasks that start later.
struct SpeedChange {
  std::uint32_t Worker = 0;
  double Speed = 1;
};

struct WorkerChange {
  std::uint32_t Worker = 0;
  enum class State { Normal, FailsAll, Down } Next{};
};

struct DataCentreChange {
  std::string DataCentre;
  WorkerChange::State Next{};
};

/// The entry VM stops without warning; its jobs are lost.
struct EntryVmLost {
  std::uint32_t EntryVm = 0;
};

/// The platform's store stops answering or resumes. The replay ignores this line, because the
/// kernel makes no store calls; it documents the fault.
struct StoreChange {
  bool Answers = true;
};

/// Callers cancel a share of the jobs that have not ended.
struct CancelWave {
  double Share = 0;
};

/// Every connection to the worker that is open at this time becomes silent and stays so: the
/// results of running tasks are lost, and so is the next start on each idle connection. New
/// connections work.
struct ConnectionsSilent {
  std::uint32_t Worker = 0;
};

struct TimedChange {
  double At = 0; ///< Milliseconds from the start of the trace.
  std::variant<SpeedChange, WorkerChange, DataCentreChange, EntryVmLost, StoreChange, CancelWave,
               ConnectionsSilent>
      Content;
};

/// Bounds on a figure of the first policy of a comparison, usually the default.
struct Expectation {
  std::string Metric;
  std::optional<double> AtMost;
  std::optional<double> AtLeast;
};

struct TraceKind {
  std::string Name;
  double Expected = 0; ///< Milliseconds.
  kernel::Resources Needed;
};

struct TraceService {
  std::string Name;
  double MessageCost = 1; ///< Milliseconds.
  std::vector<TraceKind> Kinds;
};

struct TraceTeam {
  std::string Name;
  double Share = 1;
};

struct Trace {
  std::string Name;
  std::uint64_t Seed = 1;
  double OneWay = 0.5;  ///< Milliseconds between an entry VM and a worker or another VM.
  double WarmUp = 0;    ///< Milliseconds; earlier jobs are left out of the response times.
  double BurstEnd = -1; ///< Milliseconds; negative without a burst.
  std::uint32_t EntryVms = 1;
  std::vector<TraceService> Services;
  std::vector<TraceTeam> Teams;
  std::vector<TraceWorker> Workers;
  std::vector<TimedChange> Changes; ///< By time.
  std::vector<TraceJob> Jobs;       ///< By time.
  std::vector<Expectation> Expectations;
};

/// Reads JSON lines as documented in docs/TRACES.md. Returns an empty optional with Malformed and
/// the line's number for anything else.
std::optional<Trace> readTrace(std::istream &Input);

/// Writes JSON lines that readTrace accepts.
void writeTrace(const Trace &Content, std::ostream &Output);

} // namespace cornellift::replay
