#include "Kernel/Pool/ClaimSchedule.h"
#include "Tests/Pool/ManagerFixture.h"
#include "Tests/Pool/PoolSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;
using kernel::ClaimSchedule;

namespace {

const core::TimePoint Start(1h);
const core::TimePoint Never(24h * 365);
constexpr std::size_t Workers = 120;
constexpr std::size_t LongJobs = 20;
constexpr kernel::PeerIndex Former{1};
/// A planned stop must not leave idle workers unused for longer, whatever the others run.
constexpr core::Duration HandOverTime = 1s;

/// One data centre, whose manager is lost or stops while the next one waits for a listing.
test::SimulationSettings settings() {
  test::SimulationSettings Settings;
  Settings.DataCentres = 1;
  Settings.WorkersPerDataCentre = Workers;
  Settings.FreshListingTime = 300ms;
  return Settings;
}

/// A takeover of workers that the given process releases.
kernel::BeginManaging takeover(kernel::PeerIndex ReleasedBy) {
  return {"ikeja", Never, ReleasedBy, Start};
}

std::size_t heldWorkers(const test::PoolSimulation &Simulation) {
  std::size_t Count = 0;
  for (std::size_t Worker = 0; Worker < Workers; ++Worker)
    Count += Simulation.holderCount(Worker);
  return Count;
}

} // namespace

// Guards against workers that stay idle until the last one is released, because their releases
// arrived before the successor had a fresh listing.
BOOST_AUTO_TEST_CASE(IdleWorkersChangeHandsWhileOthersAreBusy) {
  test::PoolSimulation Simulation(settings());
  Simulation.run(2s);
  BOOST_REQUIRE(heldWorkers(Simulation) == Workers);
  for (std::size_t Job = 0; Job < LongJobs; ++Job)
    Simulation.submit(2, 2000);
  Simulation.run(100ms);
  Simulation.stopGracefully(0, 10s);
  Simulation.run(HandOverTime);
  BOOST_TEST(heldWorkers(Simulation) >= Workers);
  Simulation.run(6s);
  BOOST_TEST(Simulation.completed() == LongJobs);
  BOOST_TEST(Simulation.violations().empty());
}

// Guards against refusals during a planned stop although idle workers could take the work.
BOOST_AUTO_TEST_CASE(WorkThatArrivesDuringAHandOverIsServed) {
  test::PoolSimulation Simulation(settings());
  Simulation.run(2s);
  std::size_t Sent = 0;
  // A third of the capacity: each worker runs two of these tasks at a time.
  auto Load = [&](core::Duration Span) {
    for (auto End = Simulation.now() + Span; Simulation.now() < End; Simulation.run(10ms), ++Sent)
      Simulation.submit(4, 200);
  };
  for (std::size_t Job = 0; Job < 10; ++Job, ++Sent)
    Simulation.submit(2, 2000);
  Load(500ms);
  Simulation.stopGracefully(0, 10s);
  Load(3s);
  Simulation.run(5s);
  BOOST_TEST(Simulation.count(kernel::JobVerdict::Rejected) == 0U);
  BOOST_TEST(Simulation.completed() == Sent);
}

// Guards against idle workers that nobody claims until the last run of the stopping manager ends,
// because the process that had claimed them is lost.
BOOST_AUTO_TEST_CASE(IdleWorkersChangeHandsTwiceWhileOthersAreBusy) {
  auto Settings = settings();
  Settings.VmsPerDataCentre = 3;
  Settings.CallerTimeout = 20s;
  test::PoolSimulation Simulation(Settings);
  Simulation.run(2s);
  BOOST_REQUIRE(heldWorkers(Simulation) == Workers);
  for (std::size_t Job = 0; Job < LongJobs; ++Job)
    Simulation.submit(2, 5000);
  Simulation.run(100ms);
  Simulation.stopGracefully(0, 20s);
  Simulation.run(HandOverTime);
  BOOST_REQUIRE(heldWorkers(Simulation) == Workers);
  Simulation.kill(1, 20s);
  Simulation.run(HandOverTime);
  BOOST_TEST(heldWorkers(Simulation) >= Workers);
  Simulation.run(20s);
  BOOST_TEST(Simulation.completed() == LongJobs);
  BOOST_TEST(Simulation.violations().empty());
}

// Guards against a released worker whose claim waits for the release of the others.
BOOST_AUTO_TEST_CASE(AReleasedWorkerIsClaimedBeforeTheOthers) {
  ClaimSchedule Claims;
  Claims.begin(takeover(Former));
  Claims.released(Former, "w-1");
  BOOST_TEST((Claims.claimAt("ikeja", "w-1") == Start));
  BOOST_TEST((Claims.claimAt("ikeja", "w-2") == Never));
  Claims.claimRemaining("ikeja", Start);
  BOOST_TEST((Claims.claimAt("ikeja", "w-2") == Start));
}

// Guards against the order in which a release and the start of the takeover arrive.
BOOST_AUTO_TEST_CASE(AReleaseBeforeTheTakeoverCounts) {
  ClaimSchedule Claims;
  Claims.released(Former, "w-1");
  Claims.begin(takeover(Former));
  BOOST_TEST((Claims.claimAt("ikeja", "w-1") == Start));
}

// Guards against claiming a worker that the next manager holds by a release of the time before.
BOOST_AUTO_TEST_CASE(AReleaseDoesNotCountForALaterTakeover) {
  ClaimSchedule Claims;
  Claims.begin(takeover(Former));
  Claims.released(Former, "w-1");
  Claims.end("ikeja");
  Claims.begin(takeover(Former));
  BOOST_TEST((Claims.claimAt("ikeja", "w-1") == Never));
}

// Guards against the same if another process took the workers over then.
BOOST_AUTO_TEST_CASE(AReleaseOfAnotherHandOverDoesNotCount) {
  constexpr kernel::PeerIndex Next{2};
  ClaimSchedule Claims;
  Claims.released(Former, "w-1");
  Claims.begin(takeover(Next));
  BOOST_TEST((Claims.claimAt("ikeja", "w-1") == Never));
  Claims.end("ikeja");
  Claims.forgetReleases(Former);
  Claims.begin(takeover(Former));
  BOOST_TEST((Claims.claimAt("ikeja", "w-1") == Never));
}

// Guards against a worker that is never claimed, because it had not been released when this process
// stopped managing its data centre the last time.
BOOST_AUTO_TEST_CASE(ADeferredClaimEndsWithTheTenure) {
  test::ManagerFixture World;
  World.Manager.fleet().deferClaim("w-1", World.Now + 24h, World.Now);
  World.list({"w-1"});
  BOOST_TEST(World.Manager.fleet().heldCount() == 0U);
  World.list({});
  World.list({"w-1"});
  BOOST_TEST(World.Manager.fleet().heldCount() == 1U);
}
