#include "Kernel/Pool/PoolElection.h"

#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

using namespace cornellift::kernel;
using namespace cornellift;
using namespace std::chrono_literals;

namespace {

CandidateState candidate(const std::string &Vm, const std::string &DataCentre) {
  CandidateState State;
  State.Vm = Vm;
  State.DataCentre = DataCentre;
  State.Weight = 250;
  State.IsReady = true;
  return State;
}

/// A process of ikeja that has started, and knows that others exist.
struct ElectionFixture {
  ElectionFixture() : Election(candidate("ikeja-1", "ikeja"), Now) {
    Election.setDataCentres({"ikeja", "yaba"});
    Election.setReady(true);
    Election.setOthersExist(true);
  }

  bool manages(const std::string &DataCentre) { return Election.managed().contains(DataCentre); }

  ElectionChanges pass(core::Duration Span) {
    Now += Span;
    return Election.evaluate(Now);
  }

  core::TimePoint Now = core::TimePoint(1h);
  PoolElection Election;
};

} // namespace

// Guards against a hand-over under the full load of a recovery: after all VMs lost power, the first
// one to start took the workers of all data centres, and 1.5 s later let go of those of the others.
BOOST_AUTO_TEST_CASE(AStartingProcessTakesItsOwnDataCentreFirst) {
  ElectionFixture Fixture;
  Fixture.Election.peerChanged(PeerIndex{1}, candidate("ikeja-2", "ikeja"), Fixture.Now);
  Fixture.pass(300ms);
  BOOST_TEST(Fixture.manages("ikeja"));
  BOOST_TEST(!Fixture.manages("yaba"));
  Fixture.Election.peerChanged(PeerIndex{2}, candidate("yaba-1", "yaba"), Fixture.Now);
  Fixture.pass(2s);
  BOOST_TEST(!Fixture.manages("yaba"));
}

// Guards against workers that nobody manages while the VMs of their data centre are gone.
BOOST_AUTO_TEST_CASE(ADataCentreWithoutVmsIsTakenByAnotherOne) {
  ElectionFixture Fixture;
  Fixture.Election.peerChanged(PeerIndex{1}, candidate("ikeja-2", "ikeja"), Fixture.Now);
  Fixture.pass(300ms);
  Fixture.pass(1s);
  BOOST_TEST(Fixture.manages("yaba"));
}

// Guards against a process that is cut off and claims all workers from those who serve.
BOOST_AUTO_TEST_CASE(AProcessThatReachesNobodyWaits) {
  ElectionFixture Fixture;
  Fixture.pass(1s);
  BOOST_TEST(Fixture.Election.managed().empty());
  Fixture.pass(2500ms);
  BOOST_TEST(Fixture.manages("ikeja"));
}

// Guards against a claim while leases of a silent manager may still be valid.
BOOST_AUTO_TEST_CASE(WorkersOfASilentManagerAreClaimedAfterItsLeases) {
  ElectionFixture Fixture;
  auto Manager = candidate("yaba-1", "yaba");
  Manager.Managed = {"yaba"};
  Fixture.Election.peerChanged(PeerIndex{1}, Manager, Fixture.Now);
  Fixture.Election.peerChanged(PeerIndex{2}, candidate("ikeja-2", "ikeja"), Fixture.Now);
  Fixture.pass(2s);
  BOOST_TEST(!Fixture.manages("yaba"));
  Fixture.Election.peerLost(PeerIndex{1}, false, Fixture.Now);
  auto Changes = Fixture.pass(0ms);
  BOOST_REQUIRE(Changes.Begun.size() == 1U);
  BOOST_TEST((Changes.Begun[0].ClaimAt - Fixture.Now >= 300ms));
}

// Guards against workers that two managers believe to be theirs.
BOOST_AUTO_TEST_CASE(ThePeerThatRanksFirstKeepsItsDataCentre) {
  ElectionFixture Fixture;
  Fixture.Election.peerChanged(PeerIndex{1}, candidate("ikeja-2", "ikeja"), Fixture.Now);
  Fixture.pass(300ms);
  BOOST_REQUIRE(Fixture.manages("ikeja"));
  auto Larger = candidate("ikeja-0", "ikeja");
  Larger.Managed = {"ikeja"};
  Fixture.Election.peerChanged(PeerIndex{2}, Larger, Fixture.Now);
  auto Changes = Fixture.pass(10ms);
  BOOST_TEST(!Fixture.manages("ikeja"));
  BOOST_REQUIRE(Changes.Stopped.size() == 1U);
  BOOST_TEST((Changes.Stopped[0].Successor == PeerIndex{2}));
}
