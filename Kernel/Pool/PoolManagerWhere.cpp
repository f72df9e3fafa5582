// Where a job would go if it arrived now. Uses the functions that place jobs, and copies of what an
// arriving job changes.
#include "Kernel/Pool/PoolManager.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

constexpr double RoundingSlack = 1e-6;

/// Number of tasks that fit into the free capacity beside each other.
std::uint32_t placesFor(const JobStep &Step, const WorkerAvailability &Availability) {
  double Places = Availability.FreeSlots;
  auto Limit = [&](double Needed, double Free) {
    if (Needed > 0)
      Places = std::min(Places, std::floor(Free / Needed + RoundingSlack));
  };
  Limit(Step.Need.Processors, Availability.Free.Processors);
  Limit(Step.Need.MemoryMegabytes, Availability.Free.MemoryMegabytes);
  Limit(Step.Need.Accelerators, Availability.Free.Accelerators);
  if (Step.MaximumPerWorker > 0)
    Places = std::min<double>(Places, Step.MaximumPerWorker);
  return static_cast<std::uint32_t>(std::max(Places, 1.0)); // The caller found it eligible.
}

/// Why a worker with that entry never gets a task of the step; empty if it may.
std::optional<Exclusion> unmetRequirement(const PoolPlacementRequest &Request,
                                          const WorkerEntry &Entry) {
  if (Entry.Service != Request.Policy->Service)
    return Exclusion::OtherService;
  const auto &Label = Request.Step->RequiredLabel;
  if (!Label.empty() && !Entry.hasLabel(Label))
    return Exclusion::MissingLabel;
  if (!isEligible(Request, {&Entry, {Entry.Capacity, Entry.Slots, 1}, 0}))
    return Exclusion::TooSmall;
  return std::nullopt;
}

/// Why a worker does not accept tasks, by its entry alone.
std::optional<Exclusion> entryExclusion(const WorkerEntry &Entry, bool IsEvacuated) {
  if (IsEvacuated)
    return Exclusion::Evacuated;
  if (Entry.State != WorkerState::Ready)
    return Entry.StaysUntil ? Exclusion::Notice : Exclusion::Draining;
  return std::nullopt;
}

/// Why a worker of this manager does not accept tasks at all; it must not.
Exclusion stateExclusion(const Worker &Known, core::TimePoint Now) {
  if (auto Why = entryExclusion(Known.Entry, Known.IsEvacuated))
    return *Why;
  if (Known.Lease != LeaseState::Held)
    return Exclusion::NotHeld;
  return Known.isAnswering(Now) ? Exclusion::Unsettled : Exclusion::Silent;
}

/// Sorts what is considered for a step's first waiting task.
class StepSurvey {
public:
  StepSurvey(const PoolPlacementRequest &Request, double FastestSpeed, StepExplanation &Result)
      : Request_(Request), FastestSpeed_(FastestSpeed), Result_(Result) {}

  void exclude(const WorkerEntry &Entry, Exclusion Why) {
    auto &Group = Result_.Excluded[Why];
    ++Group.Count;
    if (Group.Examples.size() < MaximumExcludedExamples)
      Group.Examples.push_back(Entry.Id);
  }

  /// Adds a worker with room for the task.
  void consider(const PlacementCandidate &Candidate, std::optional<PeerIndex> Manager) {
    const auto &Entry = *Candidate.Entry;
    if (!PlacementChooser(Request_, FastestSpeed_).consider(Candidate))
      return exclude(Entry, Exclusion::Late);
    const auto &Rack = Request_.Step->DataRack;
    auto Places = placesFor(*Request_.Step, Candidate.Availability);
    Result_.Places += Places;
    ++Result_.EligibleCount;
    Result_.Eligible.push_back(
        {Entry.Id, Entry.DataCentre, Manager, expectedMilliseconds(Request_, Candidate), Places,
         Rack.empty() || Entry.hasLabel(Rack),
         ColdStart::coldMilliseconds(Entry.ColdUntil, Request_.Now) > 0, Candidate.IsRackWanted});
  }

  /// Orders the workers and keeps as many as are listed.
  void finish(const WorkerEntry *Chosen) {
    auto &Listed = Result_.Eligible;
    std::stable_sort(Listed.begin(), Listed.end(), [&](const auto &Left, const auto &Right) {
      auto Key = [&](const EligibleWorker &Each) {
        return std::pair(!Chosen || Each.Id != Chosen->Id, Each.EndMilliseconds);
      };
      return Key(Left) < Key(Right);
    });
    if (Listed.size() > MaximumEligibleListed)
      Listed.resize(MaximumEligibleListed);
  }

private:
  const PoolPlacementRequest &Request_;
  double FastestSpeed_;
  StepExplanation &Result_;
};

} // namespace

