#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Maximum number of waiting jobs that are considered in one dispatch.
constexpr std::size_t JobsPerDispatch = 64;

} // namespace

WorkerAvailability PoolManager::availabilityOf(EndpointIndex Index, core::TimePoint Now) const {
  const auto &Known = Fleet_.at(Index);
  auto TaskLimit = Ratings_.taskLimit(Index);
  auto Running = static_cast<std::uint32_t>(Known.Runs.size());
  bool AcceptsTasks = Known.acceptsTasks(Now) && Running < TaskLimit;
  auto Slots = AcceptsTasks ? std::min(Known.freeSlots(), TaskLimit - Running) : 0;
  return {Known.free(), Slots, AcceptsTasks ? Ratings_.speed(Index) : 0};
}

double PoolManager::slowdownOf(const WorkerEntry &Entry, core::TimePoint Now) const {
  return ColdStart::coldMilliseconds(Entry.ColdUntil, Now) > 0 ? Cold_.slowdown() : 1;
}

void PoolManager::updateFleetFigures(core::TimePoint Now) {
  double Fastest = 0;
  double FastestNow = 0;
  double Slowness = 0;
  double Count = 0;
  TypicalWorker Sum;
  Sum.Slots = 0;
  auto Add = [&](double Speed, const WorkerEntry &Entry) {
    FastestNow = std::max(FastestNow, Speed / slowdownOf(Entry, Now));
    Fastest = std::max(Fastest, Speed);
    Slowness += 1 / Speed;
    Count += 1;
    Sum.Capacity.Processors += Entry.Capacity.Processors;
    Sum.Capacity.MemoryMegabytes += Entry.Capacity.MemoryMegabytes;
    Sum.Capacity.Accelerators += Entry.Capacity.Accelerators;
    Sum.Slots += Entry.Slots;
  };
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    if (Fleet_.at(Index).acceptsTasks(Now) && Ratings_.taskLimit(Index) > 0)
      Add(Ratings_.speed(Index), Fleet_.at(Index).Entry);
  }
  for (const auto &[Peer, Known] : Remotes_)
    for (const auto &Worker : Known.Pool.workers())
      if (Worker.Availability.Speed > 0)
        Add(Worker.Availability.Speed, Worker.Entry);
  if (Count == 0)
    return;
  FastestSpeed_ = Fastest;
  FastestSpeedNow_ = FastestNow;
  MeanSlowness_ = Slowness / Count;
  TypicalWorker_ = {{Sum.Capacity.Processors / Count, Sum.Capacity.MemoryMegabytes / Count,
                     Sum.Capacity.Accelerators / Count},
                    Sum.Slots / Count};
}

double PoolManager::mostFreeProcessors(core::TimePoint Now) const {
  double Largest = -1;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Availability = availabilityOf(static_cast<EndpointIndex>(Position), Now);
    if (Availability.FreeSlots > 0)
      Largest = std::max(Largest, Availability.Free.Processors);
  }
  for (const auto &[Peer, Known] : Remotes_) {
    if (!Known.IsManager || !Known.Pool.acceptsTasks(Now))
      continue;
    for (const auto &Worker : Known.Pool.workers())
      if (Worker.Availability.FreeSlots > 0 && Worker.Availability.Speed > 0)
        Largest = std::max(Largest, Worker.Availability.Free.Processors);
  }
  return Largest;
}

bool PoolManager::hasCapacityFor(const PoolJob &Job, core::TimePoint Now) const {
  bool IsFound = false;
  for (std::uint32_t Step = 0; Step < Job.Steps.size() && !IsFound; ++Step)
    if (Job.Steps[Step].Waiting > 0)
      visitCandidates(
          Job, Step, placementRequestFor(Job, Step, Now), Now,
          [&](const PlacementCandidate &, std::optional<EndpointIndex>) { IsFound = true; });
  return IsFound;
}

void PoolManager::dispatch(core::TimePoint Now) {
  updateFleetFigures(Now);
  markWantedRacks(Now);
  observeFleetLoad(Now);
  Timetables_.clear();
  ++DispatchNumber_;
  std::vector<JobHandle> Selected;
  std::size_t WaitForData = 0; // They do not count towards the limit of a dispatch.
  for (const auto &Key : Queue_) {
    if (Selected.size() >= JobsPerDispatch + std::min(WaitForData, JobsPerDispatch))
      break;
    auto &Job = Jobs_.at(Key.Handle);
    endExpiredWaits(Job, Now);
    WaitForData += Job.onlyWaitsForData() ? 1 : 0;
    Selected.push_back(Key.Handle);
  }
  auto Largest = mostFreeProcessors(Now);
  for (auto Handle : Selected) {
    auto *Job = find(Handle);
    if (!Job || !mayFit(*Job, Largest))
      continue;
    if (Job->onlyWaitsForData() && !isPlanDue(*Job, Now)) {
      keepRoom(*Job, Now);
      continue;
    }
    if (placeJob(*Job, Now))
      Largest = mostFreeProcessors(Now);
  }
  EndedOn_.clear();
}

