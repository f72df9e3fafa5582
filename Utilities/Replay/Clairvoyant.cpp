#include "Utilities/Replay/Clairvoyant.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <queue>
#include <set>

namespace cornellift::replay {
namespace {

constexpr double Never = std::numeric_limits<double>::max();
/// Limit on the tasks that one pass holds for slots that are still busy.
constexpr std::size_t MaximumHeldTasks = 64;

/// Slots of a worker with its speeds and outages over the whole trace.
class WorkerTimeline {
public:
  explicit WorkerTimeline(const TraceWorker &Worker) : Speeds_{{0, Worker.Speed}} {
    for (std::uint32_t Slot = 0; Slot < Worker.Slots; ++Slot)
      FreeAt.push_back(0);
  }

  void setSpeed(double At, double Speed) { Speeds_[At] = Speed; }

  void setState(double At, WorkerChange::State Next) {
    if (Next != WorkerChange::State::Normal) {
      if (Outages_.empty() || Outages_.back().second != Never)
        Outages_.emplace_back(At, Never);
    } else if (!Outages_.empty() && Outages_.back().second == Never) {
      Outages_.back().second = At;
    }
  }

  /// End of a task that starts at the given time; Never when an outage interrupts it.
  double endOf(double Start, double RunTime) const {
    double End = Start + RunTime / std::prev(Speeds_.upper_bound(Start))->second;
    for (const auto &[From, Until] : Outages_)
      if (Start < Until && End > From)
        return Never;
    return End;
  }

  double fastest() const {
    double Best = 0;
    for (const auto &[At, Speed] : Speeds_)
      Best = std::max(Best, Speed);
    return Best;
  }

  std::vector<double> FreeAt; ///< Milliseconds, by slot.

private:
  std::map<double, double> Speeds_;
  std::vector<std::pair<double, double>> Outages_;
};

std::vector<WorkerTimeline> planWorkers(const Trace &Input) {
  std::vector<WorkerTimeline> Workers(Input.Workers.begin(), Input.Workers.end());
  for (const auto &[At, Content] : Input.Changes) {
    if (const auto *Speed = std::get_if<SpeedChange>(&Content))
      Workers[Speed->Worker].setSpeed(At, Speed->Speed);
    if (const auto *Change = std::get_if<WorkerChange>(&Content))
      Workers[Change->Worker].setState(At, Change->Next);
    if (const auto *Change = std::get_if<DataCentreChange>(&Content))
      for (std::size_t Worker = 0; Worker < Workers.size(); ++Worker)
        if (Input.Workers[Worker].DataCentre == Change->DataCentre)
          Workers[Worker].setState(At, Change->Next);
  }
  return Workers;
}

enum class PlanOrder { SmallestRemaining, Arrival };
enum class HoldMode { Hold, Greedy };

/// One run of a list scheduler that knows the whole trace.
class Planner {
public:
  Planner(const Trace &Input, const std::vector<std::uint8_t> &Included, PlanOrder Order,
          HoldMode Hold)
      : Input_(Input), Order_(Order), Hold_(Hold), Workers_(planWorkers(Input)),
        Jobs_(Input.Jobs.size()), Responses_(Input.Jobs.size(), -1) {
    for (std::uint32_t Job = 0; Job < Jobs_.size(); ++Job)
      if (Included[Job] != 0)
        Arrivals_.push_back(Job);
    for (const auto &Change : Input.Changes)
      DecisionPoints_.push(Change.At);
  }

  std::vector<double> run() {
    std::size_t NextArrival = 0;
    while (NextArrival < Arrivals_.size() || !Ready_.empty()) {
      double Arrival =
          NextArrival < Arrivals_.size() ? Input_.Jobs[Arrivals_[NextArrival]].At : Never;
      double NextDecision = DecisionPoints_.empty() ? Never : DecisionPoints_.top();
      Now_ = std::min(Arrival, NextDecision);
      if (Now_ == Never)
        break;
      while (!DecisionPoints_.empty() && DecisionPoints_.top() <= Now_)
        DecisionPoints_.pop();
      for (; NextArrival < Arrivals_.size() && Input_.Jobs[Arrivals_[NextArrival]].At <= Now_;
           ++NextArrival)
        arrive(Arrivals_[NextArrival]);
      assign();
    }
    return std::move(Responses_);
  }

private:
  struct JobPlan {
    std::vector<double> UnstartedRunTimes; ///< Run times of unstarted tasks, shortest first.
    double Work = 0;
    double End = 0;
  };

  struct Choice {
    double End = Never;
    std::size_t Worker = 0;
    std::size_t Slot = 0;
    double Start = 0;
  };

  double priority(std::uint32_t Job) const {
    return Order_ == PlanOrder::Arrival ? Input_.Jobs[Job].At : Jobs_[Job].Work;
  }

  void arrive(std::uint32_t Index) {
    auto &Job = Jobs_[Index];
    for (const auto &Task : Input_.Jobs[Index].Tasks)
      Job.UnstartedRunTimes.push_back(Task.True);
    std::sort(Job.UnstartedRunTimes.begin(), Job.UnstartedRunTimes.end());
    Job.Work = std::accumulate(Job.UnstartedRunTimes.begin(), Job.UnstartedRunTimes.end(), 0.0);
    Ready_.emplace(priority(Index), Index);
  }

  /// Returns the slot with the earliest end of the task. Busy slots are considered only in the mode
  /// Hold.
  Choice choose(double RunTime, std::vector<std::vector<double>> &Free) const {
    Choice Best;
    for (std::size_t Worker = 0; Worker < Workers_.size(); ++Worker) {
      auto First = std::min_element(Free[Worker].begin(), Free[Worker].end());
      if (First == Free[Worker].end() || (Hold_ == HoldMode::Greedy && *First > Now_))
        continue;
      double Start = std::max(Now_, *First);
      double End = Workers_[Worker].endOf(Start, RunTime);
      if (End < Best.End)
        Best = {End, Worker, static_cast<std::size_t>(First - Free[Worker].begin()), Start};
    }
    return Best;
  }

