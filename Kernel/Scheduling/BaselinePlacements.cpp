#include "Kernel/Scheduling/PlacementPolicy.h"

#include <algorithm>
#include <random>

namespace cornellift::kernel {
namespace {

/// Common part of the baselines: a choice among the free endpoints that fit. They know no speeds.
class BaselinePlacement : public PlacementPolicy {
public:
  explicit BaselinePlacement(std::uint64_t Seed) : Random_(Seed) {}

  std::optional<EndpointIndex> choose(const PlacementRequest &Request,
                                      const EndpointTable &Endpoints) final {
    Free_.clear();
    Endpoints.visitFree(Request.Service, [&](EndpointIndex Endpoint) {
      if (Request.accepts(Endpoints.at(Endpoint)))
        Free_.push_back(Endpoint);
      return false;
    });
    if (Free_.empty())
      return std::nullopt;
    return pick(Free_, Endpoints);
  }

protected:
  virtual EndpointIndex pick(std::span<const EndpointIndex> Free,
                             const EndpointTable &Endpoints) = 0;

  EndpointIndex random(std::span<const EndpointIndex> Free) {
    return Free[Random_() % Free.size()];
  }

  static EndpointIndex lessLoaded(EndpointIndex Left, EndpointIndex Right,
                                  const EndpointTable &Endpoints) {
    return Endpoints.at(Right).Running < Endpoints.at(Left).Running ? Right : Left;
  }

private:
  std::mt19937_64 Random_;
  std::vector<EndpointIndex> Free_;
};

/// The first one in the configuration's order, as the first version of the scheduler had it.
class FirstFreePlacement final : public BaselinePlacement {
public:
  using BaselinePlacement::BaselinePlacement;

protected:
  EndpointIndex pick(std::span<const EndpointIndex> Free,
                     const EndpointTable & /*Endpoints*/) override {
    return *std::min_element(Free.begin(), Free.end());
  }
};

class RandomPlacement final : public BaselinePlacement {
public:
  using BaselinePlacement::BaselinePlacement;

protected:
  EndpointIndex pick(std::span<const EndpointIndex> Free,
                     const EndpointTable & /*Endpoints*/) override {
    return random(Free);
  }
};

/// The first free endpoint behind the last one that was taken.
class RoundRobinPlacement final : public BaselinePlacement {
public:
  using BaselinePlacement::BaselinePlacement;

protected:
  EndpointIndex pick(std::span<const EndpointIndex> Free,
                     const EndpointTable & /*Endpoints*/) override {
    auto Next = std::min_element(Free.begin(), Free.end(), [this](auto Left, auto Right) {
      return distance(Left) < distance(Right);
    });
    Last_ = static_cast<std::uint32_t>(*Next);
    return *Next;
  }

private:
  std::uint32_t distance(EndpointIndex Endpoint) const {
    return static_cast<std::uint32_t>(Endpoint) - Last_ - 1; // Wraps around on purpose.
  }

  std::uint32_t Last_ = 0;
};

class TwoChoicesPlacement final : public BaselinePlacement {
public:
  using BaselinePlacement::BaselinePlacement;

protected:
  EndpointIndex pick(std::span<const EndpointIndex> Free, const EndpointTable &Endpoints) override {
    auto First = random(Free);
    return lessLoaded(First, random(Free), Endpoints);
  }
};

class LeastConnectionsPlacement final : public BaselinePlacement {
public:
  using BaselinePlacement::BaselinePlacement;

protected:
  EndpointIndex pick(std::span<const EndpointIndex> Free, const EndpointTable &Endpoints) override {
    auto Best = random(Free);
    for (auto Endpoint : Free)
      Best = lessLoaded(Best, Endpoint, Endpoints);
    return Best;
  }
};

const PlacementRegistration<FirstFreePlacement> RegisteredFirst("first-free");
const PlacementRegistration<RandomPlacement> RegisteredRandom("random");
const PlacementRegistration<RoundRobinPlacement> RegisteredRoundRobin("round-robin");
const PlacementRegistration<TwoChoicesPlacement> RegisteredTwoChoices("two-choices");
const PlacementRegistration<LeastConnectionsPlacement> RegisteredLeast("least-connections");

} // namespace
} // namespace cornellift::kernel
