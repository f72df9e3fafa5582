#include "Kernel/Scheduling/PolicyScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Jobs that one call of next() may consider, and those of one team. They bound the decision time.
constexpr std::size_t MaximumCandidates = 16;
constexpr std::size_t CandidatesPerTeam = 3;
/// A task this much longer than the mean decides when its job ends, and goes first, so that it gets
/// the fastest slot.
constexpr double LongTaskFactor = 2;
/// Jobs up to this size may be sent to an endpoint on trial: little is lost when they fail.
constexpr std::uint32_t SmallJobTasks = 8;
/// Scores of the normal distribution: exceeded by 5% and by 1% of tasks.
constexpr double Score95 = 1.645;
constexpr double Score99 = 2.326;
/// One task this far beyond its surprising run time shows a slow endpoint; below it, two must lag.
constexpr double CertainOverdueFactor = 4;
constexpr std::uint32_t MinimumOverdueTasks = 2;
constexpr core::Duration MinimumStatusQueryDelay = std::chrono::milliseconds(250);
constexpr double StatusQueryDelayFactor = 2;
constexpr double MaximumCostFactor = 2; ///< Of the time until a status query, for costly messages.

double millisecondsUntil(core::TimePoint Then, core::TimePoint Now) {
  return std::max(0.0, core::toMilliseconds(Then - Now));
}

template <typename Registry, typename... Arguments>
auto createOr(std::string_view Name, std::string_view Fallback, Arguments... Args) {
  auto Made = Registry::instance().create(Name, Args...);
  if (!Made)
    Made = Registry::instance().create(Fallback, Args...);
  return std::move(*Made);
}

} // namespace

PolicyScheduler::PolicyScheduler(std::uint64_t Seed) : Seed_(Seed), Random_(Seed) {}

void PolicyScheduler::choosePolicies(const PolicyConfiguration &Policy) {
  const PolicyConfiguration Defaults;
  Placement_ = createOr<PlacementRegistry>(Policy.Placement, Defaults.Placement, Seed_);
  auto Ordering =
      createOr<OrderingRegistry>(Policy.Ordering, Defaults.Ordering, Policy.AgeingPerSecond);
  Waiting_.setPolicy(Ordering.get());
  Ordering_ = std::move(Ordering);
  Admission_ = createOr<AdmissionRegistry>(Policy.Admission, Defaults.Admission);
  Retries_.configure(Policy.RetryShare, Policy.RetriesPerSecond);
}

void PolicyScheduler::applyConfiguration(std::shared_ptr<const KernelConfiguration> Configuration,
                                         core::TimePoint Now) {
  Configuration_ = std::move(Configuration);
  choosePolicies(Configuration_->Policy);
  Endpoints_.configure(*Configuration_);
  RunTimes_.configure(*Configuration_);
  Speeds_.resize(Endpoints_.size());
  ResourceNeeds_.configure(*Configuration_);
  Health_.configure(*Configuration_);
  Quotas_.configure(*Configuration_);
  Activity_.resize(Endpoints_.size());
  for (std::uint32_t Position = 0; Position < Endpoints_.size(); ++Position)
    updateTaskLimit(static_cast<EndpointIndex>(Position), Now);
}

WaitingTask PolicyScheduler::makeWaitingTask(const JobSpec &Spec, std::uint32_t Index,
                                             const DeclaredRunTime &Declared) const {
  const auto &Task = Spec.Tasks[Index];
  auto Need = ResourceNeeds_.need(Spec.Service, Spec.Kind, Task.Declared);
  auto Estimate = RunTimes_.estimate(Spec.Service, Spec.Kind, Declared);
  return {Index,
          static_cast<float>(Estimate.meanMilliseconds()),
          static_cast<float>(Need.Processors),
          static_cast<float>(Need.MemoryMegabytes),
          static_cast<float>(Need.Accelerators),
          Task.PayloadBytes,
          Declared};
}

std::optional<NotRun> PolicyScheduler::checkFit(const JobSpec &Spec,
                                                const std::vector<WaitingTask> &Tasks) const {
  // A declaration that no worker can grant is refused even when such tasks have used less so far:
  // the worker's limiter would let the task grow up to it.
  for (const auto &Task : Tasks)
    if (!Endpoints_.fitsSomeWorker(Spec.Service, Task.need()) ||
        !Endpoints_.fitsSomeWorker(Spec.Service, Spec.Tasks[Task.Index].Declared))
      return NotRun{core::ErrorKind::Unsupported,
                    "task " + std::to_string(Task.Index) +
                        " fits no worker of its service; declare less or split the task",
                    std::nullopt};
  return std::nullopt;
}

