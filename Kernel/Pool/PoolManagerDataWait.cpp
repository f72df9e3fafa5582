// Tasks that wait for room near their data, although they could start elsewhere.
#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// A plan considers all workers, which is too much work for each dispatch on small VMs.
constexpr core::Duration PlanInterval = std::chrono::milliseconds(20);
/// Time from a stop command until the worker's report of the run's end.
constexpr core::Duration StopTime = std::chrono::milliseconds(40);
/// A run that is overdue goes on for about this share of its time so far.
constexpr double OverdueShare = 0.25;

/// Lower bound on the processors that a task is assumed to need, as it may state none.
constexpr double SmallestNeed = 0.1;
/// Upper bound on the places of the fleet: in a larger one hardly any task waits before it is full.
constexpr double MostPlaces = 200;

} // namespace

ExpectedRelease PoolManager::expectedRelease(const Run &Each, EndpointIndex Worker,
                                             core::TimePoint Now) const {
  if (Each.State == RunState::Stopping)
    return {Now + StopTime, 0, Each.Need};
  auto Found = Jobs_.find(Each.Job);
  auto Length = Found == Jobs_.end()
                    ? ExpectedLength{core::toMilliseconds(Each.ExpectedEnd - Each.StartSentAt), 0}
                    : expectedLength(Found->second, Each, Worker);
  double Elapsed = core::toMilliseconds(Now - Each.StartSentAt);
  double Rest = Length.Milliseconds - Elapsed;
  if (Rest <= 0) {
    Rest = OverdueShare * Elapsed;
    Length.ErrorMilliseconds = Rest;
  }
  return {Now + core::fromMilliseconds(Rest), Length.ErrorMilliseconds, Each.Need};
}

RackTimetable &PoolManager::timetableFor(const PoolJob &Job, std::uint32_t Step,
                                         core::TimePoint Now) {
  const auto &Wanted = Job.Submission->Steps[Step];
  auto [Position, IsNew] = Timetables_.try_emplace(
      {Wanted.DataRack, Job.Submission->Policy.Service, Wanted.RequiredLabel});
  if (IsNew)
    Position->second = buildTimetable(Job, Step, Now);
  return Position->second;
}

RackTimetable PoolManager::buildTimetable(const PoolJob &Job, std::uint32_t Step,
                                          core::TimePoint Now) const {
  const auto &Wanted = Job.Submission->Steps[Step];
  const auto &Service = Job.Submission->Policy.Service;
  RackTimetable Rack;
  std::vector<ExpectedRelease> Releases;
  for (std::size_t Each = 0; Each < Fleet_.size(); ++Each) {
    auto Index = static_cast<EndpointIndex>(Each);
    const auto &Known = Fleet_.at(Index);
    if (Known.Entry.Service != Service || !Known.Entry.hasLabel(Wanted.DataRack) ||
        (!Wanted.RequiredLabel.empty() && !Known.Entry.hasLabel(Wanted.RequiredLabel)))
      continue;
    auto Availability = availabilityOf(Index, Now);
    if (Availability.Speed <= 0)
      continue;
    Releases.clear();
    for (const auto &Running : Known.Runs)
      Releases.push_back(expectedRelease(Running, Index, Now));
    Rack.addWorker(Availability.Free, Availability.FreeSlots, Availability.Speed, Releases);
  }
  return Rack;
}

const WorkerEntry &PoolManager::entryOf(const ChosenPlace &Chosen) const {
  if (Chosen.AtPeer)
    return Remotes_.at(Chosen.AtPeer->first).Pool.workers()[Chosen.AtPeer->second].Entry;
  return Fleet_.at(*Chosen.Own).Entry;
}

bool PoolManager::mayWaitForData(const PoolJob &Job, std::uint32_t Step) const {
  const auto &Wanted = Job.Submission->Steps[Step];
  // Another manager that has delegated a task needs a start or a refusal at once.
  return !Wanted.DataRack.empty() && DataWaitPolicy_ && Settings_.RemoteFactor > 1 &&
         !Job.IsDelegation && Wanted.MaximumPerWorker == 0;
}

bool PoolManager::isElsewhere(std::string_view Rack) const {
  return std::any_of(Remotes_.begin(), Remotes_.end(), [Rack](const auto &Entry) {
    const auto &Workers = Entry.second.Pool.workers();
    return std::any_of(Workers.begin(), Workers.end(), [Rack](const RemoteWorker &Each) {
      return Each.Availability.Speed > 0 && Each.Entry.hasLabel(Rack);
    });
  });
}

std::optional<PoolManager::ChosenPlace>
PoolManager::lateAwayFromData(const PoolJob &Job, std::uint32_t Step,
                              const PoolPlacementRequest &Request, core::TimePoint Now) {
  // When there is room at other managers is not known here.
  if (!mayWaitForData(Job, Step) ||
      (!timetableFor(Job, Step, Now).hasWorkers() && isElsewhere(Request.Step->DataRack)))
    return std::nullopt;
  return chooseLateAwayFromData(Job, Step, Request, Now);
}

