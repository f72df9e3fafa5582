#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Job.h"
#include "Kernel/Scheduling/OrderingPolicy.h"
#include "Kernel/Scheduling/RunTimeEstimator.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

struct WaitingTask {
  std::uint32_t Index = 0;
  float RunTime = 0; ///< Expected milliseconds on a worker of typical speed.
  float Processors = 0;
  float MemoryMegabytes = 0;
  float Accelerators = 0;
  std::uint32_t PayloadBytes = 0;
  DeclaredRunTime Declared;

  Resources need() const { return {Processors, MemoryMegabytes, Accelerators}; }
};

/// A job with waiting or running tasks.
struct ActiveJob {
  JobId Id;
  TeamIndex Team{};
  ServiceIndex Service{};
  KindIndex Kind{};
  std::uint32_t TaskCount = 0;
  std::uint32_t Running = 0;
  std::uint32_t Delayed = 0; ///< Refused tasks that wait for the retry budget.
  core::TimePoint Arrival;
  core::TimePoint RunningEnd; ///< Latest expected end of a started task.
  std::uint64_t Sequence = 0; ///< Order of arrival.
  double WaitingWork = 0;     ///< Milliseconds.
  std::uint32_t Level = 0;
  std::vector<WaitingTask> Tasks; ///< Waiting ones, shortest first.

  JobView view() const { return {WaitingWork, Arrival}; }
};

/// Which end of a job's waiting tasks to take.
enum class TaskChoice { Longest, Shortest };

/// Jobs with waiting tasks, by team and lane.
class WaitingJobs {
public:
  using Level = std::map<std::uint64_t, ActiveJob *>;

  /// Rebuilds all lanes. The policy must outlive this object or the next call.
  void setPolicy(const OrderingPolicy *Policy);

  ActiveJob &add(std::unique_ptr<ActiveJob> Job);
  ActiveJob *find(JobId Job);
  const ActiveJob *find(JobId Job) const;
  void erase(JobId Job);

  /// Removes a waiting task and returns it. The job must have one.
  WaitingTask take(ActiveJob &Job, TaskChoice Choice);
  void requeue(ActiveJob &Job, const WaitingTask &Task);

  std::size_t queues() const { return Queues_.size(); }
  bool hasWaiting(std::size_t Queue) const { return Queues_[Queue].Occupied != 0; }
  /// The queue that a team's jobs are in; 0 when the policy ignores teams.
  std::size_t queueOf(TeamIndex Team) const;

  /// Up to the given number of jobs: the most urgent lane heads, and the head of the last lane, the
  /// one that can best afford a slow worker.
  void candidates(std::size_t Queue, core::TimePoint Now, std::size_t Limit,
                  std::vector<ActiveJob *> &Result) const;

  std::uint32_t waitingTasks() const { return WaitingTasks_; }
  std::uint64_t waitingBytes() const { return WaitingBytes_; }
  double waitingWork() const { return WaitingWork_; }
  double queueWork(std::size_t Queue) const;
  /// Work in the lanes up to the one that a job like this is in.
  double workAhead(std::size_t Queue, const JobView &Job) const;
  std::uint32_t teamTasks(TeamIndex Team) const;
  /// Services of the waiting tasks.
  std::vector<ServiceIndex> services() const;
  std::size_t jobCount() const { return Jobs_.size(); }

private:
  struct Queue {
    std::array<Level, OrderingPolicy::Levels> Levels;
    std::array<double, OrderingPolicy::Levels> Work{};
    std::uint64_t Occupied = 0; ///< Bit per lane that has jobs.
  };

  void addToQueue(ActiveJob &Job);
  void removeFromQueue(ActiveJob &Job);
  void addToTotals(const ActiveJob &Job, const WaitingTask &Task, int Sign);

  const OrderingPolicy *Policy_ = nullptr;
  std::unordered_map<JobId, std::unique_ptr<ActiveJob>> Jobs_;
  std::vector<Queue> Queues_;
  std::vector<std::uint32_t> TeamTasks_;
  std::vector<std::uint32_t> ServiceTasks_;
  std::uint32_t WaitingTasks_ = 0;
  std::uint64_t WaitingBytes_ = 0;
  double WaitingWork_ = 0;
  std::uint64_t NextSequence_ = 1;
};

} // namespace cornellift::kernel
