#include "Kernel/Scheduling/HealthTracker.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Score above which an endpoint is ejected: a likelihood ratio of 100,000 to 1, as a natural
/// logarithm. At 1,000 to 1, one healthy endpoint would always be ejected in a fleet of 1,400.
constexpr double EjectionScore = 11.5;
constexpr double BrokenFailureShare = 0.9;
/// Prior failure share of a kind, and its weight in samples.
constexpr double PriorFailureShare = 0.005;
constexpr double PriorSamples = 100;
constexpr double MaximumSamples = 5000;
/// A job that failed on this many endpoints is considered faulty itself.
constexpr std::size_t EndpointsOfBadJob = 3;
constexpr std::size_t RememberedFailedJobs = 1024;
constexpr core::Duration FirstEjection = std::chrono::seconds(5);
constexpr core::Duration FirstReconnect = std::chrono::milliseconds(100);
constexpr std::uint32_t MaximumDoublings = 6;
/// The count of recent exclusions is reset after this time without another one.
constexpr core::Duration ExclusionMemory = std::chrono::minutes(2);
/// Successes at one task limit before the limit doubles, and the highest limit before the endpoint
/// counts as healthy again.
constexpr std::uint32_t SuccessesPerProbationStep = 3;
constexpr std::uint32_t MaximumProbationTasks = 8;
constexpr core::Duration StatusTimeout = std::chrono::seconds(1);
/// When more than this share of a data centre's endpoints becomes unreachable at once, a switch or
/// link has failed rather than single workers. The probe interval is then a fraction of the time
/// since the loss: a fixed interval of 41 s, at a message cost of 40 ms, left all endpoints idle
/// for 38 s after an outage of 6 s. Single workers that flap are better excluded for long.
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
    EjectedByDataCentre_[Endpoint.DataCentre] += Endpoint.Health == HealthState::Ejected ? 1 : 0;
    UnreachableByDataCentre_[Endpoint.DataCentre] +=
        Endpoint.Health == HealthState::Unreachable ? 1 : 0;
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

void HealthTracker::setHealthState(Record &Endpoint, HealthState Next) {
  auto Awaits = [](HealthState Health) {
    return Health == HealthState::Ejected || Health == HealthState::Unreachable;
  };
  AwaitingProbe_ += Awaits(Next) ? 1 : 0;
  AwaitingProbe_ -= Awaits(Endpoint.Health) ? 1 : 0;
  if (Next == HealthState::Ejected)
    ++EjectedByDataCentre_[Endpoint.DataCentre];
  if (Endpoint.Health == HealthState::Ejected)
    --EjectedByDataCentre_[Endpoint.DataCentre];
  if (Next == HealthState::Unreachable)
    ++UnreachableByDataCentre_[Endpoint.DataCentre];
  if (Endpoint.Health == HealthState::Unreachable)
    --UnreachableByDataCentre_[Endpoint.DataCentre];
  Endpoint.Health = Next;
}

bool HealthTracker::isCorrelatedFailure(const Record &Endpoint) const {
  return Endpoint.Health == HealthState::Unreachable &&
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
  if (State.Health != HealthState::Probation || ++State.Successes < SuccessesPerProbationStep)
    return;
  State.Successes = 0;
  State.TaskLimit *= 2;
  if (State.TaskLimit <= MaximumProbationTasks)
    return;
  State.TaskLimit = Unbounded;
  setHealthState(State, HealthState::Healthy);
}

bool HealthTracker::retractFailure(EndpointIndex Endpoint, double Weight) {
  auto &State = at(Endpoint);
  State.Score = std::max(0.0, State.Score - Weight);
  if (Weight <= 0 || State.Health != HealthState::Ejected || State.Score > EjectionScore)
    return false;
  setHealthState(State, HealthState::Healthy);
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
    // The weight of this failure has not been added yet, so there is nothing to retract.
    if (Known != Endpoint && retractFailure(Known, Value))
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
  // A failure on an endpoint that is already suspected is no evidence about the kind.
  if (State.Score < EjectionScore / 2) {
    Rate.Ended += 1;
    Rate.Failed += 1;
  }
  State.Score += Weight;
  State.Successes = 0;
  if (State.Health == HealthState::Probation ||
      (State.Health == HealthState::Healthy && State.Score > EjectionScore))
    eject(State, Now);
  return Readmitted;
}

