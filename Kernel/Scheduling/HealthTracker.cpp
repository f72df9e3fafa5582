#include "Kernel/Scheduling/HealthTracker.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// An endpoint is ejected when its outcomes are this much likelier from a broken one: 100,000 to 1,
/// in natural logarithms. At 1,000 to 1, a fleet of 1,400 would always have a healthy one ejected.
constexpr double EjectionScore = 11.5;
constexpr double BrokenFailureShare = 0.9;
/// Failure share of a kind that has no evidence, and the samples that it is worth.
constexpr double PriorFailureShare = 0.005;
constexpr double PriorSamples = 100;
constexpr double MaximumSamples = 5000;
/// A job that failed on this many endpoints is a bad job.
constexpr std::size_t EndpointsOfBadJob = 3;
constexpr std::size_t RememberedFailedJobs = 1024;
constexpr core::Duration FirstEjection = std::chrono::seconds(5);
constexpr core::Duration FirstReconnect = std::chrono::milliseconds(100);
constexpr std::uint32_t MaximumDoublings = 6;
/// A setback is forgotten after this time without another one.
constexpr core::Duration ExclusionMemory = std::chrono::minutes(2);
/// Successes at one bound before the bound doubles, and the bound at which trial ends.
constexpr std::uint32_t SuccessesPerProbationStep = 3;
constexpr std::uint32_t MaximumProbationTasks = 8;
constexpr core::Duration StatusTimeout = std::chrono::seconds(1);
/// When more than this share of a data centre's endpoints is lost at once, a switch or a link has
/// failed rather than a worker. Then status queries are a fraction of the time since the loss
/// apart: a fixed 41 s, at 40 ms a message, left all of them idle for 38 s after a loss of 6 s.
/// Single workers that flap are better left out for long.
constexpr double CorrelatedFailureShare = 0.2;
constexpr int ProbeIntervalDivisor = 4;

} // namespace

void HealthTracker::configure(const KernelConfiguration &Configuration) {
  MaximumEjectedShare_ = Configuration.Policy.MaximumEjectedShare;
  Records_.resize(std::max(Records_.size(), Configuration.Endpoints.size()));
  Rates_.resize(std::max(Rates_.size(), Configuration.Services.size()));
  for (std::size_t Service = 0; Service < Configuration.Services.size(); ++Service)
    Rates_[Service].resize(
        std::max(Rates_[Service].size(), Configuration.Services[Service].Kinds.size()));
  std::fill(HeldByDataCentre_.begin(), HeldByDataCentre_.end(), 0);
  for (std::size_t Position = 0; Position < Configuration.Endpoints.size(); ++Position) {
    const auto &Name = Configuration.Endpoints[Position].DataCentre;
    auto Found = std::find(DataCentres_.begin(), DataCentres_.end(), Name);
    auto Index = static_cast<std::uint32_t>(Found - DataCentres_.begin());
    if (Found == DataCentres_.end()) {
      DataCentres_.push_back(Name);
      HeldByDataCentre_.push_back(0);
    }
    Records_[Position].DataCentre = Index;
    HeldByDataCentre_[Index] += Records_[Position].IsHeld ? 1 : 0;
  }
  EjectedByDataCentre_.assign(DataCentres_.size(), 0);
  UnreachableByDataCentre_.assign(DataCentres_.size(), 0);
  // A configuration without endpoints has no data centre.
  for (const auto &Endpoint : DataCentres_.empty() ? std::vector<Record>() : Records_) {
    EjectedByDataCentre_[Endpoint.DataCentre] += Endpoint.Now == HealthState::Ejected ? 1 : 0;
    UnreachableByDataCentre_[Endpoint.DataCentre] +=
        Endpoint.Now == HealthState::Unreachable ? 1 : 0;
  }
}

void HealthTracker::setHeld(EndpointIndex Endpoint, bool Held) {
  auto &State = at(Endpoint);
  if (State.IsHeld == Held)
    return;
  State.IsHeld = Held;
  HeldByDataCentre_[State.DataCentre] += Held ? 1 : 0;
  HeldByDataCentre_[State.DataCentre] -= Held ? 0 : 1;
}

HealthTracker::KindRate &HealthTracker::rate(ServiceIndex Service, KindIndex Kind) {
  auto ServicePosition = static_cast<std::size_t>(Service);
  auto KindPosition = static_cast<std::size_t>(Kind);
  if (ServicePosition >= Rates_.size())
    Rates_.resize(ServicePosition + 1);
  if (KindPosition >= Rates_[ServicePosition].size())
    Rates_[ServicePosition].resize(KindPosition + 1);
  return Rates_[ServicePosition][KindPosition];
}

