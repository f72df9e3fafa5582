// The queue of waiting jobs: their order, rejections and expiry.
#include "Kernel/Pool/PoolManager.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Lower bound on the assumed speed, for workers whose speed is unknown.
constexpr double MinimumSpeed = 0.1;
/// Retry-After for jobs that only evacuated workers could run; the end of an evacuation is not
/// known.
constexpr double EvacuatedRetryMilliseconds = 5000;
/// How long after a start managers may not know the workers of all others.
constexpr core::Duration DirectoryExchangeTime = std::chrono::seconds(1);
/// Interval between searches for workers that could run a waiting job.
constexpr core::Duration WorkerSearchInterval = std::chrono::milliseconds(200);
/// Share of its resources that tasks of different sizes fill on a busy worker.
constexpr double PackedShare = 0.75;

} // namespace

double PoolManager::shortestRunTime(const PoolJob &Job) const {
  double Longest = 0;
  for (const auto &Step : Job.Steps)
    if (Step.Waiting > 0)
      Longest = std::max(Longest, Step.expectedMilliseconds());
  return Longest / std::max(FastestSpeed_, MinimumSpeed);
}

double PoolManager::waitingWork(const PoolJob &Job) const {
  double Sum = 0;
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step)
    Sum += Job.Steps[Step].withoutRoom() * Job.Steps[Step].expectedMilliseconds() *
           TypicalWorker_.shareOf(Job.Submission->Steps[Step].Need);
  return Sum;
}

double PoolManager::totalWork(const PoolJob &Job) const {
  double Sum = 0;
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step)
    Sum += Job.Submission->Steps[Step].Count * Job.Steps[Step].TypicalMilliseconds *
           TypicalWorker_.shareOf(Job.Submission->Steps[Step].Need);
  return Sum;
}

double PoolManager::heldCapacity(core::TimePoint Now) const {
  double Sum = 0;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    const auto &Known = Fleet_.at(Index);
    if (Known.Lease == LeaseState::Held && Known.isAnswering(Now) && !Known.IsEvacuated)
      Sum += Ratings_.speed(Index) * PackedShare / slowdownOf(Known.Entry, Now);
  }
  return Sum;
}

RoomForecast PoolManager::forecastRoom(core::TimePoint Now) const {
  RoomForecast Room;
  double Held = heldCapacity(Now);
  Room.Rate = PlacementRate_.value(Held);
  if (Room.Rate <= 0) // Work has begun to wait just now, as after an outage.
    Room.Rate = Held;
  else // Only work that keeps waiting shows that what arrives leaves no room.
    Room.Inflow = Inflow_.value();
  double Delay = 0;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    auto HeldIn = Fleet_.at(Index).heldIn(Now);
    if (!HeldIn || Fleet_.at(Index).IsEvacuated)
      continue;
    double Capacity = Ratings_.speed(Index) * PackedShare;
    Room.Coming += Capacity;
    Delay += Capacity * core::toMilliseconds(*HeldIn);
  }
  if (Room.Coming > 0)
    Room.ComingIn = core::fromMilliseconds(Delay / Room.Coming);
  return Room;
}

double PoolManager::backlogMilliseconds(const RoomForecast &Room) const {
  return Room.isKnown() ? Room.millisecondsFor(WaitingWork_) : 0;
}

double PoolManager::retryMilliseconds(const PoolJob &Job, const RoomForecast &Room,
                                      core::TimePoint Now) {
  return ReturnTimes_.next(backlogMilliseconds(Room), totalWork(Job), Room.Rate + Room.Coming, Now);
}

std::optional<JobAnswer> PoolManager::rejectionFor(const PoolJob &Job, core::TimePoint Now) {
  if (needsEvacuatedWorkers(Job, Now) && !hasCapacityFor(Job, Now))
    return evacuatedAnswer();
  if (Queue_.empty())
    return std::nullopt;
  auto Room = forecastRoom(Now);
  if (!isCrowdedOut(Job, Room, Now))
    return std::nullopt;
  ++Counters_.RefusedAtArrival;
  return JobAnswer{JobVerdict::Rejected, "too much work waits for the workers",
                   retryMilliseconds(Job, Room, Now)};
}

