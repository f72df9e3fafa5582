#include "Kernel/Scheduling/WaitingJobs.h"

#include <algorithm>
#include <bit>

namespace cornellift::kernel {

void WaitingJobs::setPolicy(const OrderingPolicy *Policy) {
  Policy_ = Policy;
  Queues_.clear();
  for (auto &[Id, Job] : Jobs_)
    if (!Job->Tasks.empty())
      addToQueue(*Job);
}

std::size_t WaitingJobs::queueOf(TeamIndex Team) const {
  return Policy_->teamOrder() == TeamOrder::None ? 0 : static_cast<std::size_t>(Team);
}

void WaitingJobs::addToQueue(ActiveJob &Job) {
  auto Position = queueOf(Job.Team);
  if (Position >= Queues_.size())
    Queues_.resize(Position + 1);
  auto &Queue = Queues_[Position];
  Job.Level = Policy_->level(Job.view());
  Queue.Levels[Job.Level].emplace(Job.Sequence, &Job);
  Queue.Work[Job.Level] += Job.WaitingWork;
  Queue.Occupied |= 1ULL << Job.Level;
}

void WaitingJobs::removeFromQueue(ActiveJob &Job) {
  auto &Queue = Queues_[queueOf(Job.Team)];
  auto &Level = Queue.Levels[Job.Level];
  Level.erase(Job.Sequence);
  Queue.Work[Job.Level] -= Job.WaitingWork;
  if (!Level.empty())
    return;
  Queue.Work[Job.Level] = 0; // Also clears rounding errors of the sum.
  Queue.Occupied &= ~(1ULL << Job.Level);
}

void WaitingJobs::addToTotals(const ActiveJob &Job, const WaitingTask &Task, int Sign) {
  auto Team = static_cast<std::size_t>(Job.Team);
  if (Team >= TeamTasks_.size())
    TeamTasks_.resize(Team + 1);
  auto Step = static_cast<std::uint32_t>(Sign);
  TeamTasks_[Team] += Step;
  auto Service = static_cast<std::size_t>(Job.Service);
  if (Service >= ServiceTasks_.size())
    ServiceTasks_.resize(Service + 1);
  ServiceTasks_[Service] += Step;
  WaitingTasks_ += Step;
  WaitingBytes_ += static_cast<std::uint64_t>(static_cast<std::int64_t>(Sign) * Task.PayloadBytes);
  WaitingWork_ = WaitingTasks_ == 0 ? 0 : WaitingWork_ + Sign * static_cast<double>(Task.RunTime);
}

ActiveJob &WaitingJobs::add(std::unique_ptr<ActiveJob> Job) {
  auto &Stored = *Job;
  Stored.Sequence = NextSequence_++;
  std::sort(Stored.Tasks.begin(), Stored.Tasks.end(),
            [](const WaitingTask &Left, const WaitingTask &Right) {
              return Left.RunTime < Right.RunTime;
            });
  Stored.WaitingWork = 0;
  for (const auto &Task : Stored.Tasks) {
    Stored.WaitingWork += Task.RunTime;
    addToTotals(Stored, Task, 1);
  }
  Jobs_[Stored.Id] = std::move(Job);
  if (!Stored.Tasks.empty())
    addToQueue(Stored);
  return Stored;
}

ActiveJob *WaitingJobs::find(JobId Job) {
  auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? nullptr : Found->second.get();
}

const ActiveJob *WaitingJobs::find(JobId Job) const {
  auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? nullptr : Found->second.get();
}

void WaitingJobs::erase(JobId Job) {
  auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end())
    return;
  auto &Stored = *Found->second;
  if (!Stored.Tasks.empty())
    removeFromQueue(Stored);
  for (const auto &Task : Stored.Tasks)
    addToTotals(Stored, Task, -1);
  Jobs_.erase(Found);
}

