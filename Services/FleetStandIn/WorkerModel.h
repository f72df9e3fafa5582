#pragma once

#include "Kernel/Pool/WorkerMessages.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::standin {

/// Behaviour of a task, parsed from words in its specification such as `run_ms=60` and `fail`.
struct TaskProfile {
  double RunMilliseconds = 50; ///< On a worker of speed 1.
  double Cores = 1;
  bool Fails = false;
  std::string DataRack;    ///< Rack of the task's data, given as `rack=NAME`; empty for none.
  double RemoteFactor = 1; ///< Factor on the run time on other racks, given as `away=NUMBER`.

  static TaskProfile parse(std::string_view Specification);
};

/// Injected faults of a worker.
struct WorkerFaults {
  double Slowdown = 1;      ///< Factor on run times.
  bool FailsAll = false;    ///< Every run ends as failed.
  bool IsStalled = false;   ///< Runs make no progress.
  bool IsUnhealthy = false; ///< Refuses starts.
};

/// A run in progress or ended, as listed for tests.
struct ModelRun {
  kernel::TaskRef Task;
  std::uint32_t Number = 1;
  core::TimePoint StartedAt;
  std::optional<core::TimePoint> EndedAt;
  kernel::RunEnd How = kernel::RunEnd::Done;
  std::int64_t Incarnation = 0;   ///< startedMilliseconds() of the worker.
  std::uint64_t FencingToken = 0; ///< Of the start.
};

/// A worker that runs tasks under leases, over several incarnations, without sockets or clocks. It
/// refuses fencing tokens below the highest one it has seen, numbers the ends of its runs, and ends
/// all runs when its lease expires.
class WorkerModel {
public:
  WorkerModel(kernel::WorkerEntry Entry, double Speed, core::TimePoint Now);

  kernel::CommandReply start(const kernel::StartCommand &Command, core::TimePoint Now);
  kernel::CommandReply stop(const kernel::StopCommand &Command, core::TimePoint Now);
  /// Returns the current report without waiting.
  kernel::PollReply poll(const kernel::PollCommand &Command, core::TimePoint Now);
  /// Returns whether an end with a higher number is listed, so that a waiting poll must be
  /// answered.
  bool hasEndAfter(std::uint64_t Number) const;

  /// Ends runs that have finished or been stopped, and all runs when the lease has expired.
  void advance(core::TimePoint Now);

  /// Simulates a crash and restart under the same id, with all state lost.
  void restart(core::TimePoint Now);

  WorkerFaults &faults() { return Faults_; }
  kernel::WorkerEntry &entry() { return Entry_; }
  const kernel::WorkerEntry &entry() const { return Entry_; }
  /// Start of the current incarnation.
  core::TimePoint startedAt() const { return StartedAt_; }
  /// The same as the worker states it, in its entry and in its reports.
  std::int64_t startedMilliseconds() const;
  std::size_t running() const { return Running_.size(); }
  /// All runs of all incarnations.
  const std::vector<ModelRun> &history() const { return History_; }

private:
  struct ActiveRun {
    std::size_t Record = 0; ///< Position in the history.
    TaskProfile Profile;
    double Progress = 0; ///< Milliseconds of work done.
    core::TimePoint StoppingUntil;
    bool IsStopping = false;
  };

  std::int64_t clock(core::TimePoint Now) const;
  bool acceptFencingToken(std::uint64_t Token);
  void extendLease(std::int64_t Until, core::TimePoint Now);
  void end(std::size_t Position, kernel::RunEnd How, core::TimePoint Now);
  ModelRun &record(const ActiveRun &Run) { return History_[Run.Record]; }

  kernel::WorkerEntry Entry_;
  double Speed_;
  WorkerFaults Faults_;
  core::TimePoint StartedAt_;
  core::TimePoint AdvancedTo_;
  std::uint64_t Token_ = 0;
  std::int64_t LeaseUntil_ = 0; ///< On the worker's clock.
  std::uint64_t LastEnd_ = 0;
  std::vector<ActiveRun> Running_;
  std::deque<kernel::EndedTask> Ended_;
  std::unordered_map<std::string, std::uint32_t> RefusedUpTo_; ///< Run numbers, by task.
  std::vector<ModelRun> History_;
};

} // namespace cornellift::standin
