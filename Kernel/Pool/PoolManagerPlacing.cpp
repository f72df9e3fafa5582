#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <utility>

namespace cornellift::kernel {
namespace {

/// Waiting jobs that are looked at in one round; the rest waits for the next one.
constexpr std::size_t JobsPerRound = 64;
/// A run is moved when its end is foreseen to be later than that of a new one by this factor.
constexpr double MoveGain = 1.25;
/// What moving a run costs: its stop, the look that shows its end, and the new start.
constexpr double MoveMilliseconds = 70;
/// A run is judged by its progress only after this time.
constexpr core::Duration JudgeTime = std::chrono::milliseconds(100);

} // namespace

WorkerRoom PoolManager::roomOf(EndpointIndex Index, core::TimePoint Now) const {
  const auto &Known = Fleet_.at(Index);
  auto Allowed = Ratings_.allowedTasks(Index);
  auto Running = static_cast<std::uint32_t>(Known.Runs.size());
  bool IsOpen = MayStart_ && Known.isOpen(Now) && Running < Allowed;
  auto Slots = IsOpen ? std::min(Known.freeSlots(), Allowed - Running) : 0;
  return {Known.free(), Slots, IsOpen ? Ratings_.speed(Index) : 0};
}

double PoolManager::fastestSpeed(core::TimePoint Now) const {
  double Fastest = 0;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    if (Fleet_.at(Index).isOpen(Now) && Ratings_.allowedTasks(Index) > 0)
      Fastest = std::max(Fastest, Ratings_.speed(Index));
  }
  for (const auto &[Peer, Known] : Remotes_)
    for (const auto &Worker : Known.Pool.workers())
      Fastest = std::max(Fastest, Worker.Room.Speed);
  return Fastest;
}

bool PoolManager::hasAnyRoom(core::TimePoint Now) const {
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Room = roomOf(static_cast<EndpointIndex>(Position), Now);
    if (Room.FreeSlots > 0 && Room.Free.Processors > 0)
      return true;
  }
  return std::any_of(Remotes_.begin(), Remotes_.end(), [&](const auto &Entry) {
    const auto &Workers = Entry.second.Pool.workers();
    return Entry.second.Pool.takesTasks(Now) &&
           std::any_of(Workers.begin(), Workers.end(), [](const RemoteWorker &Worker) {
             return Worker.Room.FreeSlots > 0 && Worker.Room.Free.Processors > 0;
           });
  });
}

void PoolManager::dispatch(core::TimePoint Now) {
  std::vector<JobHandle> Round;
  for (const auto &Key : Queue_) {
    if (Round.size() >= JobsPerRound)
      break;
    Round.push_back(Key.Handle);
  }
  for (auto Handle : Round) {
    if (!hasAnyRoom(Now))
      return;
    if (auto *Job = find(Handle))
      placeJob(*Job, Now);
  }
}

void PoolManager::placeJob(PoolJob &Job, core::TimePoint Now) {
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    auto &Progress = Job.Steps[Step];
    for (std::uint32_t Index = 0; Index < Job.Order->Steps[Step].Count && Progress.Waiting > 0;
         ++Index) {
      auto Task = Progress.FirstTask + Index;
      if (Job.Tasks[Task].State == TaskState::Waiting && !placeTask(Job, Task, Now))
        break;
    }
  }
  flushDelegations(Job);
  if (Job.waiting() == 0)
    dequeue(Job.Handle);
}

PoolQuestion PoolManager::questionFor(const PoolJob &Job, std::uint32_t Step,
                                      core::TimePoint Now) const {
  PoolQuestion Question;
  Question.Step = &Job.Order->Steps[Step];
  Question.Terms = &Job.Order->Terms;
  Question.TypicalRunTime = Job.Steps[Step].TypicalMilliseconds;
  Question.InTime = core::toMilliseconds(Job.ObjectiveAt - Now);
  Question.Useful = core::toMilliseconds(Job.UsefulUntil - Now);
  Question.RemoteFactor = Settings_.RemoteFactor;
  return Question;
}

