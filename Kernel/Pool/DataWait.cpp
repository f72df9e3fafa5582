#include "Kernel/Pool/DataWait.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Free capacities are sums of rounded numbers.
constexpr double RoundingSlack = 1e-6;

/// Gains of less than this are lost again in the delays of commands and reports.
constexpr double MinimumGainMilliseconds = 5;

/// Upper bound of longestUsefulQueue(); longer queues hardly change the mean time.
constexpr std::uint32_t LongestQueue = 64;

/// Erlang's loss formula: the share of time in which all places are taken, if no task waits.
double lossShare(double Places, double Load) {
  double Loss = 1;
  for (double Place = 1; Place <= std::max(1.0, std::round(Places)); ++Place)
    Loss = Load * Loss / (Place + Load * Loss);
  return Loss;
}

/// The longest wait after which a task can still start away from its data and meet whatever it
/// would meet by starting there now.
double longestHarmlessWait(const DataWaitRequest &Request, double NearRun) {
  double End = Request.AwayEnd;
  if (End <= Request.ObjectiveMilliseconds)
    return Request.ObjectiveMilliseconds - End;
  if (NearRun <= Request.ObjectiveMilliseconds)
    return Request.ObjectiveMilliseconds - NearRun; // It can be met near the data only.
  if (End <= Request.UsefulMilliseconds)
    return Request.UsefulMilliseconds - End;
  return std::max(0.0, Request.UsefulMilliseconds - NearRun);
}

} // namespace

bool RackTimetable::Capacity::holds(const Resources &Need) const {
  return Slots > 0 && Need.Processors <= Amounts.Processors + RoundingSlack &&
         Need.MemoryMegabytes <= Amounts.MemoryMegabytes + RoundingSlack &&
         Need.Accelerators <= Amounts.Accelerators + RoundingSlack;
}

void RackTimetable::Capacity::add(const Resources &Need, int Sign) {
  Amounts.Processors += Sign * Need.Processors;
  Amounts.MemoryMegabytes += Sign * Need.MemoryMegabytes;
  Amounts.Accelerators += Sign * Need.Accelerators;
  Slots += Sign;
}

void RackTimetable::insert(Row &Worker, const Change &Added) {
  // After equal times, so that room which is taken at once is released before.
  auto Position =
      std::upper_bound(Worker.Changes.begin(), Worker.Changes.end(), Added.At,
                       [](core::TimePoint At, const Change &Other) { return At < Other.At; });
  Worker.Changes.insert(Position, Added);
}

void RackTimetable::addWorker(const Resources &Free, std::uint32_t FreeSlots, double Speed,
                              std::span<const ExpectedRelease> Runs) {
  Row Added{{Free, FreeSlots}, Speed, {}};
  Added.Changes.reserve(Runs.size());
  for (const auto &Run : Runs)
    insert(Added, {Run.At, Run.ErrorMilliseconds, Run.Need, 1});
  Rows_.push_back(std::move(Added));
}

std::optional<ExpectedRoom> RackTimetable::roomOn(const Row &Worker, const Resources &Need,
                                                  core::TimePoint Now) {
  auto Free = Worker.Free;
  std::optional<ExpectedRoom> Room;
  if (Free.holds(Need))
    Room = {0, Now, 0, Worker.Speed};
  for (const auto &Each : Worker.Changes) {
    Free.add(Each.Need, Each.Sign);
    if (!Free.holds(Need))
      Room.reset(); // Taken by an earlier task.
    else if (!Room)
      Room = {0, std::max(Each.At, Now), Each.ErrorMilliseconds, Worker.Speed};
  }
  return Room;
}

double RackTimetable::places(const Resources &Need) const {
  double Sum = 0;
  for (const auto &Worker : Rows_) {
    auto Whole = Worker.Free;
    for (const auto &Each : Worker.Changes)
      Whole.add(Each.Need, Each.Sign);
    auto Count = static_cast<double>(Whole.Slots);
    if (Need.Processors > 0)
      Count =
          std::min(Count, std::floor(Whole.Amounts.Processors / Need.Processors + RoundingSlack));
    if (Need.MemoryMegabytes > 0)
      Count = std::min(Count, std::floor(Whole.Amounts.MemoryMegabytes / Need.MemoryMegabytes));
    Sum += std::max(0.0, Count) * Worker.Speed;
  }
  return Sum;
}

