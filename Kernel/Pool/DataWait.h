#pragma once

#include "Kernel/Job.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cornellift::kernel {

/// The expected end of a run, which releases the capacity that it uses.
struct ExpectedRelease {
  core::TimePoint At;
  double ErrorMilliseconds = 0; ///< Standard error of At.
  Resources Need;
};

/// Room for one task that is expected on a worker.
struct ExpectedRoom {
  std::size_t Worker = 0; ///< Position in the timetable.
  core::TimePoint At;
  double ErrorMilliseconds = 0; ///< Standard error of At.
  double Speed = 1;
};

/// When capacity becomes free on the workers of one rack: from the expected ends of the runs there,
/// less what earlier tasks wait for.
class RackTimetable {
public:
  /// Adds a worker that accepts tasks, with its free capacity and its runs.
  void addWorker(const Resources &Free, std::uint32_t FreeSlots, double Speed,
                 std::span<const ExpectedRelease> Runs);

  bool hasWorkers() const { return !Rows_.empty(); }

  /// The room in which a task of that run time on a typical worker is expected to end first; empty
  /// if it fits on no worker.
  std::optional<ExpectedRoom> earliest(const Resources &Need, double TypicalMilliseconds,
                                       core::TimePoint Now) const;

  /// Number of such tasks that the workers run at the same time, in places of typical speed.
  double places(const Resources &Need) const;
  /// Number of tasks that wait for room here.
  std::uint32_t taken() const { return Taken_; }

  /// Takes the room for a task that waits for it.
  void take(const ExpectedRoom &Room, const Resources &Need, double TypicalMilliseconds);

private:
  struct Capacity {
    Resources Amounts;
    std::int64_t Slots = 0;

    bool holds(const Resources &Need) const;
    void add(const Resources &Need, int Sign);
  };
  struct Change {
    core::TimePoint At;
    double ErrorMilliseconds = 0;
    Resources Need;
    int Sign = 1; ///< Of the change of the free capacity.
  };
  struct Row {
    Capacity Free;
    double Speed = 1;
    std::vector<Change> Changes; ///< In the order of time.
  };

  static void insert(Row &Worker, const Change &Added);
  static std::optional<ExpectedRoom> roomOn(const Row &Worker, const Resources &Need,
                                            core::TimePoint Now);

  std::vector<Row> Rows_;
  std::uint32_t Taken_ = 0;
};

/// Number of tasks that should wait for a rack at most, so that the mean time of all tasks that
/// want it is shortest. Beyond that, each task that waits takes more time from those after it than
/// it saves itself. Assumes random arrivals and run times.
///
/// Places is the number of tasks that run there at the same time, Load the places that are wanted
/// in the mean, and Saving what a place there saves, in run times there.
std::uint32_t longestUsefulQueue(double Places, double Load, double Saving);

/// Mean number of tasks that one more busy place makes wait, in a fleet that runs Places tasks at
/// the same time and has Load of them in the mean. Assumes random arrivals and run times.
double waitingPerBusyPlace(double Places, double Load);

/// Equal tasks of a step that could start away from their data now. Times are in milliseconds from
/// now.
struct DataWaitRequest {
  Resources Need;
  std::uint32_t Tasks = 1;
  double TypicalMilliseconds = 0; ///< Run time near the data on a typical worker.
  double Deviation = 0;           ///< Standard deviation of its natural logarithm.
  double AwayEnd = 0;             ///< Expected end of a task that starts away from the data now.
  double ObjectiveMilliseconds = 0;
  double UsefulMilliseconds = 0; ///< Later ends are of no use.
  double RackLoad = 0;           ///< Places near the data that are wanted in the mean.
  /// Mean time for which a run makes other tasks wait by taking a place, relative to its run time.
  double PlaceCost = 0;
  bool HaveWaited = false; ///< They have waited before, and found no room near their data.
};

/// How many of the tasks should wait for room near their data; the others should start now.
struct DataWaitPlan {
  std::uint32_t Tasks = 0;
  core::TimePoint Deadline;  ///< End of the wait, whether or not there is room by then.
  double ExpectedGain = 0;   ///< Mean over the tasks that wait, in milliseconds.
  std::string_view WhyNot{}; ///< Why the next task should not wait; empty if all should.
};

/// A step's wait for room near its data.
struct DataWait {
  std::uint32_t Tasks = 0; ///< Tasks that wait now; zero without a wait.
  core::TimePoint Since;
  core::TimePoint Deadline;
  core::TimePoint AwayEnd;       ///< Expected end of a task, had it started elsewhere at Since.
  double ExpectedGain = 0;       ///< Of each task, at Since, in milliseconds.
  double Gain = 0;               ///< Sum in milliseconds; tasks that waited in vain reduce it.
  std::uint32_t StartedNear = 0; ///< Tasks of this wait.
  std::uint32_t StartedAway = 0;
  bool IsOver = false;         ///< It has ended without room near the data.
  std::uint64_t PlannedIn = 0; ///< Number of the dispatch that planned it last.
  core::TimePoint PlanAt; ///< When it is planned again, unless a run near the data ends before.
};

/// Decides whether tasks wait for room near their data.
class DataWaitPolicy {
public:
  virtual ~DataWaitPolicy() = default;

  /// Plans a step's tasks together. Takes the room for which tasks wait from the timetable of the
  /// data's rack.
  virtual DataWaitPlan plan(const DataWaitRequest &Request, RackTimetable &Rack,
                            core::TimePoint Now) const = 0;
};

/// A task waits if it is expected to end sooner near its data, by more than the error of the
/// estimate, or to meet an objective there that it misses elsewhere; and only for as long as it
/// could still start away from its data without missing an objective that it would meet by starting
/// now. The whole wait is at most what the place saves, so that a task which waits in vain takes at
/// most that much longer. No more tasks wait for a rack than is best for all that want it.
///
/// Answers loads in which one rack is wanted by many tasks and its workers are busy with short
/// runs, so that a place near the data becomes free sooner than the longer run away from it would
/// end.
class ExpectedGainPolicy final : public DataWaitPolicy {
public:
  DataWaitPlan plan(const DataWaitRequest &Request, RackTimetable &Rack,
                    core::TimePoint Now) const override;
};

} // namespace cornellift::kernel