NotRun PolicyScheduler::jitter(NotRun Refusal, core::TimePoint Now) {
  if (!Refusal.RetryAt)
    return Refusal;
  std::uniform_real_distribution<double> Factor(0.75, 1.25);
  Refusal.RetryAt =
      Now + core::fromMilliseconds(core::toMilliseconds(*Refusal.RetryAt - Now) * Factor(Random_));
  return Refusal;
}

double PolicyScheduler::teamSpeed(TeamIndex Team) const {
  double Shares = Quotas_.share(Team);
  for (std::size_t Other = 0; Other < Configuration_->Teams.size(); ++Other) {
    auto Index = static_cast<TeamIndex>(Other);
    if (Index != Team && (Waiting_.teamTasks(Index) > 0 || Quotas_.running(Index) > 0))
      Shares += Quotas_.share(Index);
  }
  return Endpoints_.totalSlotSpeed() * Quotas_.share(Team) / Shares;
}

double PolicyScheduler::waitingEnd(const ActiveJob &Job) const {
  if (Job.Tasks.empty())
    return 0;
  double Longest = Job.Tasks.back().RunTime;
  auto Queue = Waiting_.queueOf(Job.Team);
  bool IsQueued = Waiting_.find(Job.Id) == &Job;
  // Nobody knows when slots come back; until then this is the earliest end.
  if (Endpoints_.totalSlotSpeed() <= 0)
    return Longest;
  double Work = Waiting_.workAhead(Queue, Job.view()) + (IsQueued ? 0 : Job.WaitingWork);
  bool Contended = Endpoints_.freeSlots() == 0;
  double Speed = Contended ? teamSpeed(Job.Team) : Endpoints_.totalSlotSpeed();
  return Work / std::max(1e-9, Speed) + Longest;
}

AdmissionView PolicyScheduler::admissionView(const ActiveJob &Job) const {
  AdmissionView View;
  View.QueuedTasks = Waiting_.waitingTasks();
  View.QueuedBytes = Waiting_.waitingBytes();
  View.TeamQueuedTasks = Waiting_.teamTasks(Job.Team);
  auto Team = static_cast<std::size_t>(Job.Team);
  if (Team < Configuration_->Teams.size())
    View.TeamMaximumTasks = Configuration_->Teams[Team].MaximumQueuedTasks;
  for (const auto &Task : Job.Tasks)
    View.JobBytes += Task.PayloadBytes;
  View.TotalWork = Waiting_.waitingWork();
  View.TeamWork = Waiting_.queueWork(Waiting_.queueOf(Job.Team));
  View.TotalSlotSpeed = Endpoints_.totalSlotSpeed();
  View.TeamSpeed = teamSpeed(Job.Team);
  View.ExpectedEnd = waitingEnd(Job);
  return View;
}

std::optional<NotRun> PolicyScheduler::admit(JobId Job, const JobSpec &Spec, core::TimePoint Now) {
  if (!Configuration_)
    return NotRun{core::ErrorKind::Unavailable, "no configuration is in force yet; retry", {}};
  auto New = std::make_unique<ActiveJob>();
  New->Id = Job;
  New->Team = Spec.Team;
  New->Service = Spec.Service;
  New->Kind = Spec.Kind;
  New->TaskCount = static_cast<std::uint32_t>(Spec.Tasks.size());
  New->Arrival = Now;
  New->RunningEnd = Now;
  New->Tasks.reserve(Spec.Tasks.size());
  auto Declared = splitDeclarations(Spec.Tasks);
  for (std::uint32_t Index = 0; Index < New->TaskCount; ++Index) {
    New->Tasks.push_back(makeWaitingTask(Spec, Index, Declared[Index]));
    New->WaitingWork += New->Tasks.back().RunTime;
  }
  if (auto Refusal = checkFit(Spec, New->Tasks))
    return Refusal;
  if (auto Refusal = Admission_->check(Spec, admissionView(*New), Configuration_->Limits, Now))
    return jitter(std::move(*Refusal), Now);
  Waiting_.add(std::move(New));
  return std::nullopt;
}