WaitingTask WaitingJobs::take(ActiveJob &Job, TaskChoice Choice) {
  auto Position = Choice == TaskChoice::Longest ? Job.Tasks.end() - 1 : Job.Tasks.begin();
  auto Task = *Position;
  auto &Queue = Queues_[queueOf(Job.Team)];
  auto Left = Job.view();
  Left.WaitingWork -= Task.RunTime;
  bool Moves = Job.Tasks.size() == 1 || Policy_->level(Left) != Job.Level;
  if (Moves)
    removeFromQueue(Job);
  else
    Queue.Work[Job.Level] -= Task.RunTime;
  Job.Tasks.erase(Position);
  Job.WaitingWork = Job.Tasks.empty() ? 0 : Left.WaitingWork;
  addToTotals(Job, Task, -1);
  if (Moves && !Job.Tasks.empty())
    addToQueue(Job);
  return Task;
}

void WaitingJobs::requeue(ActiveJob &Job, const WaitingTask &Task) {
  if (!Job.Tasks.empty())
    removeFromQueue(Job);
  auto Position = std::upper_bound(Job.Tasks.begin(), Job.Tasks.end(), Task,
                                   [](const WaitingTask &Left, const WaitingTask &Right) {
                                     return Left.RunTime < Right.RunTime;
                                   });
  Job.Tasks.insert(Position, Task);
  Job.WaitingWork += Task.RunTime;
  addToTotals(Job, Task, 1);
  addToQueue(Job);
}

void WaitingJobs::candidates(std::size_t QueuePosition, core::TimePoint Now, std::size_t Limit,
                             std::vector<ActiveJob *> &Result) const {
  const auto &Queue = Queues_[QueuePosition];
  Result.clear();
  std::array<std::pair<double, ActiveJob *>, OrderingPolicy::Levels> LevelFronts;
  std::size_t Count = 0;
  for (auto Bits = Queue.Occupied; Bits != 0; Bits &= Bits - 1) {
    auto *Job = Queue.Levels[static_cast<std::size_t>(std::countr_zero(Bits))].begin()->second;
    LevelFronts[Count++] = {Policy_->sortKey(Job->view(), Now), Job};
  }
  auto Chosen = std::min(Limit, Count);
  auto *First = LevelFronts.data();
  std::partial_sort(First, First + Chosen, First + Count,
                    [](const auto &Left, const auto &Right) { return Left.first < Right.first; });
  for (std::size_t Position = 0; Position < Chosen; ++Position)
    Result.push_back(LevelFronts[Position].second);
  if (Count <= Chosen)
    return;
  auto Last = static_cast<std::size_t>(63 - std::countl_zero(Queue.Occupied));
  auto *Largest = Queue.Levels[Last].begin()->second;
  if (std::find(Result.begin(), Result.end(), Largest) == Result.end())
    Result.push_back(Largest);
}

double WaitingJobs::queueWork(std::size_t Position) const {
  if (Position >= Queues_.size())
    return 0;
  double Sum = 0;
  for (double Work : Queues_[Position].Work)
    Sum += Work;
  return Sum;
}

double WaitingJobs::workAhead(std::size_t Position, const JobView &Job) const {
  if (Position >= Queues_.size())
    return 0;
  double Sum = 0;
  auto Last = Policy_->level(Job);
  for (std::uint32_t Level = 0; Level <= Last; ++Level)
    Sum += Queues_[Position].Work[Level];
  return Sum;
}

std::vector<ServiceIndex> WaitingJobs::services() const {
  std::vector<ServiceIndex> Result;
  for (std::size_t Service = 0; Service < ServiceTasks_.size(); ++Service)
    if (ServiceTasks_[Service] > 0)
      Result.push_back(static_cast<ServiceIndex>(Service));
  return Result;
}

std::uint32_t WaitingJobs::teamTasks(TeamIndex Team) const {
  auto Position = static_cast<std::size_t>(Team);
  return Position < TeamTasks_.size() ? TeamTasks_[Position] : 0;
}

} // namespace cornellift::kernel
