// The queue of waiting jobs: their order, rejections and expiry.
#include "Kernel/Pool/PoolManager.h"

#include <algorithm>

namespace cornellift::kernel {
namespace {

/// Lower bound on the assumed speed, for workers whose speed is unknown.
constexpr double MinimumSpeed = 0.1;
/// Until when callers of an evacuated data centre may come back; its end is not known.
constexpr double EvacuatedRetryMilliseconds = 5000;
/// How long after a start managers may not know the workers of all others.
constexpr core::Duration DirectoryExchangeTime = std::chrono::seconds(1);
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
  auto Run = core::fromMilliseconds(shortestRunTime(Job));
  auto LeavesNoTime = [&](double Wait) {
    return Wait > 0 && Now + core::fromMilliseconds(Wait) + Run > Job.UsefulUntil;
  };
  if (needsEvacuatedWorkers(Job, Now) && !hasCapacityFor(Job, Now))
    return evacuatedAnswer();
  if (Queue_.empty())
    return std::nullopt;
  auto Room = forecastRoom(Now);
  if (!Room.isKnown() || !LeavesNoTime(backlogMilliseconds(Room)) || hasCapacityFor(Job, Now) ||
      !LeavesNoTime(waitMilliseconds(Job, Room, Now)))
    return std::nullopt;
  ++Counters_.RefusedAtArrival;
  return JobAnswer{JobVerdict::Rejected, "too much work waits for the workers",
                   retryMilliseconds(Job, Room, Now)};
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
    PoolPlacementRequest Request;
    Request.Step = &Job.Submission->Steps[Step];
    Request.Policy = &Job.Submission->Policy;
    bool HasEvacuated = false;
    auto Serves = [&](const WorkerEntry &Entry) {
      PlacementCandidate Idle{&Entry, {Entry.Capacity, Entry.Slots, 1}, 0};
      if (!isEligible(Request, Idle))
        return false;
      bool IsEvacuated = EvacuatedDataCentres_.contains(Entry.DataCentre);
      HasEvacuated = HasEvacuated || IsEvacuated;
      return !IsEvacuated;
    };
    bool IsServed = std::any_of(Listed_.begin(), Listed_.end(), Serves) ||
                    std::any_of(Remotes_.begin(), Remotes_.end(), [&](const auto &Known) {
                      const auto &Workers = Known.second.Pool.workers();
                      return std::any_of(Workers.begin(), Workers.end(),
                                         [&](const auto &Worker) { return Serves(Worker.Entry); });
                    });
    if (HasEvacuated && !IsServed)
      return true;
  }
  return false;
}

void PoolManager::enqueue(const PoolJob &Job, core::TimePoint Now) {
  if (Job.waiting() == 0 || Queue_.contains(Job.Handle) || Job.OrphanedUntil)
    return;
  Queue_.set(placeInQueue(Job, Now));
  WaitingWork_ += waitingWork(Job);
}

PoolQueue::Key PoolManager::placeInQueue(const PoolJob &Job, core::TimePoint Now) {
  auto Prospect = Now <= Job.LatestStart ? JobProspect::InTime
                  : Job.mayHaveRun()     ? JobProspect::StartedLate
                                         : JobProspect::Late;
  return {Prospect, Job.LatestStart, Job.Handle};
}

WaitingJob PoolManager::waitingJob(const PoolJob &Job) const {
  return {Job.Handle,
          Job.Place,
          Job.mayHaveRun(),
          waitingWork(Job),
          core::fromMilliseconds(shortestRunTime(Job)),
          Job.LatestStart,
          Job.UsefulUntil};
}

void PoolManager::reviewWaitingJobs(core::TimePoint Now) {
  Inflow_.observe(Now);
  auto Room = forecastRoom(Now);
  if (Queue_.empty() || !Room.isKnown()) {
    WaitingWork_ = 0;
    return observeOverload({}, Room, Now);
  }
  std::vector<WaitingJob> Waiting;
  Waiting.reserve(Queue_.size());
  for (const auto &Key : Queue_) {
    const auto &Job = Jobs_.at(Key.Handle);
    if (!Job.onlyWaitsForData()) // Nothing ahead of such a job delays it.
      Waiting.push_back(waitingJob(Job));
  }
  auto Plan = planAdmission(Waiting, Room, Now);
  WaitingWork_ = Plan.Work;
  for (std::size_t Position = 0; Position < Waiting.size(); ++Position)
    if (Queue_.find(Waiting[Position].Handle)->Prospect != Plan.Prospects[Position])
      Queue_.set(
          {Plan.Prospects[Position], Waiting[Position].LatestStart, Waiting[Position].Handle});
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

void PoolManager::settle(PoolJob &Job, core::TimePoint Now) {
  if (Job.IsSettled || Job.IsDelegation)
    return;
  Job.IsSettled = true;
  Shares_.settled(Job.Kind, Job.IsWide, totalWork(Job),
                  Job.waiting() == 0 && Now <= Job.LatestStart, Now);
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
    Missed.push_back(Key.Handle);
  }
  for (auto Handle : Missed) {
    settle(Jobs_.at(Handle), Now);
    Queue_.remove(Handle);
    enqueue(Jobs_.at(Handle), Now);
  }
}

} // namespace cornellift::kernel