PlacementExplanation
PoolManager::explainPlacement(const std::shared_ptr<const JobSubmission> &Submission,
                              core::TimePoint Now) const {
  auto Kinds = Kinds_;
  auto Shares = Shares_;
  auto Demand = RackDemand_;
  PoolJob Job;
  Job.Handle = static_cast<JobHandle>(NextHandle_);
  Job.Submission = Submission;
  Job.Kind = kindOf(*Submission, Kinds);
  addSteps(Job, Kinds);
  wantRacks(Job, Demand, Now);
  setDeadlines(Job);
  unblockSteps(Job);
  Job.IsWide = Shares.offered(Job.Kind, Submission->Policy.Priority, totalWork(Job));
  Job.ArrivalStanding = Shares.standingOf(Job.Kind, Job.IsWide);
  seekWorkers(Job, Now);

  PlacementExplanation Result;
  Result.Admission = admissionOf(Job, Now);
  Result.ObjectiveMilliseconds = core::toMilliseconds(Job.ObjectiveAt - Now);
  Result.UsefulMilliseconds = core::toMilliseconds(Job.UsefulUntil - Now);
  Result.WaitingJobs = Queue_.size();
  auto Place = placeInQueue(Job, Now);
  Result.JobsAhead = static_cast<std::size_t>(std::count_if(
      Queue_.begin(), Queue_.end(), [&](const PoolQueue::Key &Key) { return Key < Place; }));
  if (auto Room = forecastRoom(Now); Room.isKnown())
    Result.WaitMilliseconds = waitMilliseconds(Job, Room, Now);
  Result.StepCount = Job.Steps.size();
  auto Count = std::min(Job.Steps.size(), MaximumStepsExplained);
  for (std::uint32_t Step = 0; Step < Count; ++Step)
    Result.Steps.push_back(explainStep(Job, Step, Demand, Now));
  return Result;
}

AdmissionOutlook PoolManager::admissionOf(const PoolJob &Job, core::TimePoint Now) const {
  if (JobBytes_ + Job.Submission->memory() > Settings_.JobBytes)
    return AdmissionOutlook::NoMemory;
  if (hasCapacityFor(Job, Now))
    return AdmissionOutlook::Admitted;
  if (needsEvacuatedWorkers(Job, Now))
    return AdmissionOutlook::Evacuated;
  auto Room = forecastRoom(Now);
  if (!Room.isKnown())
    return AdmissionOutlook::Admitted;
  if (!Queue_.empty() && isCrowdedOut(Job, Room, Now))
    return AdmissionOutlook::NoTimeAtArrival;
  auto Waiting = waitingJobs();
  Waiting.push_back(waitingJob(Job));
  auto Plan = planAdmission(Waiting, Room, Now);
  bool IsRefused = std::find(Plan.Unattainable.begin(), Plan.Unattainable.end(),
                             Waiting.size() - 1) != Plan.Unattainable.end();
  return IsRefused ? AdmissionOutlook::NoTimeInQueue : AdmissionOutlook::Admitted;
}

StepExplanation PoolManager::explainStep(const PoolJob &Job, std::uint32_t Step,
                                         const RackDemand &Demand, core::TimePoint Now) const {
  const auto &Wanted = Job.Submission->Steps[Step];
  StepExplanation Result;
  Result.Tasks = Wanted.Count;
  Result.DataRack = Wanted.DataRack;
  Result.RequiredLabel = Wanted.RequiredLabel;
  Result.TypicalMilliseconds = Job.Steps[Step].TypicalMilliseconds;
  auto Request = placementRequestFor(Job, Step, Now);
  auto Chosen = choosePlace(Job, Step, Request, Now);
  if (mayWaitForData(Job, Step)) {
    auto Rack = buildTimetable(Job, Step, Now);
    keepRoomOfWaitingJobs(Job, Step, Rack, Now);
    if (!Chosen && (Rack.hasWorkers() || !isElsewhere(Wanted.DataRack))) {
      Chosen = chooseLateAwayFromData(Job, Step, Request, Now);
      if (Chosen) // The listed ends are to be those that this choice allows.
        Request.ObjectiveMilliseconds = Request.UsefulMilliseconds;
    }
    Result.Wait = explainWait(Job, Step, Chosen, Demand, Rack, Now);
  }
  const auto *Best = Chosen ? &entryOf(*Chosen) : nullptr;
  surveyWorkers(Job, Step, Request, Best, Result);
  bool Waits = Result.Wait && Result.Wait->Tasks >= Wanted.Count;
  if (Job.Steps[Step].Waiting == 0)
    Result.Outlook = TaskOutlook::WaitsForSteps;
  else if (Chosen)
    Result.Outlook = Waits            ? TaskOutlook::WaitsForData
                     : Chosen->AtPeer ? TaskOutlook::Delegated
                                      : TaskOutlook::Starts;
  return Result;
}