std::optional<PoolManager::ChosenPlace>
PoolManager::chooseLateAwayFromData(const PoolJob &Job, std::uint32_t Step,
                                    PoolPlacementRequest Request, core::TimePoint Now) const {
  Request.ObjectiveMilliseconds = Request.UsefulMilliseconds;
  auto Chosen = choosePlace(Job, Step, Request, Now);
  // What tasks want at other managers is not known here.
  if (!Chosen || Chosen->AtPeer || isRackWanted(*Chosen->Own, *Request.Step))
    return std::nullopt;
  return Chosen;
}

bool PoolManager::waitsForData(PoolJob &Job, std::uint32_t Step,
                               const PoolPlacementRequest &Request, const ChosenPlace &Chosen,
                               core::TimePoint Now) {
  auto &Progress = Job.Steps[Step];
  if (!mayWaitForData(Job, Step))
    return false;
  if (entryOf(Chosen).hasLabel(Request.Step->DataRack)) {
    startsNearData(Job, Progress, Chosen.EndMilliseconds, Now);
    return false;
  }
  if (Progress.Wait.PlannedIn != DispatchNumber_)
    planDataWait(Job, Step, Request, Chosen.EndMilliseconds, Now);
  if (Progress.Waiting > Progress.Wait.Tasks) {
    Progress.Wait.StartedAway += Progress.Wait.Tasks > 0 ? 1 : 0;
    return false;
  }
  return true;
}

DataWaitRequest PoolManager::dataWaitRequestFor(const PoolJob &Job, std::uint32_t Step,
                                                const PoolPlacementRequest &Request,
                                                double EndMilliseconds, double RackLoad) const {
  const auto &Progress = Job.Steps[Step];
  return {Request.Step->Need,         Progress.Waiting, Request.TypicalRunTime,
          Progress.Deviation,         EndMilliseconds,  Request.ObjectiveMilliseconds,
          Request.UsefulMilliseconds, RackLoad,         placeCost(Request.Step->Need),
          Progress.Wait.IsOver};
}

void PoolManager::planDataWait(PoolJob &Job, std::uint32_t Step,
                               const PoolPlacementRequest &Request, double EndMilliseconds,
                               core::TimePoint Now) {
  auto &Progress = Job.Steps[Step];
  auto &Wait = Progress.Wait;
  Wait.PlannedIn = DispatchNumber_;
  Wait.PlanAt = Now + PlanInterval;
  auto Plan =
      DataWaitPolicy_->plan(dataWaitRequestFor(Job, Step, Request, EndMilliseconds,
                                               RackDemand_.load(Request.Step->DataRack, Now)),
                            timetableFor(Job, Step, Now), Now);
  if (Plan.Tasks < Wait.Tasks)
    return releaseFromWait(Job, Step, Wait.Tasks - Plan.Tasks, &PoolCounters::DataWaitsUseless,
                           Plan.WhyNot, Now);
  if (Wait.Tasks == 0 && Plan.Tasks > 0) {
    Wait = {};
    Wait.PlannedIn = DispatchNumber_;
    Wait.PlanAt = Now + PlanInterval;
    Wait.Since = Now;
    Wait.Deadline = Plan.Deadline;
    Wait.AwayEnd = Now + core::fromMilliseconds(EndMilliseconds);
    Wait.ExpectedGain = Plan.ExpectedGain;
  }
  Wait.Tasks = Plan.Tasks;
  RackDemand_.want(Request.Step->DataRack, 0, Now);
}

void PoolManager::startsNearData(const PoolJob &Job, StepProgress &Progress, double EndMilliseconds,
                                 core::TimePoint Now) {
  auto &Wait = Progress.Wait;
  if (Wait.Tasks == 0)
    return;
  --Wait.Tasks;
  ++Wait.StartedNear;
  double Gain = core::toMilliseconds(Wait.AwayEnd - Now) - EndMilliseconds;
  Wait.Gain += Gain;
  ++Counters_.DataWaitsNear;
  Counters_.DataWaitMilliseconds += core::toMilliseconds(Now - Wait.Since);
  Counters_.DataWaitExpectedGain += Wait.ExpectedGain;
  Counters_.DataWaitGain += Gain;
  if (Wait.Tasks == 0)
    logWaitEnd(Job, Progress, "room near the data", Now);
}

void PoolManager::releaseFromWait(PoolJob &Job, std::uint32_t Step, std::uint32_t Tasks,
                                  std::uint64_t PoolCounters::*Outcome, std::string_view Why,
                                  core::TimePoint Now) {
  if (Tasks == 0)
    return;
  auto &Wait = Job.Steps[Step].Wait;
  double Waited = core::toMilliseconds(Now - Wait.Since) * Tasks;
  Wait.Tasks -= Tasks;
  Wait.Gain -= Waited;
  Counters_.*Outcome += Tasks;
  Counters_.DataWaitMilliseconds += Waited;
  Counters_.DataWaitExpectedGain += Wait.ExpectedGain * Tasks;
  Counters_.DataWaitGain -= Waited;
  if (Wait.Tasks > 0)
    return;
  Wait.IsOver = true;
  logWaitEnd(Job, Job.Steps[Step], Why, Now);
}

