#include "Tests/Pool/EvenLoad.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;
using test::shareInTime;
using test::submitEvenly;

// Eight workers with room for two such tasks each serve 40 jobs/s at most. Guards against waste at
// a load that leaves room.
BOOST_AUTO_TEST_CASE(HalfLoadIsServedInTime) {
  test::PoolSimulation Simulation({});
  Simulation.run(2s);
  BOOST_TEST(shareInTime(Simulation, submitEvenly(Simulation, 50ms, 200)) == 1.0);
}

// Guards against a data centre that is overloaded while the other one is idle.
BOOST_AUTO_TEST_CASE(LoadOfOneDataCentreIsSharedWithTheOther) {
  test::SimulationSettings Settings;
  Settings.CallersAt = 0;
  test::PoolSimulation Simulation(Settings);
  Simulation.run(2s);
  BOOST_TEST(shareInTime(Simulation, submitEvenly(Simulation, 33ms, 300)) >= 0.9);
}

// Guards against slow workers that get tasks although the others have room.
BOOST_AUTO_TEST_CASE(SlowWorkersAreAvoidedOnceTheyAreKnown) {
  test::PoolSimulation Simulation({});
  Simulation.run(2s);
  for (std::size_t Worker : {0U, 3U, 5U})
    Simulation.worker(Worker).faults().Slowdown = 8;
  submitEvenly(Simulation, 66ms, 150);
  BOOST_TEST(shareInTime(Simulation, submitEvenly(Simulation, 66ms, 150)) >= 0.9);
}