double HealthTracker::failureShare(const KindRate &Rate) const {
  double Share = (Rate.Failed + PriorSamples * PriorFailureShare) / (Rate.Ended + PriorSamples);
  return std::clamp(Share, 0.0005, 0.8);
}

void HealthTracker::setStage(Record &Endpoint, HealthState Next) {
  auto Awaits = [](HealthState Now) {
    return Now == HealthState::Ejected || Now == HealthState::Unreachable;
  };
  AwaitingProbe_ += Awaits(Next) ? 1 : 0;
  AwaitingProbe_ -= Awaits(Endpoint.Now) ? 1 : 0;
  if (Next == HealthState::Ejected)
    ++EjectedByDataCentre_[Endpoint.DataCentre];
  if (Endpoint.Now == HealthState::Ejected)
    --EjectedByDataCentre_[Endpoint.DataCentre];
  if (Next == HealthState::Unreachable)
    ++UnreachableByDataCentre_[Endpoint.DataCentre];
  if (Endpoint.Now == HealthState::Unreachable)
    --UnreachableByDataCentre_[Endpoint.DataCentre];
  Endpoint.Now = Next;
}

bool HealthTracker::isCorrelatedFailure(const Record &Endpoint) const {
  return Endpoint.Now == HealthState::Unreachable &&
         UnreachableByDataCentre_[Endpoint.DataCentre] >
             CorrelatedFailureShare * HeldByDataCentre_[Endpoint.DataCentre];
}

void HealthTracker::succeeded(EndpointIndex Endpoint, ServiceIndex Service, KindIndex Kind) {
  auto &Rate = rate(Service, Kind);
  Rate.Ended += 1;
  if (Rate.Ended > MaximumSamples) {
    Rate.Ended /= 2;
    Rate.Failed /= 2;
  }
  auto &State = at(Endpoint);
  State.Score =
      std::max(0.0, State.Score + std::log((1 - BrokenFailureShare) / (1 - failureShare(Rate))));
  if (State.Now != HealthState::Probation || ++State.Successes < SuccessesPerProbationStep)
    return;
  State.Successes = 0;
  State.TaskLimit *= 2;
  if (State.TaskLimit <= MaximumProbationTasks)
    return;
  State.TaskLimit = Unbounded;
  setStage(State, HealthState::Healthy);
}

bool HealthTracker::clear(EndpointIndex Endpoint, double Weight) {
  auto &State = at(Endpoint);
  State.Score = std::max(0.0, State.Score - Weight);
  if (Weight <= 0 || State.Now != HealthState::Ejected || State.Score > EjectionScore)
    return false;
  setStage(State, HealthState::Healthy);
  State.TaskLimit = Unbounded;
  return true;
}

bool HealthTracker::recordJobFailure(EndpointIndex Endpoint, JobId Job, double Weight,
                                     std::vector<EndpointIndex> &Readmitted) {
  auto [Entry, IsNew] = FailedJobs_.try_emplace(Job);
  if (IsNew) {
    FailedJobOrder_.push_back(Job);
    if (FailedJobOrder_.size() > RememberedFailedJobs) {
      FailedJobs_.erase(FailedJobOrder_.front());
      FailedJobOrder_.pop_front();
    }
  }
  auto &Counted = Entry->second.Counted;
  for (const auto &[Known, Value] : Counted)
    if (Known == Endpoint)
      return false;
  Counted.emplace_back(Endpoint, Weight);
  if (Counted.size() < EndpointsOfBadJob)
    return true;
  for (auto &[Known, Value] : Counted) {
    // The weight of this failure has not been added yet, so nothing of it is taken back.
    if (Known != Endpoint && clear(Known, Value))
      Readmitted.push_back(Known);
    Value = 0;
  }
  return false;
}