bool PoolManager::mayFit(const PoolJob &Job, double FreeProcessors) {
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step)
    if (Job.Steps[Step].Waiting > 0 &&
        Job.Submission->Steps[Step].Need.Processors <= FreeProcessors)
      return true;
  return false;
}

bool PoolManager::placeJob(PoolJob &Job, core::TimePoint Now) {
  auto Before = Job.waiting();
  bool IsInTime = placeInQueue(Job, Now).Prospect == JobProspect::InTime;
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    auto &Progress = Job.Steps[Step];
    for (std::uint32_t Index = 0; Index < Job.Submission->Steps[Step].Count && Progress.Waiting > 0;
         ++Index) {
      auto Task = Progress.FirstTask + Index;
      if (Job.Tasks[Task].State == TaskState::Waiting && !placeTask(Job, Task, Now))
        break;
    }
  }
  flushDelegations(Job, Now);
  auto After = Job.waiting();
  if (After < Before) {
    Queue_.remove(Job.Handle);
    enqueue(Job, Now); // With the prospect of a job that has started.
  }
  if (After == 0)
    settle(Job, IsInTime, Now);
  return After < Before;
}

PoolPlacementRequest PoolManager::placementRequestFor(const PoolJob &Job, std::uint32_t Step,
                                                      core::TimePoint Now) const {
  PoolPlacementRequest Request;
  Request.Step = &Job.Submission->Steps[Step];
  Request.Policy = &Job.Submission->Policy;
  Request.TypicalRunTime = Job.Steps[Step].expectedMilliseconds();
  Request.ObjectiveMilliseconds = core::toMilliseconds(Job.ObjectiveAt - Now);
  Request.UsefulMilliseconds = core::toMilliseconds(Job.UsefulUntil - Now);
  Request.RemoteFactor = Settings_.RemoteFactor;
  Request.Now = Now;
  Request.Cold = &Cold_;
  return Request;
}

bool PoolManager::placeTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  auto Step = Job.stepOf(Task);
  auto Request = placementRequestFor(Job, Step, Now);
  auto Chosen = choosePlace(Job, Step, Request, Now);
  if (!Chosen)
    Chosen = lateAwayFromData(Job, Step, Request, Now);
  if (!Chosen || waitsForData(Job, Step, Request, *Chosen, Now))
    return false;
  const auto &[Own, AtPeer, EndMilliseconds] = *Chosen;
  if (!Job.IsDelegation) {
    --Job.Steps[Step].Waiting;
    PlacementRate_.placed(Job.Steps[Step].TypicalMilliseconds *
                          TypicalWorker_.shareOf(Request.Step->Need));
  }
  if (!AtPeer) {
    startOn(Job, Task, *Own, Now);
    return true;
  }
  auto [Peer, Worker] = *AtPeer;
  auto &Target = Remotes_.at(Peer);
  auto &Delegated = Job.Tasks[Task];
  Delegated.State = TaskState::Delegated;
  Delegated.Manager = Peer;
  Target.Pool.reserve(Worker, Request.Step->Need, Now);
  Target.Outgoing.push_back({Task, ++Delegated.LastRun});
  ++Counters_.TasksDelegated;
  return true;
}

std::optional<PoolManager::ChosenPlace>
PoolManager::choosePlace(const PoolJob &Job, std::uint32_t Step,
                         const PoolPlacementRequest &Request, core::TimePoint Now) const {
  PlacementChooser Chooser(Request, FastestSpeedNow_);
  auto Own = chooseWorker(Job, Step, Chooser, Request, Now);
  auto AtPeer = Job.IsDelegation ? std::nullopt : chooseRemote(Chooser, Request, Now);
  if (!Own && !AtPeer)
    return std::nullopt;
  return ChosenPlace{Own, AtPeer, Chooser.bestEnd()};
}

std::optional<EndpointIndex> PoolManager::chooseWorker(const PoolJob &Job, std::uint32_t Step,
                                                       PlacementChooser &Chooser,
                                                       const PoolPlacementRequest &Request,
                                                       core::TimePoint Now) const {
  std::optional<EndpointIndex> Best;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    PlacementCandidate Candidate{&Fleet_.at(Index).Entry, availabilityOf(Index, Now), 0,
                                 isRackWanted(Index, *Request.Step)};
    if (!isEligible(Request, Candidate) || isExcluded(Job, Step, Index))
      continue;
    if (Chooser.consider(Candidate))
      Best = Index;
  }
  return Best;
}