void PolicyScheduler::retryDelayed(core::TimePoint Now) {
  while (!Delayed_.empty() && Delayed_.begin()->first <= Now && Retries_.take(Now)) {
    auto Delayed = Delayed_.begin()->second;
    Delayed_.erase(Delayed_.begin());
    auto *Job = Waiting_.find(Delayed.Id.Job);
    if (!Job)
      continue;
    --Job->Delayed;
    Waiting_.requeue(*Job, Delayed.Task);
  }
}

std::optional<std::size_t> PolicyScheduler::pickQueue() const {
  std::optional<std::size_t> Best;
  double BestUsed = 0;
  for (std::size_t Queue = 0; Queue < Waiting_.queues(); ++Queue) {
    if (QueueVisited_[Queue] != 0 || !Waiting_.hasWaiting(Queue))
      continue;
    double Used = Quotas_.usagePerShare(static_cast<TeamIndex>(Queue));
    if (Best && Used >= BestUsed)
      continue;
    Best = Queue;
    BestUsed = Used;
  }
  return Best;
}

ActiveJob *PolicyScheduler::longTaskJob() const {
  auto Longest = std::max_element(Candidates_.begin(), Candidates_.end(),
                                  [](const ActiveJob *Left, const ActiveJob *Right) {
                                    return Left->Tasks.back().RunTime < Right->Tasks.back().RunTime;
                                  });
  if (Longest == Candidates_.end() ||
      (*Longest)->Tasks.back().RunTime < LongTaskFactor * MeanRunTime_)
    return nullptr;
  return *Longest;
}

std::optional<Placement> PolicyScheduler::next(core::TimePoint Now) {
  if (!Configuration_)
    return std::nullopt;
  endBackoffs(Now);
  retryDelayed(Now);
  if (Endpoints_.freeSlots() == 0 || Waiting_.waitingTasks() == 0)
    return std::nullopt;
  QueueVisited_.assign(Waiting_.queues(), 0);
  std::uint32_t TasksAhead = 0;
  std::size_t Tried = 0;
  ActiveJob *LeastUrgent = nullptr;
  while (Tried < MaximumCandidates) {
    auto Queue = pickQueue();
    if (!Queue)
      break;
    QueueVisited_[*Queue] = 1;
    Waiting_.candidates(*Queue, Now, CandidatesPerTeam, Candidates_);
    if (!LeastUrgent)
      LeastUrgent = Candidates_.back();
    if (auto *Job = longTaskJob()) {
      if (auto Chosen = tryTask(*Job, TaskChoice::Longest, TasksAhead, Now))
        return Chosen;
      ++TasksAhead;
    }
    for (auto *Job : Candidates_) {
      if (auto Chosen = tryJob(*Job, TasksAhead, Now))
        return Chosen;
      TasksAhead += static_cast<std::uint32_t>(Job->Tasks.size());
      ++Tried;
    }
  }
  // Not all waiting tasks were tried. The last one of the queue is better off on a slow slot when
  // the queue is long, and no slot idles in overload.
  return LeastUrgent ? tryTask(*LeastUrgent, TaskChoice::Shortest, Waiting_.waitingTasks() - 1, Now)
                     : std::nullopt;
}

PlacementRequest PolicyScheduler::placementRequest(const ActiveJob &Job, const WaitingTask &Task,
                                                   std::uint32_t TasksAhead,
                                                   core::TimePoint Now) const {
  PlacementRequest Request;
  Request.Service = Job.Service;
  Request.Need = Task.need();
  Request.RunTime = Task.RunTime;
  Request.MeanRunTime = MeanRunTime_;
  Request.Slack = std::max(millisecondsUntil(Job.RunningEnd, Now),
                           Job.WaitingWork / std::max(1e-9, Endpoints_.totalSlotSpeed()));
  Request.TasksAhead = TasksAhead;
  Request.AcceptsProbation =
      Job.TaskCount <= SmallJobTasks || Waiting_.waitingTasks() > Endpoints_.runningTasks();
  return Request;
}

std::optional<EndpointIndex> PolicyScheduler::chooseEndpoint(PlacementRequest &Request,
                                                             core::TimePoint Now) {
  // Each repetition has moved one endpoint to a slower bucket.
  for (std::size_t Attempt = 0; Attempt < MaximumCandidates; ++Attempt) {
    auto Endpoint = Placement_->choose(Request, Endpoints_);
    if (!Endpoint || !lowerSpeedIfOverdue(*Endpoint, Now))
      return Endpoint;
  }
  return std::nullopt;
}

