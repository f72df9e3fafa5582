#include "Tests/Pool/MixedLoad.h"

#include <algorithm>
#include <array>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;
using test::LoadKind;

namespace {

enum Kind : std::size_t { Short, Long, Small };

/// Eight tasks of 60 ms, four of 900 ms and two of 200 ms, each of which needs half of a worker.
std::vector<LoadKind> threeKinds(std::array<std::uint32_t, 3> Priorities) {
  return {{"short", Priorities[Short], 8, 60, 2, 0.2},
          {"long", Priorities[Long], 4, 900, 2, 0.3},
          {"small", Priorities[Small], 2, 200, 2, 0.5}};
}

test::SimulationSettings settings(std::size_t WorkersPerDataCentre) {
  test::SimulationSettings Settings;
  Settings.WorkersPerDataCentre = WorkersPerDataCentre;
  Settings.CallersComeAgain = false;
  return Settings;
}

test::LoadResult play(std::array<std::uint32_t, 3> Priorities, double Load, core::Duration Span,
                      std::size_t WorkersPerDataCentre = 30) {
  test::PoolSimulation Simulation(settings(WorkersPerDataCentre));
  Simulation.run(2s);
  auto Result = test::offer(Simulation, threeKinds(Priorities), Load, Span);
  BOOST_TEST_MESSAGE("load " << Load << ": " << Result.describe());
  BOOST_TEST(Simulation.violations().empty());
  return Result;
}

/// The widest tenth of a kind is to be in time at least this often, relative to the whole kind.
constexpr double LeastWidest = 0.8;

} // namespace

// Guards against overload that only long jobs and the widest tenth of a kind are refused for. By
// the latest start alone, at twice the room a tenth of the long jobs is in time and three quarters
// of the others, and of the widest tenth half as many as of its kind.
BOOST_AUTO_TEST_CASE(KindsOfEqualPriorityAreServedAlike) {
  for (double Load : {1.3, 2.0}) {
    auto Result = play({0, 0, 0}, Load, 20s);
    BOOST_TEST(Result.WorkInTime >= 0.9 / Load);
    for (auto Each : {Short, Long, Small}) {
      BOOST_TEST(Result.Kinds[Each].InTime >= 0.8 * Result.WorkInTime);
      BOOST_TEST(Result.Kinds[Each].InTime <= 1.25 * Result.WorkInTime);
      BOOST_TEST(Result.Kinds[Each].WidestInTime >= LeastWidest * Result.Kinds[Each].InTime);
    }
  }
}

// Guards against priorities that order nothing, and against starving the lowest one.
BOOST_AUTO_TEST_CASE(PrioritiesOrderKindsUnderOverload) {
  for (double Load : {1.3, 2.0}) {
    auto Result = play({0, 2, 1}, Load, 20s);
    BOOST_TEST(Result.WorkInTime >= 0.9 / Load);
    BOOST_TEST(Result.Kinds[Short].InTime >= 0.8);
    BOOST_TEST(Result.Kinds[Short].InTime > Result.Kinds[Small].InTime);
    BOOST_TEST(Result.Kinds[Small].InTime > Result.Kinds[Long].InTime);
    BOOST_TEST(Result.Kinds[Long].InTime >= 0.6 * Result.WorkInTime);
  }
}

// Guards against a burst in which no kind is served in time, and against its effects afterwards.
BOOST_AUTO_TEST_CASE(EachKindIsServedInABurstAndAllWorkAfterIt) {
  test::PoolSimulation Simulation(settings(12));
  Simulation.run(2s);
  auto Kinds = threeKinds({0, 0, 0});
  auto Burst = test::offer(Simulation, Kinds, 5, 20s);
  BOOST_TEST_MESSAGE("burst: " << Burst.describe());
  BOOST_TEST(Burst.WorkInTime >= 0.75 / 5);
  for (const auto &Each : Burst.Kinds)
    BOOST_TEST(Each.InTime >= 0.4 * Burst.WorkInTime);
  auto After = test::offer(Simulation, Kinds, 0.5, 5s);
  BOOST_TEST_MESSAGE("after: " << After.describe());
  BOOST_TEST(After.WorkInTime >= 0.95);
}

// Workers of 0.7 and 1.5 times the typical speed at 0.9 of their room. Guards against tasks with
// much time that fill the fast workers, while others that only these serve in time wait. By the
// latest start alone, 0.817 of the work is in time.
BOOST_AUTO_TEST_CASE(UnevenWorkersServeMostWorkInTime) {
  test::PoolSimulation Simulation(settings(12));
  Simulation.run(2s);
  std::vector<LoadKind> Kinds = {{"tight", 0, 1, 300, 2, 0.75, 1.0},
                                 {"slack", 0, 1, 150, 2, 0.25, 4}};
  auto Result = test::offer(Simulation, Kinds, 0.9, 20s);
  BOOST_TEST_MESSAGE("uneven: " << Result.describe());
  BOOST_TEST(Result.WorkInTime >= 0.83);
  BOOST_TEST(Result.Kinds[1].InTime >= 0.95);
}