bool PoolManager::isCrowdedOut(const PoolJob &Job, const RoomForecast &Room,
                               core::TimePoint Now) const {
  auto Run = core::fromMilliseconds(shortestRunTime(Job));
  auto LeavesNoTime = [&](double Wait) {
    return Wait > 0 && Now + core::fromMilliseconds(Wait) + Run > Job.UsefulUntil;
  };
  return Room.isKnown() && LeavesNoTime(backlogMilliseconds(Room)) && !hasCapacityFor(Job, Now) &&
         LeavesNoTime(waitMilliseconds(Job, Room, Now));
}

double PoolManager::waitMilliseconds(const PoolJob &Job, const RoomForecast &Room,
                                     core::TimePoint Now) const {
  auto Place = placeInQueue(Job, Now);
  double Ahead = 0;
  for (const auto &Key : Queue_) {
    if (Place < Key)
      break;
    Ahead += waitingWork(Jobs_.at(Key.Handle));
  }
  return Room.millisecondsFor(Ahead);
}

JobAnswer PoolManager::evacuatedAnswer() {
  // The end of an evacuation is not known.
  return {JobVerdict::Rejected, "all workers that could run it are in evacuated data centres",
          EvacuatedRetryMilliseconds};
}

bool PoolManager::needsEvacuatedWorkers(const PoolJob &Job, core::TimePoint Now) const {
  if (EvacuatedDataCentres_.empty() || Now < WorkersFoundAt_ + DirectoryExchangeTime)
    return false;
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    bool HasEvacuatedWorker = false;
    bool HasOtherWorker = false;
    auto Consider = [&](const WorkerEntry &Entry) {
      if (HasOtherWorker || !couldRunOn(Entry, Job, Step))
        return;
      bool IsEvacuated = EvacuatedDataCentres_.contains(Entry.DataCentre);
      (IsEvacuated ? HasEvacuatedWorker : HasOtherWorker) = true;
    };
    for (const auto &Entry : Listed_)
      Consider(Entry);
    for (const auto &[Peer, Known] : Remotes_)
      for (const auto &Worker : Known.Pool.workers())
        Consider(Worker.Entry);
    if (HasEvacuatedWorker && !HasOtherWorker)
      return true;
  }
  return false;
}

bool PoolManager::couldRunOn(const WorkerEntry &Entry, const PoolJob &Job, std::uint32_t Step) {
  PoolPlacementRequest Request;
  Request.Step = &Job.Submission->Steps[Step];
  Request.Policy = &Job.Submission->Policy;
  return isEligible(Request, {&Entry, {Entry.Capacity, Entry.Slots, 1}, 0});
}

bool PoolManager::lacksWorkers(const PoolJob &Job) const {
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    if (Job.Steps[Step].Waiting == 0)
      continue;
    bool IsServedHere = std::any_of(Listed_.begin(), Listed_.end(), [&](const WorkerEntry &Entry) {
      return Entry.State == WorkerState::Ready && couldRunOn(Entry, Job, Step);
    });
    bool IsServed =
        IsServedHere || std::any_of(Remotes_.begin(), Remotes_.end(), [&](const auto &Remote) {
          const auto &Workers = Remote.second.Pool.workers();
          return std::any_of(Workers.begin(), Workers.end(), [&](const RemoteWorker &Worker) {
            return couldRunOn(Worker.Entry, Job, Step);
          });
        });
    if (!IsServed)
      return true;
  }
  return false;
}

void PoolManager::seekWorkers(PoolJob &Job, core::TimePoint Now) const {
  if (Now < Job.WorkersSoughtAt + WorkerSearchInterval)
    return;
  Job.WorkersSoughtAt = Now;
  Job.LacksWorkers = lacksWorkers(Job);
}