std::vector<EndpointIndex> HealthTracker::failed(EndpointIndex Endpoint, JobId Job,
                                                 ServiceIndex Service, KindIndex Kind,
                                                 core::TimePoint Now) {
  std::vector<EndpointIndex> Readmitted;
  auto &Rate = rate(Service, Kind);
  auto &State = at(Endpoint);
  double Weight = std::log(BrokenFailureShare / failureShare(Rate));
  if (!recordJobFailure(Endpoint, Job, Weight, Readmitted))
    return Readmitted;
  // An endpoint under suspicion says nothing about the kind.
  if (State.Score < EjectionScore / 2) {
    Rate.Ended += 1;
    Rate.Failed += 1;
  }
  State.Score += Weight;
  State.Successes = 0;
  if (State.Now == HealthState::Probation ||
      (State.Now == HealthState::Healthy && State.Score > EjectionScore))
    eject(State, Now);
  return Readmitted;
}

bool HealthTracker::mayEject(std::uint32_t DataCentre) const {
  if (MaximumEjectedShare_ <= 0)
    return false;
  // One may always go: a process that holds fewer than five would otherwise keep a worker that
  // fails everything. Slots borrowed from peers replace it.
  double Bound = std::max(1.0, MaximumEjectedShare_ * HeldByDataCentre_[DataCentre]);
  return EjectedByDataCentre_[DataCentre] + 1 <= Bound;
}

void HealthTracker::recordExclusion(Record &Endpoint, core::TimePoint Now) {
  if (Now - Endpoint.LastExclusion > ExclusionMemory)
    Endpoint.RecentExclusions = 0;
  Endpoint.LastExclusion = Now;
  Endpoint.RecentExclusions = std::min(Endpoint.RecentExclusions + 1, MaximumDoublings);
}

void HealthTracker::eject(Record &Endpoint, core::TimePoint Now) {
  if (!mayEject(Endpoint.DataCentre)) {
    Endpoint.TaskLimit = std::min(Endpoint.TaskLimit, MaximumProbationTasks);
    return;
  }
  recordExclusion(Endpoint, Now);
  setStage(Endpoint, HealthState::Ejected);
  Endpoint.TaskLimit = 0;
  Endpoint.ReadmitAt = Now + FirstEjection * (1U << (Endpoint.RecentExclusions - 1));
  Endpoint.ProbeAt = Endpoint.ReadmitAt;
}

void HealthTracker::unreachable(EndpointIndex Endpoint, core::TimePoint Now) {
  auto &State = at(Endpoint);
  if (State.Now == HealthState::Unreachable || State.Now == HealthState::Ejected)
    return;
  recordExclusion(State, Now);
  setStage(State, HealthState::Unreachable);
  State.TaskLimit = 0;
  State.ReadmitAt = Now + FirstReconnect * (1U << (State.RecentExclusions - 1));
  State.ProbeAt = State.ReadmitAt;
}

void HealthTracker::answered(EndpointIndex Endpoint, core::TimePoint Now) {
  auto &State = at(Endpoint);
  if ((State.Now != HealthState::Ejected && State.Now != HealthState::Unreachable) ||
      Now < State.ReadmitAt)
    return;
  setStage(State, HealthState::Probation);
  State.Score = 0;
  State.Successes = 0;
  State.TaskLimit = 1;
}

std::uint32_t HealthTracker::taskLimit(EndpointIndex Endpoint) const {
  return Records_[static_cast<std::size_t>(Endpoint)].TaskLimit;
}

bool HealthTracker::isEjected(EndpointIndex Endpoint) const {
  return Records_[static_cast<std::size_t>(Endpoint)].Now == HealthState::Ejected;
}

bool HealthTracker::isOnProbation(EndpointIndex Endpoint) const {
  return Records_[static_cast<std::size_t>(Endpoint)].Now == HealthState::Probation;
}

std::optional<EndpointIndex> HealthTracker::nextProbe(core::TimePoint Now,
                                                      double MessageCostMilliseconds) {
  if (AwaitingProbe_ == 0)
    return std::nullopt;
  for (std::size_t Position = 0; Position < Records_.size(); ++Position) {
    auto &State = Records_[Position];
    if ((State.Now != HealthState::Ejected && State.Now != HealthState::Unreachable) ||
        Now < State.ProbeAt)
      continue;
    // The gain of a faster answer is a few task starts; a costly message is sent less often.
    auto Longest =
        std::chrono::duration_cast<core::Duration>(StatusTimeout * (1 + MessageCostMilliseconds));
    auto Soon = std::max(StatusTimeout, (Now - State.LastExclusion) / ProbeIntervalDivisor);
    State.ProbeAt = Now + (isCorrelatedFailure(State) ? std::min(Soon, Longest) : Longest);
    return static_cast<EndpointIndex>(Position);
  }
  return std::nullopt;
}

} // namespace cornellift::kernel