std::optional<Placement> PolicyScheduler::tryJob(ActiveJob &Job, std::uint32_t TasksAhead,
                                                 core::TimePoint Now) {
  if (auto Chosen = tryTask(Job, TaskChoice::Longest, TasksAhead, Now))
    return Chosen;
  if (Job.Tasks.size() < 2)
    return std::nullopt;
  // The shortest task is the job's last one, so the others wait for a faster slot before it.
  auto Before = static_cast<std::uint32_t>(Job.Tasks.size() - 1);
  return tryTask(Job, TaskChoice::Shortest, TasksAhead + Before, Now);
}

std::optional<Placement> PolicyScheduler::tryTask(ActiveJob &Job, TaskChoice Choice,
                                                  std::uint32_t TasksAhead, core::TimePoint Now) {
  const auto &Waiting = Choice == TaskChoice::Longest ? Job.Tasks.back() : Job.Tasks.front();
  auto Request = placementRequest(Job, Waiting, TasksAhead, Now);
  auto Endpoint = chooseEndpoint(Request, Now);
  if (!Endpoint)
    return std::nullopt;
  RunningTask Task;
  Task.Task = Waiting_.take(Job, Choice);
  Task.Endpoint = *Endpoint;
  Task.Team = Job.Team;
  Task.Service = Job.Service;
  Task.Kind = Job.Kind;
  ++Job.Running;
  TaskId Id{Job.Id, Task.Task.Index};
  start(Id, Task, Now);
  Job.RunningEnd =
      std::max(Job.RunningEnd, Now + core::fromMilliseconds(Running_[Id].MedianRunTime));
  return Placement{Id, *Endpoint};
}

void PolicyScheduler::start(TaskId Id, RunningTask Task, core::TimePoint Now) {
  Task.Start = Now;
  Task.Estimate = RunTimes_.estimate(Task.Service, Task.Kind, Task.Task.Declared);
  Task.LogSpeed = Endpoints_.at(Task.Endpoint).LogSpeed;
  double Scale = std::exp(-Task.LogSpeed);
  Task.MedianRunTime = Task.Estimate.medianMilliseconds() * Scale;
  Task.RunTimePercentile95 = Task.Estimate.quantileMilliseconds(Score95) * Scale;
  Endpoints_.occupy(Task.Endpoint, Task.Task.need());
  Quotas_.started(Task.Team);
  Retries_.started();
  auto Stored = Running_.insert_or_assign(Id, Task).first;
  activity(Task.Endpoint).Running.push_back(&Stored->second);
}

bool PolicyScheduler::lowerSpeedIfOverdue(EndpointIndex Endpoint, core::TimePoint Now) {
  std::uint32_t Overdue = 0;
  double WorstRatio = 1;
  bool Certain = false;
  for (const auto *Task : activity(Endpoint).Running) {
    double Elapsed = core::toMilliseconds(Now - Task->Start);
    if (Elapsed <= Task->RunTimePercentile95)
      continue;
    ++Overdue;
    Certain = Certain || Elapsed > CertainOverdueFactor * Task->RunTimePercentile95;
    // The run time at the start was judged by the speed at the start.
    double Relative = std::exp(Endpoints_.at(Endpoint).LogSpeed - Task->LogSpeed);
    WorstRatio = std::max(WorstRatio, Elapsed / Task->MedianRunTime * Relative);
  }
  constexpr double SmallestStep = 1.05; // About one speed bucket; less would not move it.
  if ((Overdue < MinimumOverdueTasks && !Certain) || WorstRatio < SmallestStep)
    return false;
  auto Bucket = Endpoints_.at(Endpoint).Bucket;
  Endpoints_.setLogSpeed(Endpoint, Endpoints_.at(Endpoint).LogSpeed - std::log(WorstRatio));
  return Endpoints_.at(Endpoint).Bucket != Bucket;
}

std::optional<EndpointIndex> PolicyScheduler::placeDelegated(TaskId Task, ServiceIndex Service,
                                                             KindIndex Kind, TeamIndex Team,
                                                             const TaskSpec &Spec,
                                                             core::TimePoint Now) {
  if (!Configuration_ || Endpoints_.freeSlots() <= Waiting_.waitingTasks())
    return std::nullopt;
  JobSpec Single{Team, Service, Kind, {Spec}, std::nullopt, nullptr};
  RunningTask New;
  New.Task = makeWaitingTask(Single, 0, splitDeclarations(Single.Tasks).front());
  New.Task.Index = Task.Index;
  ActiveJob Job;
  Job.Service = Service;
  Job.TaskCount = 1;
  Job.RunningEnd = Now;
  auto Request = placementRequest(Job, New.Task, 0, Now);
  auto Endpoint = chooseEndpoint(Request, Now);
  if (!Endpoint)
    return std::nullopt;
  New.Endpoint = *Endpoint;
  New.Team = Team;
  New.Service = Service;
  New.Kind = Kind;
  start(Task, New, Now);
  return Endpoint;
}

