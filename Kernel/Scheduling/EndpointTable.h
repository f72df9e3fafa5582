#pragma once

#include "Kernel/KernelConfiguration.h"

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cornellift::kernel {

/// State of one endpoint that placement depends on.
struct EndpointState {
  std::uint32_t Slots = 0;     ///< Slots that this process may use.
  std::uint32_t Running = 0;   ///< Tasks that this process started and that have not ended.
  std::uint32_t TaskLimit = 0; ///< Limit on Running; zero while ejected or backed off.
  bool Reachable = true;
  bool Leaving = false;
  bool Drained = false;
  bool Remote = false;      ///< Represents many workers whose total capacity is unknown here.
  bool OnProbation = false; ///< Readmitted after an ejection or loss; its tasks may well fail.
  double LogSpeed = 0;
  Resources Capacity;
  Resources Committed; ///< Needs of the running tasks.
  std::uint32_t Group = 0;
  std::uint32_t Bucket = 0;
  bool IsFree = false;

  bool usable() const { return Reachable && !Leaving && !Drained && TaskLimit > 0; }
  bool fits(const Resources &Need) const;
};

/// Endpoints, indexed by service and speed while they have free slots, so that a placement examines
/// only a few of them regardless of their number.
class EndpointTable {
public:
  /// Relative speeds from 1/16 to 8 in sixteen buckets per octave; each bucket is 4.4% wide.
  static constexpr std::uint32_t BucketsPerOctave = 16;
  static constexpr std::uint32_t Buckets = 7 * BucketsPerOctave;
  static constexpr std::size_t BucketWords = (Buckets + 63) / 64;
  /// Speed in the middle of a bucket. Bucket 0 is the fastest.
  static double bucketSpeed(std::uint32_t Bucket);

  void configure(const KernelConfiguration &Configuration);

  std::size_t size() const { return Endpoints_.size(); }
  const EndpointState &at(EndpointIndex Endpoint) const {
    return Endpoints_[static_cast<std::size_t>(Endpoint)];
  }

  void setSlots(EndpointIndex Endpoint, std::uint32_t Slots);
  void setReachable(EndpointIndex Endpoint, bool Reachable);
  void setLeaving(EndpointIndex Endpoint, bool Leaving);
  void setTaskLimit(EndpointIndex Endpoint, std::uint32_t TaskLimit, bool OnProbation);
  void setLogSpeed(EndpointIndex Endpoint, double LogSpeed);
  void occupy(EndpointIndex Endpoint, const Resources &Need);
  void vacate(EndpointIndex Endpoint, const Resources &Need);

  bool offers(EndpointIndex Endpoint, ServiceIndex Service) const;

  /// Returns whether some worker that offers the service has the capacity for the task when it is
  /// idle.
  bool fitsSomeWorker(ServiceIndex Service, const Resources &Need) const;

  std::uint32_t freeSlots() const { return FreeSlots_; }
  std::uint32_t runningTasks() const { return RunningTasks_; }
  /// Sum of the relative speeds of all usable slots. Exactly zero when there are none.
  double totalSlotSpeed() const { return static_cast<double>(SlotSpeedUnits_) / SpeedUnits; }

  /// Calls Visit with each bucket before Last, fastest first, in which usable endpoints that offer
  /// the service have busy slots, and with the number of these slots.
  template <typename Visitor>
  void visitBusy(ServiceIndex Service, std::uint32_t Last, Visitor Visit) const {
    auto Groups = groupsOf(Service);
    for (std::size_t Word = 0; Word < BucketWords; ++Word) {
      std::uint64_t Occupied = 0;
      for (auto Group : Groups)
        Occupied |= Groups_[Group].BusyBuckets[Word];
      for (; Occupied != 0; Occupied &= Occupied - 1) {
        auto Bucket = static_cast<std::uint32_t>(
            Word * 64 + static_cast<std::size_t>(std::countr_zero(Occupied)));
        if (Bucket >= Last)
          return;
        std::uint32_t Busy = 0;
        for (auto Group : Groups)
          Busy += Groups_[Group].Busy[Bucket];
        Visit(Bucket, Busy);
      }
    }
  }

  /// Calls Visit with free endpoints that offer the service, fastest first, until it returns true.
  /// Returns whether it did. The order of endpoints within a bucket rotates, so that load spreads.
  template <typename Visitor> bool visitFree(ServiceIndex Service, Visitor Visit) const {
    auto Groups = groupsOf(Service);
    for (std::size_t Word = 0; Word < BucketWords; ++Word) {
      std::uint64_t Occupied = 0;
      for (auto Group : Groups)
        Occupied |= Groups_[Group].FreeBuckets[Word];
      for (; Occupied != 0; Occupied &= Occupied - 1) {
        auto Bucket = Word * 64 + static_cast<std::size_t>(std::countr_zero(Occupied));
        for (auto Group : Groups)
          if (visitBucket(Groups_[Group].Free[Bucket], Visit))
            return true;
      }
    }
    return false;
  }

private:
  struct FreeSet {
    std::vector<std::uint64_t> Words;
    std::uint32_t Count = 0;
    std::uint32_t Rotation = 0;
  };

  /// Endpoints that offer the same services.
  struct Group {
    std::vector<ServiceIndex> Services;
    std::vector<Resources> Capacities; ///< Distinct ones.
    std::array<FreeSet, Buckets> Free;
    std::array<std::uint32_t, Buckets> Busy{};
    std::array<std::uint64_t, BucketWords> FreeBuckets{}; ///< Bit per bucket with free endpoints.
    std::array<std::uint64_t, BucketWords> BusyBuckets{}; ///< Bit per bucket with busy slots.
  };

  template <typename Visitor> bool visitBucket(const FreeSet &Set, Visitor &Visit) const {
    if (Set.Count == 0)
      return false;
    auto WordCount = static_cast<std::uint32_t>(Set.Words.size());
    for (std::uint32_t Step = 0; Step < WordCount; ++Step) {
      auto Position = (Set.Rotation + Step) % WordCount;
      for (auto Bits = Set.Words[Position]; Bits != 0; Bits &= Bits - 1) {
        auto Bit = static_cast<std::uint32_t>(std::countr_zero(Bits));
        if (Visit(static_cast<EndpointIndex>(Position * 64 + Bit)))
          return true;
      }
    }
    return false;
  }

  static constexpr double SpeedUnits = 1 << 20;

  static std::int64_t slotSpeedUnits(const EndpointState &State);
  std::span<const std::uint32_t> groupsOf(ServiceIndex Service) const;
  EndpointState &beginUpdate(EndpointIndex Endpoint);
  /// Removes the endpoint's share from all totals; finishUpdate() adds it again after a change.
  void removeFromTotals(const EndpointState &State, std::uint32_t Position);
  void finishUpdate(EndpointState &State, std::uint32_t Position);
  std::uint32_t groupFor(const EndpointConfiguration &Endpoint);
  static void markBucket(Group &Changed, std::uint32_t Bucket);

  std::vector<EndpointState> Endpoints_;
  std::vector<Group> Groups_;
  std::vector<std::vector<std::uint32_t>> GroupsOfService_;
  std::uint32_t FreeSlots_ = 0;
  std::uint32_t RunningTasks_ = 0;
  /// Fixed point, in units of 1/SpeedUnits. A floating-point sum kept a rounding error of 1e-16
  /// after the last slot was removed, which made the computed backlog appear endless.
  std::int64_t SlotSpeedUnits_ = 0;
};

} // namespace cornellift::kernel
