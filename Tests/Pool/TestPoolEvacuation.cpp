// Evacuated data centres on a virtual clock. The bound is the platform's: five seconds after the
// store has acknowledged the request nothing more is started there.
#include "Tests/Pool/EvenLoad.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;
using test::PoolSimulation;

namespace {

constexpr core::Duration Bound = 5s;

/// Submits jobs of two tasks at that interval for the given time.
std::vector<kernel::JobKey> submitFor(PoolSimulation &Simulation, core::Duration Span,
                                      core::Duration Interval = 100ms) {
  std::vector<kernel::JobKey> Keys;
  for (auto End = Simulation.now() + Span; Simulation.now() < End;) {
    Keys.push_back(Simulation.submit(2, test::RunMilliseconds, "", test::TaskCores));
    Simulation.run(Interval);
  }
  return Keys;
}

/// A deployment with load whose first data centre is evacuated while the test injects faults.
struct Evacuation {
  Evacuation() : Simulation(test::SimulationSettings{}) {
    Simulation.run(2s);
    submitFor(Simulation, 2s);
    BOOST_TEST(Simulation.startsSince(0, core::TimePoint()) > 0U);
    BeganAt = Simulation.now();
    Simulation.setEvacuated(0, true);
  }

  /// Checks that nothing starts later than the bound, and that all is used again afterwards.
  void finish() {
    submitFor(Simulation, std::max(core::Duration(0), BeganAt + 2 * Bound - Simulation.now()));
    BOOST_TEST(Simulation.startsSince(0, BeganAt + Bound) == 0U);
    Simulation.setEvacuated(0, false);
    auto RestoredAt = Simulation.now();
    submitFor(Simulation, Bound, 50ms);
    BOOST_TEST(Simulation.startsSince(0, RestoredAt) > 0U);
    Simulation.run(5s);
    BOOST_TEST(Simulation.violations().empty());
  }

  PoolSimulation Simulation;
  core::TimePoint BeganAt;
};

} // namespace

// Eight slots of the mean speed 1.1 remain, for 22 such jobs a second. Guards against work that
// waits for the evacuated workers while others could do it.
BOOST_AUTO_TEST_CASE(LoadMovesToTheOtherDataCentre) {
  Evacuation Case;
  submitFor(Case.Simulation, 2s, 57ms);
  auto Keys = submitFor(Case.Simulation, 8s, 57ms);
  Case.Simulation.run(5s);
  BOOST_TEST(test::shareInTime(Case.Simulation, Keys) >= 0.9);
  Case.finish();
}

// Guards against a successor that does not know of the evacuation.
BOOST_AUTO_TEST_CASE(HoldsWhenTheManagerIsLost) {
  Evacuation Case;
  submitFor(Case.Simulation, 2s);
  Case.Simulation.kill(0, 3s);
  submitFor(Case.Simulation, 1s);
  Case.Simulation.stopGracefully(1, 2s);
  Case.finish();
}

// Guards against processes that start tasks before they have read the operators' keys.
BOOST_AUTO_TEST_CASE(HoldsWhenAllVmsRestart) {
  Evacuation Case;
  submitFor(Case.Simulation, 6s);
  for (std::size_t Vm = 0; Vm < Case.Simulation.vmCount(); ++Vm) {
    Case.Simulation.kill(Vm, 500ms);
    Case.Simulation.cutStore(Vm, 1500ms);
  }
  Case.finish();
}

// Guards against a data centre whose VMs the store turns away while it serves the others.
BOOST_AUTO_TEST_CASE(PeersTellWhatTheStoreDoesNot) {
  test::SimulationSettings Settings;
  PoolSimulation Simulation(Settings);
  Simulation.run(2s);
  Simulation.cutStore(0, 30s);
  Simulation.cutStore(1, 30s);
  auto EvacuatedAt = Simulation.now();
  Simulation.setEvacuated(0, true);
  submitFor(Simulation, 2 * Bound);
  BOOST_TEST(Simulation.startsSince(0, EvacuatedAt + Bound) == 0U);
  auto RestoredAt = Simulation.now();
  Simulation.setEvacuated(0, false);
  submitFor(Simulation, Bound, 50ms);
  BOOST_TEST(Simulation.startsSince(0, RestoredAt) > 0U);
}

// Guards against a removal that a process which has missed it undoes when its links are back.
BOOST_AUTO_TEST_CASE(AFormerStateDoesNotReturn) {
  Evacuation Case;
  submitFor(Case.Simulation, Bound);
  for (std::size_t Other : {0U, 1U, 2U})
    Case.Simulation.cutVms(Other, 3, 4s);
  Case.Simulation.cutStore(3, 20s);
  submitFor(Case.Simulation, 2s);
  Case.Simulation.setEvacuated(0, false);
  submitFor(Case.Simulation, 4s);
  auto HealedAt = Case.Simulation.now();
  submitFor(Case.Simulation, Bound, 50ms);
  BOOST_TEST(Case.Simulation.startsSince(0, HealedAt) > 0U);
}

// Guards against a data centre that both sides of a cut manage.
BOOST_AUTO_TEST_CASE(HoldsWhenDataCentresAreCutFromEachOther) {
  Evacuation Case;
  for (std::size_t One : {0U, 1U})
    for (std::size_t Other : {2U, 3U})
      Case.Simulation.cutVms(One, Other, 4s);
  submitFor(Case.Simulation, 6s);
  Case.finish();
}

// Guards against callers that wait for what nothing but evacuated workers could do.
BOOST_AUTO_TEST_CASE(WorkWithoutOtherWorkersIsRefusedAtOnce) {
  PoolSimulation Simulation(test::SimulationSettings{});
  Simulation.run(2s);
  Simulation.setEvacuated(0, true);
  Simulation.setEvacuated(1, true);
  Simulation.run(2s);
  auto Key = Simulation.submit(2, test::RunMilliseconds);
  Simulation.run(100ms);
  auto Answer = Simulation.answerOf(Key);
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST((Answer->Verdict == kernel::JobVerdict::Rejected));
  BOOST_TEST(Answer->RetryAfterMilliseconds > 0);
}

// Guards against callers that wait until their deadline because their jobs came before the manager
// knew the workers of the others.
BOOST_AUTO_TEST_CASE(WorkThatCameDuringARestartIsRefusedSoon) {
  test::SimulationSettings Settings;
  Settings.CallerTimeout = 30s;
  PoolSimulation Simulation(Settings);
  Simulation.run(2s);
  Simulation.setEvacuated(0, true);
  Simulation.setEvacuated(1, true);
  Simulation.run(2s);
  for (std::size_t Vm = 0; Vm < Simulation.vmCount(); ++Vm)
    Simulation.kill(Vm, 500ms);
  std::vector<kernel::JobKey> Keys;
  for (auto End = Simulation.now() + 3s; Simulation.now() < End; Simulation.run(100ms))
    Keys.push_back(Simulation.submit(1, 5000));
  Simulation.run(2s);
  for (auto Key : Keys) {
    auto Answer = Simulation.answerOf(Key);
    BOOST_REQUIRE(Answer.has_value());
    BOOST_TEST((Answer->Verdict == kernel::JobVerdict::Rejected));
  }
}