std::optional<core::TimePoint> PolicyScheduler::expectedEnd(JobId Job, core::TimePoint Now) const {
  const auto *Known = Waiting_.find(Job);
  if (!Known)
    return std::nullopt;
  auto Waiting = Now + core::fromMilliseconds(waitingEnd(*Known));
  return std::max({Now, Known->RunningEnd, Waiting});
}

double PolicyScheduler::messageCost(ServiceIndex Service) const {
  auto Position = static_cast<std::size_t>(Service);
  return Position < Configuration_->Services.size()
             ? std::max(0.0, Configuration_->Services[Position].MessageCostMilliseconds)
             : 1;
}

core::TimePoint PolicyScheduler::statusQueryAt(TaskId Task, EndpointIndex Endpoint,
                                               core::TimePoint Now) const {
  auto Found = Running_.find(Task);
  if (Found == Running_.end())
    return Now + MinimumStatusQueryDelay;
  const auto &Known = Found->second;
  // At the default cost of 1 ms the factor is as given; a costly message waits longer.
  // The factor is bounded: at 40 ms a message, an unbounded one waited 29 s for a silent
  // connection.
  double CostFactor = std::min(MaximumCostFactor, 0.75 + 0.25 * messageCost(Known.Service));
  double Factor = StatusQueryDelayFactor * CostFactor;
  // Overdue tasks lower the speed that placement goes by. On silent connections they are not slow
  // but lost to sight, and with that speed the question about the next ones came after 12 minutes.
  double LogSpeed = std::max(Known.LogSpeed, Speeds_.logSpeed(Endpoint));
  double Limit = Known.Estimate.quantileMilliseconds(Score99) * std::exp(-LogSpeed) * Factor;
  auto First = Known.Start + std::max(MinimumStatusQueryDelay, core::fromMilliseconds(Limit));
  // Asked before and still running: half of its present age later.
  return std::max(First, Now + (Now - Known.Start) / 2);
}

std::optional<EndpointIndex> PolicyScheduler::nextProbe(core::TimePoint Now) {
  if (!Configuration_)
    return std::nullopt;
  double Cost = Configuration_->Services.empty() ? 1 : 1e9;
  for (std::size_t Service = 0; Service < Configuration_->Services.size(); ++Service)
    Cost = std::min(Cost, messageCost(static_cast<ServiceIndex>(Service)));
  return Health_.nextProbe(Now, Cost);
}

SchedulerLoad PolicyScheduler::load() const {
  return {Waiting_.waitingTasks() + static_cast<std::uint32_t>(Delayed_.size()),
          Endpoints_.runningTasks(), Endpoints_.freeSlots()};
}

EndpointUsage PolicyScheduler::usage(EndpointIndex Endpoint) const {
  if (static_cast<std::size_t>(Endpoint) >= Endpoints_.size())
    return {};
  const auto &State = Endpoints_.at(Endpoint);
  auto Bound = State.usable() ? std::min(State.Slots, State.TaskLimit) : 0;
  auto Possible = State.usable() && !State.OnProbation ? State.TaskLimit : 0;
  return {State.Running, Bound > State.Running ? Bound - State.Running : 0,
          Possible > State.Running ? Possible - State.Running : 0, State.LogSpeed};
}

std::vector<TeamDemand> PolicyScheduler::teamDemands() const {
  std::vector<TeamDemand> Result;
  if (!Configuration_)
    return Result;
  for (std::size_t Team = 0; Team < Configuration_->Teams.size(); ++Team) {
    auto Index = static_cast<TeamIndex>(Team);
    if (auto Tasks = Waiting_.teamTasks(Index) + Quotas_.running(Index); Tasks > 0)
      Result.push_back({Index, Tasks});
  }
  return Result;
}

PolicyScheduler::EndpointActivity &PolicyScheduler::activity(EndpointIndex Endpoint) {
  return Activity_[static_cast<std::size_t>(Endpoint)];
}

std::unique_ptr<Scheduler> makePolicyScheduler(std::uint64_t Seed) {
  return std::make_unique<PolicyScheduler>(Seed);
}

} // namespace cornellift::kernel
