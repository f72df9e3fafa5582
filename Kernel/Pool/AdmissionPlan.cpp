#include "Kernel/Pool/AdmissionPlan.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace cornellift::kernel {
namespace {

/// The jobs that are to be in time, while they are taken in the order of their latest start.
class Admission {
public:
  Admission(std::span<const WaitingJob> Jobs, const RoomForecast &Room, core::TimePoint Now,
            AdmissionPlan &Plan)
      : Jobs_(Jobs), Room_(Room), Now_(Now), Plan_(Plan) {}

  void takeStarted(std::size_t Position) {
    Work_ += Jobs_[Position].Work;
    makeRoomFor(Jobs_[Position], Standing::BelowFloor);
  }

  void take(std::size_t Position) {
    auto Of = Jobs_[Position].ArrivalStanding;
    auto &Equals = Taken_[Of];
    Equals.Positions.push_back(Position);
    Equals.Work += Jobs_[Position].Work;
    Work_ += Jobs_[Position].Work;
    if (!makeRoomFor(Jobs_[Position], worseThan(Of)))
      dropLast(Equals);
  }

  double work() const { return Work_; }

private:
  struct Group {
    std::vector<std::size_t> Positions; ///< By latest start.
    double Work = 0;
  };

  bool isPlacedBy(core::TimePoint Latest, double Work) const {
    return Now_ + core::fromMilliseconds(Room_.millisecondsFor(Work)) <= Latest;
  }

  bool makeRoomFor(const WaitingJob &Job, Standing From) {
    return makeRoomBy(Job.LatestStart, From) || makeRoomBy(Job.InTimeUntil, From);
  }

  /// Lets jobs of that standing or worse give way until all work is placed by then, if that helps.
  bool makeRoomBy(core::TimePoint Latest, Standing From) {
    if (isPlacedBy(Latest, Work_))
      return true;
    double Least = Work_;
    for (auto Each = Taken_.lower_bound(From); Each != Taken_.end(); ++Each)
      Least -= Each->second.Work;
    if (!isPlacedBy(Latest, Least))
      return false;
    while (!isPlacedBy(Latest, Work_)) {
      if (Taken_.empty()) // Sums in another order are rounded differently.
        return false;
      auto Worst = std::prev(Taken_.end());
      if (Worst->first < From)
        return false;
      if (Worst->second.Positions.empty())
        Taken_.erase(Worst);
      else
        dropLast(Worst->second);
    }
    return true;
  }

  void dropLast(Group &From) {
    auto Position = From.Positions.back();
    From.Positions.pop_back();
    From.Work -= Jobs_[Position].Work;
    Work_ -= Jobs_[Position].Work;
    Plan_.Prospects[Position] = JobProspect::Late;
    ++Plan_.LateCount;
  }

  std::span<const WaitingJob> Jobs_;
  const RoomForecast &Room_;
  core::TimePoint Now_;
  AdmissionPlan &Plan_;
  std::map<Standing, Group> Taken_;
  double Work_ = 0;
};

bool isAttainable(const WaitingJob &Job, double Ahead, const RoomForecast &Room,
                  core::TimePoint Now) {
  auto Start = Now + core::fromMilliseconds(Room.millisecondsForLate(Ahead));
  auto Run = core::fromMilliseconds(core::toMilliseconds(Job.ShortestRun) * MinimumRunTimeShare);
  return Start + Run <= Job.UsefulUntil;
}

} // namespace

AdmissionPlan planAdmission(std::span<const WaitingJob> Jobs, const RoomForecast &Room,
                            core::TimePoint Now) {
  AdmissionPlan Plan;
  Plan.Prospects.resize(Jobs.size(), JobProspect::InTime);
  std::vector<std::size_t> Order(Jobs.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::sort(Order.begin(), Order.end(), [&](std::size_t Left, std::size_t Right) {
    return std::pair(Jobs[Left].LatestStart, Jobs[Left].Handle) <
           std::pair(Jobs[Right].LatestStart, Jobs[Right].Handle);
  });
  Admission InTime(Jobs, Room, Now, Plan);
  for (auto Position : Order) {
    const auto &Job = Jobs[Position];
    if (std::max(Job.LatestStart, Job.InTimeUntil) < Now)
      Plan.Prospects[Position] = Job.MayHaveRun ? JobProspect::StartedLate : JobProspect::Late;
    else if (Job.MayHaveRun)
      InTime.takeStarted(Position);
    else
      InTime.take(Position);
  }
  Plan.Work = InTime.work();
  for (auto Prospect : {JobProspect::StartedLate, JobProspect::Late})
    for (auto Position : Order) {
      const auto &Job = Jobs[Position];
      if (Plan.Prospects[Position] != Prospect)
        continue;
      if (!Job.MayHaveRun && !isAttainable(Job, Plan.Work, Room, Now))
        Plan.Unattainable.push_back(Position);
      else
        Plan.Work += Job.Work;
    }
  return Plan;
}

} // namespace cornellift::kernel