  bool anyFree() const {
    for (const auto &Worker : Workers_)
      for (double FreeAt : Worker.FreeAt)
        if (FreeAt <= Now_)
          return true;
    return false;
  }

  void assign() {
    if (Ready_.empty() || !anyFree())
      return;
    // A working copy that includes the held tasks, so that no slot is assigned twice in this pass.
    std::vector<std::vector<double>> Free;
    std::size_t FreeSlots = 0;
    for (const auto &Worker : Workers_) {
      Free.push_back(Worker.FreeAt);
      for (double FreeAt : Worker.FreeAt)
        FreeSlots += FreeAt <= Now_ ? 1 : 0;
    }
    std::size_t Held = 0;
    for (auto Next = Ready_.begin();
         Next != Ready_.end() && FreeSlots > 0 && Held < MaximumHeldTasks;) {
      auto Index = Next->second;
      Next = Ready_.erase(Next);
      auto &Job = Jobs_[Index];
      std::vector<double> HeldRunTimes;
      while (!Job.UnstartedRunTimes.empty() && FreeSlots > 0 && Held < MaximumHeldTasks) {
        double RunTime = Job.UnstartedRunTimes.back();
        auto Best = choose(RunTime, Free);
        if (Best.End == Never) {
          Held = MaximumHeldTasks;
          break;
        }
        Job.UnstartedRunTimes.pop_back();
        Free[Best.Worker][Best.Slot] = Best.End;
        if (Best.Start > Now_) {
          HeldRunTimes.push_back(RunTime);
          ++Held;
          continue;
        }
        --FreeSlots;
        Workers_[Best.Worker].FreeAt[Best.Slot] = Best.End;
        DecisionPoints_.push(Best.End);
        Job.Work -= RunTime;
        Job.End = std::max(Job.End, Best.End);
      }
      Job.UnstartedRunTimes.insert(Job.UnstartedRunTimes.end(), HeldRunTimes.rbegin(),
                                   HeldRunTimes.rend());
      if (Job.UnstartedRunTimes.empty())
        Responses_[Index] = Job.End - Input_.Jobs[Index].At + 2 * Input_.OneWay;
      else
        Unfinished_.push_back(Index);
    }
    for (auto Index : Unfinished_)
      Ready_.emplace(priority(Index), Index);
    Unfinished_.clear();
  }

  const Trace &Input_;
  PlanOrder Order_;
  HoldMode Hold_;
  std::vector<WorkerTimeline> Workers_;
  std::vector<JobPlan> Jobs_;
  std::vector<double> Responses_;
  std::vector<std::uint32_t> Arrivals_;
  std::set<std::pair<double, std::uint32_t>> Ready_;
  std::vector<std::uint32_t> Unfinished_;
  std::priority_queue<double, std::vector<double>, std::greater<>> DecisionPoints_;
  double Now_ = 0;
};

/// Response times of the planned jobs that arrive after the warm-up.
std::vector<double> countedResponses(const Trace &Input, const std::vector<double> &Responses) {
  std::vector<double> Result;
  for (std::size_t Job = 0; Job < Responses.size(); ++Job)
    if (Responses[Job] > 0 && Input.Jobs[Job].At >= Input.WarmUp)
      Result.push_back(Responses[Job]);
  return Result;
}

double sumOf(const Trace &Input, const std::vector<double> &Responses) {
  auto Counted = countedResponses(Input, Responses);
  return std::accumulate(Counted.begin(), Counted.end(), 0.0);
}

double p99Of(const Trace &Input, const std::vector<double> &Responses) {
  auto Counted = countedResponses(Input, Responses);
  if (Counted.empty())
    return 0;
  auto Position = Counted.begin() + static_cast<std::ptrdiff_t>(Counted.size() * 99 / 100);
  std::nth_element(Counted.begin(), Position, Counted.end());
  return *Position;
}

std::vector<double> lowerBound(const Trace &Input, const std::vector<std::uint8_t> &Included) {
  double Fastest = 0;
  for (const auto &Worker : planWorkers(Input))
    Fastest = std::max(Fastest, Worker.fastest());
  std::vector<double> Result(Input.Jobs.size(), -1);
  for (std::size_t Job = 0; Job < Result.size(); ++Job) {
    if (Included[Job] == 0)
      continue;
    double Longest = 0;
    for (const auto &Task : Input.Jobs[Job].Tasks)
      Longest = std::max(Longest, Task.True);
    Result[Job] = Longest / Fastest + 2 * Input.OneWay;
  }
  return Result;
}

} // namespace

IdealSchedule planClairvoyant(const Trace &Input, const std::vector<std::uint8_t> &Included) {
  IdealSchedule Result;
  Result.LowerBound = lowerBound(Input, Included);
  double Best = Never;
  double BestTail = Never;
  for (auto Order : {PlanOrder::SmallestRemaining, PlanOrder::Arrival})
    for (auto Hold : {HoldMode::Hold, HoldMode::Greedy}) {
      auto Responses = Planner(Input, Included, Order, Hold).run();
      double Tail = p99Of(Input, Responses);
      if (Tail < BestTail) {
        BestTail = Tail;
        Result.Tail = Responses;
      }
      double Sum = sumOf(Input, Responses);
      if (Sum >= Best)
        continue;
      Best = Sum;
      Result.Planned = std::move(Responses);
    }
  return Result;
}

} // namespace cornellift::replay