void PoolManager::logWaitEnd(const PoolJob &Job, const StepProgress &Progress, std::string_view Why,
                             core::TimePoint Now) {
  const auto &Wait = Progress.Wait;
  auto Step = Job.stepOf(Progress.FirstTask);
  Log_.line(DecisionPriority::Routine, "wait for data ended", Job.key(),
            {{"step", static_cast<std::int64_t>(Step)},
             {"rack", std::string_view(Job.Submission->Steps[Step].DataRack)},
             {"why", Why},
             {"waited_ms", core::toMilliseconds(Now - Wait.Since)},
             {"started_near", static_cast<std::int64_t>(Wait.StartedNear)},
             {"started_away", static_cast<std::int64_t>(Wait.StartedAway)},
             {"expected_gain_ms", Wait.ExpectedGain},
             {"gain_ms", Wait.Gain}});
}

void PoolManager::endExpiredWaits(PoolJob &Job, core::TimePoint Now) {
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    const auto &Wait = Job.Steps[Step].Wait;
    if (Wait.Tasks > 0 && Now >= Wait.Deadline)
      releaseFromWait(Job, Step, Wait.Tasks, &PoolCounters::DataWaitsExpired,
                      "the wait's deadline passed", Now);
  }
}

void PoolManager::observeFleetLoad(core::TimePoint Now) {
  constexpr double MemoryMilliseconds = 500;
  double Busy = 0;
  double Whole = 0;
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    const auto &Known = Fleet_.at(static_cast<EndpointIndex>(Position));
    if (!Known.acceptsTasks(Now))
      continue;
    Busy += Known.Committed.Processors;
    Whole += Known.Entry.Capacity.Processors;
  }
  double Age = core::toMilliseconds(Now - FleetLoadAt_);
  FleetLoadAt_ = Now;
  FleetProcessors_ = Whole;
  double Share = Whole > 0 ? Busy / Whole : 0;
  FleetLoad_ += (Share - FleetLoad_) * (1 - std::exp(-Age / MemoryMilliseconds));
}

double PoolManager::placeCost(const Resources &Need) const {
  double Places = FleetProcessors_ / std::max(Need.Processors, SmallestNeed);
  return waitingPerBusyPlace(std::min(Places, MostPlaces),
                             FleetLoad_ * std::min(Places, MostPlaces));
}

bool PoolManager::isPlanDue(const PoolJob &Job, core::TimePoint Now) const {
  for (std::size_t Step = 0; Step < Job.Steps.size(); ++Step) {
    const auto &Rack = Job.Submission->Steps[Step].DataRack;
    bool HasEnd = std::any_of(EndedOn_.begin(), EndedOn_.end(), [&](EndpointIndex Worker) {
      return Fleet_.at(Worker).Entry.hasLabel(Rack);
    });
    if (Job.Steps[Step].Wait.Tasks > 0 && (HasEnd || Now >= Job.Steps[Step].Wait.PlanAt))
      return true;
  }
  return false;
}

void PoolManager::keepRoom(const PoolJob &Job, core::TimePoint Now) {
  for (std::uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
    if (Job.Steps[Step].Wait.Tasks > 0)
      keepRoomIn(timetableFor(Job, Step, Now), Job.Submission->Steps[Step].Need, Job.Steps[Step],
                 Now);
  }
}

void PoolManager::keepRoomIn(RackTimetable &Rack, const Resources &Need,
                             const StepProgress &Progress, core::TimePoint Now) {
  for (std::uint32_t Task = 0; Task < Progress.Wait.Tasks; ++Task)
    if (auto Room = Rack.earliest(Need, Progress.TypicalMilliseconds, Now))
      Rack.take(*Room, Need, Progress.TypicalMilliseconds);
}

bool PoolManager::hasWorkWithoutRoom() const {
  return std::any_of(Queue_.begin(), Queue_.end(), [this](const PoolQueue::Key &Key) {
    const auto &Job = Jobs_.at(Key.Handle);
    return !Job.LacksWorkers && !Job.onlyWaitsForData();
  });
}

void PoolManager::markWantedRacks(core::TimePoint Now) {
  bool IsAnyWanted = DataWaitPolicy_ && !RackDemand_.empty();
  IsRackWanted_.assign(IsAnyWanted ? Fleet_.size() : 0, false);
  for (std::size_t Position = 0; Position < IsRackWanted_.size(); ++Position)
    IsRackWanted_[Position] =
        RackDemand_.isWanted(Fleet_.at(static_cast<EndpointIndex>(Position)).Entry, Now);
}

bool PoolManager::isRackWanted(EndpointIndex Worker, const JobStep &Step) const {
  auto Position = static_cast<std::size_t>(Worker);
  if (Position >= IsRackWanted_.size() || !IsRackWanted_[Position])
    return false;
  return Step.DataRack.empty() || !Fleet_.at(Worker).Entry.hasLabel(Step.DataRack);
}

} // namespace cornellift::kernel
