#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Maximum number of waiting jobs that are considered in one dispatch.
constexpr std::size_t JobsPerRound = 64;

} // namespace

WorkerRoom PoolManager::roomOf(EndpointIndex Index, core::TimePoint Now) const {
  const auto &Known = Fleet_.at(Index);
  auto Allowed = Ratings_.allowedTasks(Index);
  auto Running = static_cast<std::uint32_t>(Known.Runs.size());
  bool IsOpen = MayStart_ && Known.isOpen(Now) && Running < Allowed;
  auto Slots = IsOpen ? std::min(Known.freeSlots(), Allowed - Running) : 0;
  return {Known.free(), Slots, IsOpen ? Ratings_.speed(Index) : 0};
}

void PoolManager::surveySpeeds(core::TimePoint Now) {
  double Fastest = 0;
  double Slowness = 0;
  double Count = 0;
  auto Add = [&](double Speed) {
    Fastest = std::max(Fastest, Speed);
    Slowness += 1 / Speed;
    Count += 1;
  };
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    if (Fleet_.at(Index).isOpen(Now) && Ratings_.allowedTasks(Index) > 0)
      Add(Ratings_.speed(Index));
  }
  for (const auto &[Peer, Known] : Remotes_)
    for (const auto &Worker : Known.Pool.workers())
      if (Worker.Room.Speed > 0)
        Add(Worker.Room.Speed);
  if (Count == 0)
    return;
  FastestSpeed_ = Fastest;
  MeanSlowness_ = Slowness / Count;
}

double PoolManager::largestRoom(core::TimePoint Now) const {
  double Largest = -1;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Room = roomOf(static_cast<EndpointIndex>(Position), Now);
    if (Room.FreeSlots > 0)
      Largest = std::max(Largest, Room.Free.Processors);
  }
  for (const auto &[Peer, Known] : Remotes_) {
    if (!Known.IsManager || !Known.Pool.takesTasks(Now))
      continue;
    for (const auto &Worker : Known.Pool.workers())
      if (Worker.Room.FreeSlots > 0 && Worker.Room.Speed > 0)
        Largest = std::max(Largest, Worker.Room.Free.Processors);
  }
  return Largest;
}

bool PoolManager::hasRoomFor(const PoolJob &Job, core::TimePoint Now) const {
  bool IsFound = false;
  for (std::uint32_t Step = 0; Step < Job.Steps.size() && !IsFound; ++Step)
    if (Job.Steps[Step].Waiting > 0)
      visitOffers(Job, Step, questionFor(Job, Step, Now), Now,
                  [&](const PlaceOffer &, std::optional<EndpointIndex>) { IsFound = true; });
  return IsFound;
}

void PoolManager::dispatch(core::TimePoint Now) {
  surveySpeeds(Now);
  std::vector<JobHandle> Round;
  for (const auto &Key : Queue_) {
    if (Round.size() >= JobsPerRound)
      break;
    Round.push_back(Key.Handle);
  }
  auto Largest = largestRoom(Now);
  for (auto Handle : Round) {
    auto *Job = find(Handle);
    if (!Job || !mayFit(*Job, Largest))
      continue;
    if (placeJob(*Job, Now))
      Largest = largestRoom(Now);
  }
}

bool PoolManager::mayFit(const PoolJob &Job, double LargestRoom) {
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step)
    if (Job.Steps[Step].Waiting > 0 && Job.Order->Steps[Step].Need.Processors <= LargestRoom)
      return true;
  return false;
}

bool PoolManager::placeJob(PoolJob &Job, core::TimePoint Now) {
  auto Before = Job.waiting();
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    auto &Progress = Job.Steps[Step];
    for (std::uint32_t Index = 0; Index < Job.Order->Steps[Step].Count && Progress.Waiting > 0;
         ++Index) {
      auto Task = Progress.FirstTask + Index;
      if (Job.Tasks[Task].State == TaskState::Waiting && !placeTask(Job, Task, Now))
        break;
    }
  }
  flushDelegations(Job, Now);
  auto After = Job.waiting();
  if (After == 0)
    dequeue(Job.Handle);
  return After < Before;
}

PoolQuestion PoolManager::questionFor(const PoolJob &Job, std::uint32_t Step,
                                      core::TimePoint Now) const {
  PoolQuestion Question;
  Question.Step = &Job.Order->Steps[Step];
  Question.Terms = &Job.Order->Terms;
  const auto &Progress = Job.Steps[Step];
  Question.TypicalRunTime = Progress.ObservedMilliseconds > 0 ? Progress.ObservedMilliseconds
                                                              : Progress.TypicalMilliseconds;
  Question.InTime = core::toMilliseconds(Job.ObjectiveAt - Now);
  Question.Useful = core::toMilliseconds(Job.UsefulUntil - Now);
  Question.RemoteFactor = Settings_.RemoteFactor;
  return Question;
}