void PoolManager::enqueue(const PoolJob &Job, core::TimePoint Now) {
  if (Job.waiting() == 0 || Queue_.contains(Job.Handle) || Job.OrphanedUntil)
    return;
  Queue_.set(placeInQueue(Job, Now));
  if (!Job.LacksWorkers)
    WaitingWork_ += waitingWork(Job);
}

core::TimePoint PoolManager::inTimeUntil(const PoolJob &Job) const {
  if (Job.ArrivalStanding != Standing::BelowFloor && !Job.mayHaveRun())
    return Job.LatestStart;
  std::vector<double> UntilEnd(Job.Steps.size()); // From the start of the step.
  double Longest = 0;
  for (auto Step = Job.Steps.size(); Step-- > 0;) {
    UntilEnd[Step] += Job.Steps[Step].expectedMilliseconds();
    for (auto Earlier : Job.Submission->Steps[Step].After)
      if (Earlier < Step)
        UntilEnd[Earlier] = std::max(UntilEnd[Earlier], UntilEnd[Step]);
    if (Job.Steps[Step].Waiting > 0)
      Longest = std::max(Longest, UntilEnd[Step]);
  }
  auto Run = core::fromMilliseconds(Longest / std::max(FastestSpeed_, MinimumSpeed));
  return std::max(Job.LatestStart, Job.ObjectiveAt - Run);
}

PoolQueue::Key PoolManager::placeInQueue(const PoolJob &Job, core::TimePoint Now) const {
  auto Prospect = JobProspect::InTime;
  if (Job.LacksWorkers)
    Prospect = JobProspect::Late;
  else if (Now > Job.LatestStart && Now > inTimeUntil(Job))
    Prospect = Job.mayHaveRun() ? JobProspect::StartedLate : JobProspect::Late;
  return {Prospect, Job.LatestStart, Job.Handle};
}

WaitingJob PoolManager::waitingJob(const PoolJob &Job) const {
  return {Job.Handle,
          Job.ArrivalStanding,
          Job.mayHaveRun(),
          waitingWork(Job),
          core::fromMilliseconds(shortestRunTime(Job)),
          Job.LatestStart,
          inTimeUntil(Job),
          Job.UsefulUntil};
}

void PoolManager::moveJobsWithoutWorkers(core::TimePoint Now) {
  std::vector<JobHandle> WithoutWorkers;
  for (const auto &Key : Queue_) {
    auto &Job = Jobs_.at(Key.Handle);
    seekWorkers(Job, Now);
    if (Job.LacksWorkers)
      WithoutWorkers.push_back(Key.Handle);
  }
  for (auto Handle : WithoutWorkers)
    Queue_.set(placeInQueue(Jobs_.at(Handle), Now));
}

std::vector<WaitingJob> PoolManager::waitingJobs() const {
  std::vector<WaitingJob> Waiting;
  Waiting.reserve(Queue_.size());
  for (const auto &Key : Queue_) {
    const auto &Job = Jobs_.at(Key.Handle);
    // Nothing ahead of a job that waits for its data delays it.
    if (!Job.LacksWorkers && !Job.onlyWaitsForData())
      Waiting.push_back(waitingJob(Job));
  }
  return Waiting;
}

void PoolManager::reviewWaitingJobs(core::TimePoint Now) {
  Inflow_.observe(Now);
  auto Room = forecastRoom(Now);
  if (Queue_.empty() || !Room.isKnown()) {
    WaitingWork_ = 0;
    return observeOverload({}, Room, Now);
  }
  moveJobsWithoutWorkers(Now);
  auto Waiting = waitingJobs();
  auto Plan = planAdmission(Waiting, Room, Now);
  WaitingWork_ = Plan.Work;
  for (std::size_t Position = 0; Position < Waiting.size(); ++Position) {
    auto &Job = Jobs_.at(Waiting[Position].Handle);
    if (Queue_.find(Job.Handle)->Prospect != Plan.Prospects[Position])
      Queue_.set({Plan.Prospects[Position], Job.LatestStart, Job.Handle});
    if (placeInQueue(Job, Now).Prospect != JobProspect::InTime)
      settle(Job, false, Now);
  }
  observeOverload(Plan, Room, Now);
  for (auto Position : Plan.Unattainable)
    if (auto *Job = find(Waiting[Position].Handle))
      refuse(*Job, Room, Now);
}