bool PoolManager::placeTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now) {
  auto Step = Job.stepOf(Task);
  auto Question = questionFor(Job, Step, Now);
  PlaceChooser Chooser(Question, fastestSpeed(Now));
  auto Own = choosePlace(Job, Step, Chooser, Question, Now);
  auto Elsewhere = Job.IsGuest ? std::nullopt : chooseRemote(Chooser, Question, Now);
  if (!Own && !Elsewhere)
    return false;
  Job.HasStarted = true;
  if (!Job.IsGuest) {
    --Job.Steps[Step].Waiting;
    WaitingMilliseconds_ -= Job.Steps[Step].TypicalMilliseconds;
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
                       Settings_.PeerRoundTripMilliseconds};
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
             {"speed", Offer.Room.Speed},
             {"expected_ms", core::toMilliseconds(Ordered.ExpectedEnd - Now)},
             {"objective_in_ms", Question.InTime}});
  Fleet_.startRun(Worker, std::move(Ordered), Job.Order->Specification, Now);
}

void PoolManager::flushDelegations(const PoolJob &Job) {
  for (auto &[Peer, Known] : Remotes_) {
    if (Known.Outgoing.empty())
      continue;
    Log_.line(DecisionWeight::Routine, "tasks delegated", Job.key(),
              {{"peer", static_cast<std::int64_t>(Peer)},
               {"tasks", static_cast<std::int64_t>(Known.Outgoing.size())}});
    Output_.send(Peer, DelegateTasks{Job.Order, std::exchange(Known.Outgoing, {})});
  }
}

void PoolManager::moveStragglers(core::TimePoint Now) {
  for (auto &[Handle, Job] : Jobs_) {
    if (Job.IsEnding || Job.IsGuest || Now + JudgeTime > Job.UsefulUntil)
      continue;
    for (std::uint32_t Task = 0; Task < Job.Tasks.size(); ++Task) {
      auto &Placed = Job.Tasks[Task];
      if (Placed.State != TaskState::Placed)
        continue;
      auto Worker = Placed.Worker;
      const auto &Runs = Fleet_.at(Worker).Runs;
      auto Found = std::find_if(Runs.begin(), Runs.end(), [&](const Run &Candidate) {
        return Candidate.Job == Handle && Candidate.TaskNumber == Task;
      });
      if (Found == Runs.end() || Found->State != RunState::Running ||
          Found->PercentAt < Found->OrderedAt + JudgeTime)
        continue;
      double Elapsed = core::toMilliseconds(Found->PercentAt - Found->OrderedAt);
      double Share = std::max(Found->PercentDone, 0.5) / 100;
      double End = Elapsed / Share - core::toMilliseconds(Now - Found->OrderedAt);
      auto Question = questionFor(Job, Job.stepOf(Task), Now);
      double Fresh = MoveMilliseconds + Question.TypicalRunTime / std::max(0.01, fastestSpeed(Now));
      if (End < Question.InTime || End < Fresh * MoveGain || Fresh > Question.Useful)
        continue;
      ++Counters_.StragglersMoved;
      Log_.line(DecisionWeight::Notable, "moving a slow run", Job.key(),
                {{"worker", std::string_view(Fleet_.at(Worker).Entry.Id)},
                 {"index", static_cast<std::int64_t>(Found->Task.Index)},
                 {"percent", Found->PercentDone},
                 {"elapsed_ms", Elapsed},
                 {"expected_ms", core::toMilliseconds(Found->ExpectedEnd - Found->OrderedAt)}});
      if (Found->PercentDone <
          100 * Elapsed /
              std::max(1.0, 4 * core::toMilliseconds(Found->ExpectedEnd - Found->OrderedAt)))
        Ratings_.ranBadly(Worker, Job.Kind, Job.key(), Now);
      Fleet_.stopRun(Worker, Job.refOf(Task), Placed.LastRun, Now);
    }
  }
}

} // namespace cornellift::kernel