std::optional<std::pair<PeerIndex, std::size_t>>
PoolManager::chooseRemote(PlacementChooser &Chooser, const PoolPlacementRequest &Request,
                          core::TimePoint Now) const {
  std::optional<std::pair<PeerIndex, std::size_t>> Best;
  for (const auto &[Peer, Known] : Remotes_) {
    if (!Known.IsManager || !Known.Pool.acceptsTasks(Now))
      continue;
    const auto &Workers = Known.Pool.workers();
    for (std::size_t Position = 0; Position < Workers.size(); ++Position) {
      PlacementCandidate Candidate{&Workers[Position].Entry, Workers[Position].Availability,
                                   remoteMilliseconds(Known.Pool)};
      if (isEligible(Request, Candidate) && Chooser.consider(Candidate))
        Best = {Peer, Position};
    }
  }
  return Best;
}

bool PoolManager::isExcluded(const PoolJob &Job, std::uint32_t Step, EndpointIndex Worker) const {
  const auto &MovedFrom = Job.Steps[Step].MovedFrom;
  if (std::find(MovedFrom.begin(), MovedFrom.end(), Worker) != MovedFrom.end())
    return true; // The worker was found to be at fault.
  auto Bound = Job.Submission->Steps[Step].MaximumPerWorker;
  if (Bound == 0)
    return false;
  const auto &Runs = Fleet_.at(Worker).Runs;
  auto Count = std::count_if(Runs.begin(), Runs.end(), [&](const Run &Candidate) {
    return Candidate.Task.Job == Job.key() && Candidate.Task.Step == Step;
  });
  return static_cast<std::uint32_t>(Count) >= Bound;
}

void PoolManager::startOn(PoolJob &Job, std::uint32_t Task, EndpointIndex Worker,
                          core::TimePoint Now) {
  auto Step = Job.stepOf(Task);
  auto &Placed = Job.Tasks[Task];
  Placed.State = TaskState::Placed;
  Placed.Worker = Worker;
  if (!Job.IsDelegation)
    ++Placed.LastRun;
  Run NewRun;
  NewRun.Task = Job.refOf(Task);
  NewRun.Job = Job.Handle;
  NewRun.TaskNumber = Task;
  NewRun.Number = Placed.LastRun;
  NewRun.Need = Job.Submission->Steps[Step].Need;
  auto Request = placementRequestFor(Job, Step, Now);
  PlacementCandidate Candidate{&Fleet_.at(Worker).Entry, availabilityOf(Worker, Now), 0};
  NewRun.ExpectedEnd = Now + core::fromMilliseconds(expectedMilliseconds(Request, Candidate));
  ++Counters_.StartsSent;
  ReportIsDue_ = true;
  Log_.line(DecisionPriority::Routine, "task started", Job.key(),
            {{"step", static_cast<std::int64_t>(NewRun.Task.Step)},
             {"index", static_cast<std::int64_t>(NewRun.Task.Index)},
             {"run", static_cast<std::int64_t>(NewRun.Number)},
             {"worker", std::string_view(Fleet_.at(Worker).Entry.Id)},
             {"incarnation", Fleet_.at(Worker).StartedMilliseconds},
             {"token", static_cast<std::int64_t>(Fleet_.at(Worker).Token)},
             {"look_age_ms", core::toMilliseconds(Now - Fleet_.at(Worker).PollSentAt)},
             {"speed", Candidate.Availability.Speed},
             {"expected_ms", core::toMilliseconds(NewRun.ExpectedEnd - Now)},
             {"objective_in_ms", Request.ObjectiveMilliseconds}});
  Fleet_.startRun(Worker, NewRun, Job.Submission->Specification, Now);
}

void PoolManager::flushDelegations(const PoolJob &Job, core::TimePoint Now) {
  for (auto &[Peer, Known] : Remotes_) {
    if (Known.Outgoing.empty())
      continue;
    Log_.line(DecisionPriority::Routine, "tasks delegated", Job.key(),
              {{"peer", static_cast<std::int64_t>(Peer)},
               {"tasks", static_cast<std::int64_t>(Known.Outgoing.size())},
               {"report_age_ms", core::toMilliseconds(Now - Known.Pool.reportedAt())}});
    Output_.send(Peer, DelegateTasks{Job.Submission, std::exchange(Known.Outgoing, {})});
  }
}

} // namespace cornellift::kernel
