#include "Kernel/Pool/WorkerRatings.h"

#include "Kernel/Pool/JobKindRunTimes.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Polls already show whether a worker answers, so a health probe costs no message.
constexpr double FreeMessage = 0;

} // namespace

std::string WorkerRatings::machineTypeOf(const WorkerEntry &Entry) {
  auto Type = std::to_string(std::llround(Entry.Capacity.Processors));
  for (const auto &Label : Entry.Labels)
    Type += " " + Label;
  return Type;
}

void WorkerRatings::addOrUpdateWorker(EndpointIndex Worker, const WorkerEntry &Entry) {
  auto Position = static_cast<std::size_t>(Worker);
  if (Position >= Configuration_.Endpoints.size()) {
    Configuration_.Endpoints.resize(Position + 1);
    MachineTypes_.resize(Position + 1);
  }
  auto &Known = Configuration_.Endpoints[Position];
  auto Type = machineTypeOf(Entry);
  bool IsSame = Known.Name == Entry.Id && Known.DataCentre == Entry.DataCentre;
  if (IsSame && MachineTypes_[Position] == Type)
    return;
  bool HasReturnedAsAnother = IsSame;
  MachineTypes_[Position] = std::move(Type);
  Known.Name = Entry.Id;
  Known.DataCentre = Entry.DataCentre;
  Health_.configure(Configuration_);
  Health_.setHeld(Worker, true);
  Speeds_.resize(Configuration_.Endpoints.size());
  if (HasReturnedAsAnother)
    Speeds_.forget(Worker);
  // Workers of the same size are usually of the same machine type.
  auto Size = std::to_string(std::llround(Entry.Capacity.Processors));
  auto Group =
      GroupBySize_.emplace(Size, static_cast<std::uint32_t>(GroupBySize_.size())).first->second;
  Speeds_.assignGroup(Worker, Group);
}

double WorkerRatings::speed(EndpointIndex Worker) const {
  return std::exp(Speeds_.logSpeed(Worker));
}

void WorkerRatings::recordSuccess(EndpointIndex Worker, KindIndex Kind, double Ratio,
                                  double Deviation, core::TimePoint Now) {
  recordSuccess(Worker, Kind);
  Speeds_.learn(Worker, std::log(Ratio), Deviation, Now);
}

void WorkerRatings::recordSuccess(EndpointIndex Worker, KindIndex Kind) {
  Health_.succeeded(Worker, JobKindRunTimes::Service, Kind);
}

void WorkerRatings::recordFailure(EndpointIndex Worker, KindIndex Kind, JobKey Job,
                                  core::TimePoint Now) {
  JobId Identifier{{}, static_cast<std::uint64_t>(Job)};
  Health_.failed(Worker, Identifier, JobKindRunTimes::Service, Kind, Now);
}

void WorkerRatings::tick(core::TimePoint Now) {
  while (auto Due = Health_.nextProbe(Now, FreeMessage))
    Health_.answered(*Due, Now);
}

} // namespace cornellift::kernel