std::uint32_t longestUsefulQueue(double Places, double Load, double Saving) {
  if (Places <= 0 || Load <= 0)
    return LongestQueue;
  double AllTaken = lossShare(Places, Load);
  // Relative weights of the states with all places taken: one for no task that waits.
  double Ratio = Load / Places;
  double Weight = 1;
  double Total = 1 / AllTaken;
  double Waiting = 0;
  double BestCost = Saving / Total;
  for (std::uint32_t Length = 1; Length <= LongestQueue; ++Length) {
    Weight *= Ratio;
    Total += Weight;
    Waiting += Length * Weight;
    // Tasks that find the queue full lose the saving; the others wait.
    double Cost = (Weight * Saving + Waiting / Load) / Total;
    if (Cost >= BestCost)
      return Length - 1;
    BestCost = Cost;
  }
  return LongestQueue;
}

double waitingPerBusyPlace(double Places, double Load) {
  constexpr double HighestRatio = 0.97;
  constexpr double OneMore = 0.5; // Of both sides, so that the difference is that of one place.
  auto Waiting = [&](double At) {
    double Ratio = std::min(At / Places, HighestRatio);
    double Loss = lossShare(Places, Ratio * Places);
    return Loss / (1 - Ratio * (1 - Loss)) * Ratio / (1 - Ratio);
  };
  if (Places <= 0)
    return 0;
  double Middle = std::clamp(Load, OneMore, std::max(OneMore, HighestRatio * Places - OneMore));
  return Waiting(Middle + OneMore) - Waiting(Middle - OneMore);
}

std::optional<ExpectedRoom> RackTimetable::earliest(const Resources &Need,
                                                    double TypicalMilliseconds,
                                                    core::TimePoint Now) const {
  std::optional<ExpectedRoom> Best;
  double BestEnd = 0;
  for (std::size_t Position = 0; Position < Rows_.size(); ++Position) {
    auto Room = roomOn(Rows_[Position], Need, Now);
    if (!Room)
      continue;
    double End = core::toMilliseconds(Room->At - Now) + TypicalMilliseconds / Room->Speed;
    if (Best && End >= BestEnd)
      continue;
    Best = Room;
    Best->Worker = Position;
    BestEnd = End;
  }
  return Best;
}

void RackTimetable::take(const ExpectedRoom &Room, const Resources &Need,
                         double TypicalMilliseconds) {
  auto &Worker = Rows_[Room.Worker];
  ++Taken_;
  auto End = Room.At + core::fromMilliseconds(TypicalMilliseconds / Worker.Speed);
  insert(Worker, {Room.At, Room.ErrorMilliseconds, Need, -1});
  insert(Worker, {End, Room.ErrorMilliseconds, Need, 1});
}

DataWaitPlan ExpectedGainPolicy::plan(const DataWaitRequest &Request, RackTimetable &Rack,
                                      core::TimePoint Now) const {
  DataWaitPlan Plan;
  double GainSum = 0;
  double LongestWait = 0;
  double Places = Rack.places(Request.Need);
  while (Plan.Tasks < Request.Tasks) {
    auto Room = Rack.earliest(Request.Need, Request.TypicalMilliseconds, Now);
    if (!Room) {
      Plan.WhyNot = "no worker near the data";
      break;
    }
    double NearRun = Request.TypicalMilliseconds / Room->Speed;
    double Saving = Request.AwayEnd - NearRun;
    double Worth = Saving * (1 + Request.PlaceCost);
    double Wait = core::toMilliseconds(Room->At - Now);
    bool IsInTimeOnlyNear = Request.AwayEnd > Request.ObjectiveMilliseconds &&
                            Wait + NearRun <= Request.ObjectiveMilliseconds;
    if (Request.HaveWaited && !IsInTimeOnlyNear) {
      Plan.WhyNot = "waited in vain";
      break;
    }
    double Error = std::hypot(Request.Deviation * Saving, Room->ErrorMilliseconds);
    if (!IsInTimeOnlyNear && Worth - Wait <= std::max(Error, MinimumGainMilliseconds)) {
      Plan.WhyNot = Wait < Worth ? "the gain is within the error" : "no gain";
      break;
    }
    if (!IsInTimeOnlyNear &&
        Rack.taken() >= longestUsefulQueue(Places, Request.RackLoad, Worth / NearRun)) {
      Plan.WhyNot = "enough tasks wait for the rack";
      break;
    }
    double Longest = std::min(Saving, longestHarmlessWait(Request, NearRun));
    if (Wait + Room->ErrorMilliseconds > Longest) {
      Plan.WhyNot = "the objective leaves no time";
      break;
    }
    Rack.take(*Room, Request.Need, Request.TypicalMilliseconds);
    LongestWait = std::max(LongestWait, Longest);
    GainSum += Saving - Wait;
    ++Plan.Tasks;
  }
  if (Plan.Tasks == 0)
    return Plan;
  Plan.Deadline = Now + core::fromMilliseconds(LongestWait);
  Plan.ExpectedGain = GainSum / Plan.Tasks;
  return Plan;
}

} // namespace cornellift::kernel