bool HealthTracker::mayEject(std::uint32_t DataCentre) const {
  if (MaximumEjectedShare_ <= 0)
    return false;
  // One endpoint may always be ejected: otherwise, a process that holds fewer than five would keep
  // a worker that fails every task. Slots borrowed from peers replace it.
  double Bound = std::max(1.0, MaximumEjectedShare_ * HeldByDataCentre_[DataCentre]);
  return EjectedByDataCentre_[DataCentre] + 1 <= Bound;
}

void HealthTracker::exclude(Record &Endpoint, HealthState Next, core::Duration FirstWait,
                            core::TimePoint Now) {
  if (Now - Endpoint.LastExclusion > ExclusionMemory)
    Endpoint.RecentExclusions = 0;
  Endpoint.LastExclusion = Now;
  Endpoint.RecentExclusions = std::min(Endpoint.RecentExclusions + 1, MaximumDoublings);
  setHealthState(Endpoint, Next);
  Endpoint.TaskLimit = 0;
  Endpoint.ReadmitAt = Now + FirstWait * (1U << (Endpoint.RecentExclusions - 1));
  Endpoint.ProbeAt = Endpoint.ReadmitAt;
}

void HealthTracker::eject(Record &Endpoint, core::TimePoint Now) {
  if (!mayEject(Endpoint.DataCentre)) {
    Endpoint.TaskLimit = std::min(Endpoint.TaskLimit, MaximumProbationTasks);
    return;
  }
  exclude(Endpoint, HealthState::Ejected, FirstEjection, Now);
}

void HealthTracker::unreachable(EndpointIndex Endpoint, core::TimePoint Now) {
  auto &State = at(Endpoint);
  if (State.Health == HealthState::Unreachable || State.Health == HealthState::Ejected)
    return;
  exclude(State, HealthState::Unreachable, FirstReconnect, Now);
}

void HealthTracker::answered(EndpointIndex Endpoint, core::TimePoint Now) {
  auto &State = at(Endpoint);
  if ((State.Health != HealthState::Ejected && State.Health != HealthState::Unreachable) ||
      Now < State.ReadmitAt)
    return;
  setHealthState(State, HealthState::Probation);
  State.Score = 0;
  State.Successes = 0;
  State.TaskLimit = 1;
}

std::uint32_t HealthTracker::taskLimit(EndpointIndex Endpoint) const {
  return Records_[static_cast<std::size_t>(Endpoint)].TaskLimit;
}

bool HealthTracker::isEjected(EndpointIndex Endpoint) const {
  return Records_[static_cast<std::size_t>(Endpoint)].Health == HealthState::Ejected;
}

bool HealthTracker::isOnProbation(EndpointIndex Endpoint) const {
  return Records_[static_cast<std::size_t>(Endpoint)].Health == HealthState::Probation;
}

std::optional<EndpointIndex> HealthTracker::nextProbe(core::TimePoint Now,
                                                      double MessageCostMilliseconds) {
  if (AwaitingProbe_ == 0)
    return std::nullopt;
  for (std::size_t Position = 0; Position < Records_.size(); ++Position) {
    auto &State = Records_[Position];
    if ((State.Health != HealthState::Ejected && State.Health != HealthState::Unreachable) ||
        Now < State.ProbeAt)
      continue;
    // An earlier answer gains only a few task starts, so a costly message is sent less often.
    auto Longest =
        std::chrono::duration_cast<core::Duration>(StatusTimeout * (1 + MessageCostMilliseconds));
    auto Soon = std::max(StatusTimeout, (Now - State.LastExclusion) / ProbeIntervalDivisor);
    State.ProbeAt = Now + (isCorrelatedFailure(State) ? std::min(Soon, Longest) : Longest);
    return static_cast<EndpointIndex>(Position);
  }
  return std::nullopt;
}

} // namespace cornellift::kernel