void PoolManager::surveyWorkers(const PoolJob &Job, std::uint32_t Step,
                                const PoolPlacementRequest &Request, const WorkerEntry *Chosen,
                                StepExplanation &Result) const {
  auto Now = Request.Now;
  StepSurvey Survey(Request, FastestSpeedNow_, Result);
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    const auto &Known = Fleet_.at(Index);
    if (!Known.IsListed)
      continue; // It is not in the store, or another manager's by now.
    PlacementCandidate Candidate{&Known.Entry, availabilityOf(Index, Now), 0,
                                 isRackWanted(Index, *Request.Step)};
    if (isEligible(Request, Candidate) && !isExcluded(Job, Step, Index))
      Survey.consider(Candidate, std::nullopt);
    else if (auto Unmet = unmetRequirement(Request, Known.Entry))
      Survey.exclude(Known.Entry, *Unmet);
    else if (!Known.acceptsTasks(Now))
      Survey.exclude(Known.Entry, stateExclusion(Known, Now));
    else if (Candidate.Availability.Speed <= 0)
      Survey.exclude(Known.Entry, Exclusion::Unhealthy);
    else
      Survey.exclude(Known.Entry,
                     isEligible(Request, Candidate) ? Exclusion::TaskBound : Exclusion::Full);
  }
  for (const auto &[Peer, Known] : Remotes_) {
    if (!Known.IsManager)
      continue;
    for (const auto &Worker : Known.Pool.workers()) {
      PlacementCandidate Candidate{&Worker.Entry, Worker.Availability,
                                   remoteMilliseconds(Known.Pool)};
      bool IsOpen = Known.Pool.acceptsTasks(Now);
      if (IsOpen && isEligible(Request, Candidate))
        Survey.consider(Candidate, Peer);
      else if (auto Unmet = unmetRequirement(Request, Worker.Entry))
        Survey.exclude(Worker.Entry, *Unmet);
      else if (auto Why = entryExclusion(Worker.Entry,
                                         EvacuatedDataCentres_.contains(Worker.Entry.DataCentre)))
        Survey.exclude(Worker.Entry, *Why);
      else
        Survey.exclude(Worker.Entry, !IsOpen                          ? Exclusion::PeerRefused
                                     : Worker.Availability.Speed <= 0 ? Exclusion::NotAccepting
                                                                      : Exclusion::Full);
    }
  }
  Survey.finish(Chosen);
}

DataWaitOutlook PoolManager::explainWait(const PoolJob &Job, std::uint32_t Step,
                                         const std::optional<ChosenPlace> &Chosen,
                                         const RackDemand &Demand, RackTimetable &Rack,
                                         core::TimePoint Now) const {
  const auto &Wanted = Job.Submission->Steps[Step];
  auto Request = placementRequestFor(Job, Step, Now);
  DataWaitOutlook Result;
  if (auto Room = Rack.earliest(Wanted.Need, Request.TypicalRunTime, Now)) {
    Result.RoomMilliseconds = core::toMilliseconds(Room->At - Now);
    Result.RoomError = Room->ErrorMilliseconds;
    Result.NearEndMilliseconds = *Result.RoomMilliseconds + Request.TypicalRunTime / Room->Speed;
  }
  bool HasPlan =
      Chosen && Job.Steps[Step].Waiting > 0 && !entryOf(*Chosen).hasLabel(Wanted.DataRack);
  if (!HasPlan)
    return Result;
  auto Plan = DataWaitPolicy_->plan(dataWaitRequestFor(Job, Step, Request, Chosen->EndMilliseconds,
                                                       Demand.load(Wanted.DataRack, Now)),
                                    Rack, Now);
  Result.Tasks = Plan.Tasks;
  Result.WhyNot = Plan.WhyNot;
  if (Plan.Tasks == 0)
    return Result;
  Result.DeadlineMilliseconds = core::toMilliseconds(Plan.Deadline - Now);
  Result.ExpectedGain = Plan.ExpectedGain;
  return Result;
}

void PoolManager::keepRoomOfWaitingJobs(const PoolJob &Job, std::uint32_t Step, RackTimetable &Rack,
                                        core::TimePoint Now) const {
  const auto &Wanted = Job.Submission->Steps[Step];
  for (const auto &Key : Queue_) {
    const auto &Ahead = Jobs_.at(Key.Handle);
    if (Ahead.Submission->Policy.Service != Job.Submission->Policy.Service)
      continue;
    for (std::uint32_t Other = 0; Other < Ahead.Steps.size(); ++Other) {
      const auto &Known = Ahead.Submission->Steps[Other];
      if (Known.DataRack == Wanted.DataRack && Known.RequiredLabel == Wanted.RequiredLabel)
        keepRoomIn(Rack, Known.Need, Ahead.Steps[Other], Now);
    }
  }
}

} // namespace cornellift::kernel
