#include "Kernel/Scheduling/EndpointTable.h"

#include <algorithm>
#include <cmath>

namespace cornellift::kernel {
namespace {

constexpr double FastestLogTwo = 3;
/// Declared capacities are nominal; a sum of rounded needs may exceed them by this much.
constexpr double CapacityTolerance = 1e-6;

std::uint32_t bucketOf(double LogSpeed) {
  double Octaves = FastestLogTwo - LogSpeed / std::log(2.0);
  double Bucket = std::floor(Octaves * EndpointTable::BucketsPerOctave);
  return static_cast<std::uint32_t>(std::clamp(Bucket, 0.0, EndpointTable::Buckets - 1.0));
}

bool hasRoom(double Capacity, double Committed, double Need) {
  return Need <= 0 || Committed + Need <= Capacity + CapacityTolerance;
}

bool sameResources(const Resources &Left, const Resources &Right) {
  return Left.Processors == Right.Processors && Left.MemoryMegabytes == Right.MemoryMegabytes &&
         Left.Accelerators == Right.Accelerators;
}

bool fitsIn(const Resources &Capacity, const Resources &Committed, const Resources &Need) {
  return hasRoom(Capacity.Processors, Committed.Processors, Need.Processors) &&
         hasRoom(Capacity.MemoryMegabytes, Committed.MemoryMegabytes, Need.MemoryMegabytes) &&
         hasRoom(Capacity.Accelerators, Committed.Accelerators, Need.Accelerators);
}

} // namespace

bool EndpointState::fits(const Resources &Need) const {
  return fitsIn(Capacity, Remote ? Resources{} : Committed, Need);
}

double EndpointTable::bucketSpeed(std::uint32_t Bucket) {
  static const auto Speeds = [] {
    std::array<double, Buckets> Result{};
    for (std::uint32_t Index = 0; Index < Buckets; ++Index)
      Result[Index] = std::exp2(FastestLogTwo - (Index + 0.5) / BucketsPerOctave);
    return Result;
  }();
  return Speeds[Bucket];
}

std::uint32_t EndpointTable::groupFor(const EndpointConfiguration &Endpoint) {
  auto Services = Endpoint.Services;
  std::sort(Services.begin(), Services.end());
  for (std::uint32_t Index = 0; Index < Groups_.size(); ++Index)
    if (Groups_[Index].Services == Services)
      return Index;
  Groups_.emplace_back().Services = Services;
  auto Index = static_cast<std::uint32_t>(Groups_.size() - 1);
  for (auto Service : Services) {
    auto Position = static_cast<std::size_t>(Service);
    if (Position >= GroupsOfService_.size())
      GroupsOfService_.resize(Position + 1);
    GroupsOfService_[Position].push_back(Index);
  }
  return Index;
}

void EndpointTable::configure(const KernelConfiguration &Configuration) {
  Groups_.clear();
  GroupsOfService_.clear();
  FreeSlots_ = RunningTasks_ = 0;
  SlotSpeedUnits_ = 0;
  auto Count = std::max(Endpoints_.size(), Configuration.Endpoints.size());
  Endpoints_.resize(Count);
  for (std::uint32_t Position = 0; Position < Count; ++Position) {
    auto &State = Endpoints_[Position];
    State.IsFree = false;
    // An endpoint that is no longer configured keeps its running tasks and gets no new ones.
    if (Position >= Configuration.Endpoints.size()) {
      State.Drained = true;
      State.Group = groupFor({});
    } else {
      const auto &Endpoint = Configuration.Endpoints[Position];
      State.Capacity = Endpoint.Capacity;
      State.Drained = Endpoint.Drained;
      State.Remote = Endpoint.Remote;
      State.Group = groupFor(Endpoint);
    }
    auto &Capacities = Groups_[State.Group].Capacities;
    if (std::none_of(Capacities.begin(), Capacities.end(),
                     [&](const Resources &Known) { return sameResources(Known, State.Capacity); }))
      Capacities.push_back(State.Capacity);
    finishUpdate(State, Position);
  }
}

std::int64_t EndpointTable::slotSpeedUnits(const EndpointState &State) {
  return std::llround(State.Slots * std::exp(State.LogSpeed) * SpeedUnits);
}

EndpointState &EndpointTable::beginUpdate(EndpointIndex Endpoint) {
  auto Position = static_cast<std::uint32_t>(Endpoint);
  auto &State = Endpoints_[Position];
  removeFromTotals(State, Position);
  return State;
}

void EndpointTable::removeFromTotals(const EndpointState &State, std::uint32_t Position) {
  auto &Group = Groups_[State.Group];
  RunningTasks_ -= State.Running;
  if (!State.usable())
    return;
  SlotSpeedUnits_ -= slotSpeedUnits(State);
  Group.Busy[State.Bucket] -= State.Running;
  if (State.IsFree) {
    auto &Set = Group.Free[State.Bucket];
    Set.Words[Position / 64] &= ~(1ULL << (Position % 64));
    --Set.Count;
    FreeSlots_ -= std::min(State.Slots, State.TaskLimit) - State.Running;
  }
  markBucket(Group, State.Bucket);
}

void EndpointTable::finishUpdate(EndpointState &State, std::uint32_t Position) {
  auto &Group = Groups_[State.Group];
  RunningTasks_ += State.Running;
  State.Bucket = bucketOf(State.LogSpeed);
  State.IsFree = false;
  if (!State.usable())
    return;
  SlotSpeedUnits_ += slotSpeedUnits(State);
  Group.Busy[State.Bucket] += State.Running;
  auto Usable = std::min(State.Slots, State.TaskLimit);
  State.IsFree = State.Running < Usable;
  if (State.IsFree) {
    auto &Set = Group.Free[State.Bucket];
    if (Set.Words.size() <= Position / 64)
      Set.Words.resize(Endpoints_.size() / 64 + 1);
    Set.Words[Position / 64] |= 1ULL << (Position % 64);
    ++Set.Count;
    FreeSlots_ += Usable - State.Running;
  }
  markBucket(Group, State.Bucket);
}

void EndpointTable::setSlots(EndpointIndex Endpoint, std::uint32_t Slots) {
  auto &State = beginUpdate(Endpoint);
  State.Slots = Slots;
  finishUpdate(State, static_cast<std::uint32_t>(Endpoint));
}

void EndpointTable::setReachable(EndpointIndex Endpoint, bool Reachable) {
  auto &State = beginUpdate(Endpoint);
  State.Reachable = Reachable;
  finishUpdate(State, static_cast<std::uint32_t>(Endpoint));
}

void EndpointTable::setLeaving(EndpointIndex Endpoint, bool Leaving) {
  auto &State = beginUpdate(Endpoint);
  State.Leaving = Leaving;
  finishUpdate(State, static_cast<std::uint32_t>(Endpoint));
}

void EndpointTable::setTaskLimit(EndpointIndex Endpoint, std::uint32_t TaskLimit,
                                 bool OnProbation) {
  if (at(Endpoint).TaskLimit == TaskLimit && at(Endpoint).OnProbation == OnProbation)
    return;
  auto &State = beginUpdate(Endpoint);
  State.TaskLimit = TaskLimit;
  State.OnProbation = OnProbation;
  finishUpdate(State, static_cast<std::uint32_t>(Endpoint));
}

void EndpointTable::setLogSpeed(EndpointIndex Endpoint, double LogSpeed) {
  auto &State = beginUpdate(Endpoint);
  State.LogSpeed = LogSpeed;
  finishUpdate(State, static_cast<std::uint32_t>(Endpoint));
}

void EndpointTable::occupy(EndpointIndex Endpoint, const Resources &Need) {
  auto &State = beginUpdate(Endpoint);
  ++State.Running;
  State.Committed.Processors += Need.Processors;
  State.Committed.MemoryMegabytes += Need.MemoryMegabytes;
  State.Committed.Accelerators += Need.Accelerators;
  // The next search of this bucket starts behind this endpoint's word.
  auto &Set = Groups_[State.Group].Free[State.Bucket];
  if (!Set.Words.empty())
    Set.Rotation = (Set.Rotation + 1) % static_cast<std::uint32_t>(Set.Words.size());
  finishUpdate(State, static_cast<std::uint32_t>(Endpoint));
}

void EndpointTable::vacate(EndpointIndex Endpoint, const Resources &Need) {
  auto &State = beginUpdate(Endpoint);
  if (State.Running > 0)
    --State.Running;
  if (State.Running == 0) {
    State.Committed = {}; // Also clears rounding errors of the sums.
  } else {
    State.Committed.Processors -= Need.Processors;
    State.Committed.MemoryMegabytes -= Need.MemoryMegabytes;
    State.Committed.Accelerators -= Need.Accelerators;
  }
  finishUpdate(State, static_cast<std::uint32_t>(Endpoint));
}

std::span<const std::uint32_t> EndpointTable::groupsOf(ServiceIndex Service) const {
  auto Position = static_cast<std::size_t>(Service);
  if (Position >= GroupsOfService_.size())
    return {};
  return GroupsOfService_[Position];
}

bool EndpointTable::offers(EndpointIndex Endpoint, ServiceIndex Service) const {
  auto Groups = groupsOf(Service);
  return std::find(Groups.begin(), Groups.end(), at(Endpoint).Group) != Groups.end();
}

bool EndpointTable::fitsSomeWorker(ServiceIndex Service, const Resources &Need) const {
  for (auto Group : groupsOf(Service))
    for (const auto &Capacity : Groups_[Group].Capacities)
      if (fitsIn(Capacity, {}, Need))
        return true;
  return false;
}

void EndpointTable::markBucket(Group &Changed, std::uint32_t Bucket) {
  auto Mark = [Bucket](std::uint64_t &Word, bool Holds) {
    auto Bit = 1ULL << (Bucket % 64);
    Word = Holds ? Word | Bit : Word & ~Bit;
  };
  Mark(Changed.FreeBuckets[Bucket / 64], Changed.Free[Bucket].Count > 0);
  Mark(Changed.BusyBuckets[Bucket / 64], Changed.Busy[Bucket] > 0);
}

} // namespace cornellift::kernel