void PoolManager::refuse(PoolJob &Job, const RoomForecast &Room, core::TimePoint Now) {
  if (hasCapacityFor(Job, Now))
    return;
  ++Counters_.RefusedForRoom;
  endJob(Job,
         {JobVerdict::Rejected, "the work ahead leaves no time for it",
          retryMilliseconds(Job, Room, Now)},
         Now);
}

void PoolManager::observeOverload(const AdmissionPlan &Plan, const RoomForecast &Room,
                                  core::TimePoint Now) {
  if (!Overload_.observe(Plan.LateCount > 0, Now))
    return;
  Log_.line(DecisionPriority::StateChange,
            Overload_.isOverloaded() ? "overload begins" : "overload ends", std::nullopt,
            {{"room_rate", Room.Rate},
             {"coming_rate", Room.Coming},
             {"arriving_rate", Room.Inflow},
             {"waiting_work", Plan.Work},
             {"queued_jobs", static_cast<std::int64_t>(Queue_.size())},
             {"late_jobs", static_cast<std::int64_t>(Plan.LateCount)},
             {"share_in_time", Shares_.shareOfWork()},
             {"workers_held", static_cast<std::int64_t>(Fleet_.heldCount())}});
}

void PoolManager::settle(PoolJob &Job, bool IsInTime, core::TimePoint Now) {
  if (Job.IsSettled || Job.IsDelegation)
    return;
  Job.IsSettled = true;
  Shares_.settled(Job.Kind, Job.IsWide, totalWork(Job), IsInTime, Now);
}

void PoolManager::expireJobs(core::TimePoint Now) {
  std::vector<std::pair<JobHandle, JobAnswer>> Ended;
  for (const auto &[Handle, Job] : Jobs_) {
    if (Job.IsEnding || Job.IsDelegation)
      continue;
    if (Job.OrphanedUntil && Now >= *Job.OrphanedUntil) {
      Ended.push_back({Handle, {JobVerdict::GivenUp, "the caller's entry process is lost", 0}});
      continue;
    }
    // A waiting task still needs its run time on the fastest worker.
    auto Limit = usefulLimit(Job);
    if (Job.waiting() > 0)
      Limit -= core::fromMilliseconds(shortestRunTime(Job) * MinimumRunTimeShare);
    if (Now < Limit)
      continue;
    auto Verdict = Job.mayHaveRun() ? JobVerdict::GivenUp : JobVerdict::Rejected;
    if (Verdict == JobVerdict::Rejected)
      ++Counters_.RefusedInWaiting;
    double Retry = retryMilliseconds(Job, forecastRoom(Now), Now);
    Ended.push_back({Handle, {Verdict, "cannot be done while the caller waits", Retry}});
  }
  for (auto &[Handle, Answer] : Ended)
    if (auto *Job = find(Handle))
      endJob(*Job, std::move(Answer), Now);
  std::vector<JobHandle> Missed;
  for (const auto &Key : Queue_) {
    if (Key.Prospect != JobProspect::InTime || Key.LatestStart >= Now)
      break;
    if (placeInQueue(Jobs_.at(Key.Handle), Now).Prospect != JobProspect::InTime)
      Missed.push_back(Key.Handle);
  }
  for (auto Handle : Missed) {
    settle(Jobs_.at(Handle), false, Now);
    Queue_.remove(Handle);
    enqueue(Jobs_.at(Handle), Now);
  }
}

} // namespace cornellift::kernel