bool PoolManager::placeTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  auto Step = Job.stepOf(Task);
  auto Question = questionFor(Job, Step, Now);
  PlaceChooser Chooser(Question, FastestSpeed_);
  auto Own = choosePlace(Job, Step, Chooser, Question, Now);
  auto Elsewhere = Job.IsGuest ? std::nullopt : chooseRemote(Chooser, Question, Now);
  if (!Own && !Elsewhere)
    return false;
  Job.HasStarted = true;
  if (!Job.IsGuest) {
    --Job.Steps[Step].Waiting;
    WaitingMilliseconds_ -= Job.Steps[Step].TypicalMilliseconds;
    PlacingRate_.placed(Job.Steps[Step].TypicalMilliseconds);
  }
  if (!Elsewhere) {
    startOn(Job, Task, *Own, Now);
    return true;
  }
  auto [Peer, Worker] = *Elsewhere;
  auto &Target = Remotes_.at(Peer);
  auto &Delegated = Job.Tasks[Task];
  Delegated.State = TaskState::Delegated;
  Delegated.Manager = Peer;
  Target.Pool.reserve(Worker, Question.Step->Need, Now);
  Target.Outgoing.push_back({Task, ++Delegated.LastRun});
  ++Counters_.TasksDelegated;
  return true;
}

std::optional<EndpointIndex> PoolManager::choosePlace(const PoolJob &Job, std::uint32_t Step,
                                                      PlaceChooser &Chooser,
                                                      const PoolQuestion &Question,
                                                      core::TimePoint Now) const {
  std::optional<EndpointIndex> Best;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    PlaceOffer Offer{&Fleet_.at(Index).Entry, roomOf(Index, Now), 0};
    if (!isEligible(Question, Offer) || exceedsWorkerBound(Job, Step, Index))
      continue;
    if (Chooser.consider(Offer))
      Best = Index;
  }
  return Best;
}

std::optional<std::pair<PeerIndex, std::size_t>>
PoolManager::chooseRemote(PlaceChooser &Chooser, const PoolQuestion &Question,
                          core::TimePoint Now) const {
  std::optional<std::pair<PeerIndex, std::size_t>> Best;
  for (const auto &[Peer, Known] : Remotes_) {
    if (!Known.IsManager || !Known.Pool.takesTasks(Now))
      continue;
    const auto &Workers = Known.Pool.workers();
    for (std::size_t Position = 0; Position < Workers.size(); ++Position) {
      PlaceOffer Offer{&Workers[Position].Entry, Workers[Position].Room,
                       remoteMilliseconds(Known.Pool)};
      if (isEligible(Question, Offer) && Chooser.consider(Offer))
        Best = {Peer, Position};
    }
  }
  return Best;
}

bool PoolManager::exceedsWorkerBound(const PoolJob &Job, std::uint32_t Step,
                                     EndpointIndex Worker) const {
  auto Bound = Job.Order->Steps[Step].MaximumPerWorker;
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
  if (!Job.IsGuest)
    ++Placed.LastRun;
  Run Ordered;
  Ordered.Task = Job.refOf(Task);
  Ordered.Job = Job.Handle;
  Ordered.TaskNumber = Task;
  Ordered.Number = Placed.LastRun;
  Ordered.Need = Job.Order->Steps[Step].Need;
  auto Question = questionFor(Job, Step, Now);
  PlaceOffer Offer{&Fleet_.at(Worker).Entry, roomOf(Worker, Now), 0};
  Ordered.ExpectedEnd = Now + core::fromMilliseconds(expectedMilliseconds(Question, Offer));
  ++Counters_.StartsOrdered;
  ReportIsDue_ = true;
  Log_.line(DecisionWeight::Routine, "task started", Job.key(),
            {{"step", static_cast<std::int64_t>(Ordered.Task.Step)},
             {"index", static_cast<std::int64_t>(Ordered.Task.Index)},
             {"run", static_cast<std::int64_t>(Ordered.Number)},
             {"worker", std::string_view(Fleet_.at(Worker).Entry.Id)},
             {"look_age_ms", core::toMilliseconds(Now - Fleet_.at(Worker).LookSentAt)},
             {"speed", Offer.Room.Speed},
             {"expected_ms", core::toMilliseconds(Ordered.ExpectedEnd - Now)},
             {"objective_in_ms", Question.InTime}});
  Fleet_.startRun(Worker, Ordered, Job.Order->Specification, Now);
}

void PoolManager::flushDelegations(const PoolJob &Job, core::TimePoint Now) {
  for (auto &[Peer, Known] : Remotes_) {
    if (Known.Outgoing.empty())
      continue;
    Log_.line(DecisionWeight::Routine, "tasks delegated", Job.key(),
              {{"peer", static_cast<std::int64_t>(Peer)},
               {"tasks", static_cast<std::int64_t>(Known.Outgoing.size())},
               {"report_age_ms", core::toMilliseconds(Now - Known.Pool.reportedAt())}});
    Output_.send(Peer, DelegateTasks{Job.Order, std::exchange(Known.Outgoing, {})});
  }
}

} // namespace cornellift::kernel
