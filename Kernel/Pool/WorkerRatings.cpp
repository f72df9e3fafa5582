#include "Kernel/Pool/WorkerRatings.h"

#include "Kernel/Pool/JobKindRunTimes.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

/// Looks show at once whether a worker answers, so asking for its standing costs nothing.
constexpr double FreeMessage = 0;

} // namespace

void WorkerRatings::addOrUpdateWorker(EndpointIndex Worker, const WorkerEntry &Entry) {
  auto Position = static_cast<std::size_t>(Worker);
  if (Position >= Configuration_.Endpoints.size())
    Configuration_.Endpoints.resize(Position + 1);
  auto &Known = Configuration_.Endpoints[Position];
  if (Known.Name == Entry.Id && Known.DataCentre == Entry.DataCentre)
    return;
  Known.Name = Entry.Id;
  Known.DataCentre = Entry.DataCentre;
  Health_.configure(Configuration_);
  Health_.setHeld(Worker, true);
  Speeds_.resize(Configuration_.Endpoints.size());
  // Workers of one size tend to be of one make.
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
  Health_.succeeded(Worker, JobKindRunTimes::Service, Kind);
  Speeds_.learn(Worker, std::log(Ratio), Deviation, Now);
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
