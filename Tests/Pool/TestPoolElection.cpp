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

/// The election in a process of ikeja that has just started and knows that others exist.
struct Started {
  Started() : Election(candidate("ikeja-1", "ikeja"), Now) {
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

// Guards against releasing workers under the load of a recovery: after a power loss of all VMs, the
// first VM to start managed the workers of all data centres, and 1.5 s later released those of the
// other data centres.
BOOST_AUTO_TEST_CASE(AStartingProcessTakesItsOwnDataCentreFirst) {
  Started World;
  World.Election.peerChanged(PeerIndex{1}, candidate("ikeja-2", "ikeja"), World.Now);
  World.pass(300ms);
  BOOST_TEST(World.manages("ikeja"));
  BOOST_TEST(!World.manages("yaba"));
  World.Election.peerChanged(PeerIndex{2}, candidate("yaba-1", "yaba"), World.Now);
  World.pass(2s);
  BOOST_TEST(!World.manages("yaba"));
}

// Guards against workers without a manager while all VMs of their data centre are down.
BOOST_AUTO_TEST_CASE(ADataCentreWithoutVmsIsTakenByAnotherOne) {
  Started World;
  World.Election.peerChanged(PeerIndex{1}, candidate("ikeja-2", "ikeja"), World.Now);
  World.pass(300ms);
  World.pass(1s);
  BOOST_TEST(World.manages("yaba"));
}

// Guards against a process that is cut off and claims the workers of processes that still serve.
BOOST_AUTO_TEST_CASE(AProcessThatReachesNobodyWaits) {
  Started World;
  World.pass(1s);
  BOOST_TEST(World.Election.managed().empty());
  World.pass(2500ms);
  BOOST_TEST(World.manages("ikeja"));
}

// Guards against claiming workers while leases of a lost manager may still be valid.
BOOST_AUTO_TEST_CASE(WorkersOfASilentManagerAreClaimedAfterItsLeases) {
  Started World;
  auto Manager = candidate("yaba-1", "yaba");
  Manager.Managed = {"yaba"};
  World.Election.peerChanged(PeerIndex{1}, Manager, World.Now);
  World.Election.peerChanged(PeerIndex{2}, candidate("ikeja-2", "ikeja"), World.Now);
  World.pass(2s);
  BOOST_TEST(!World.manages("yaba"));
  World.Election.peerLost(PeerIndex{1}, false, World.Now);
  auto Changes = World.pass(0ms);
  BOOST_REQUIRE(Changes.Begun.size() == 1U);
  BOOST_TEST((Changes.Begun[0].ClaimAt - World.Now >= 300ms));
}

// Guards against two managers that both keep managing the same workers.
BOOST_AUTO_TEST_CASE(ThePeerThatRanksFirstKeepsItsDataCentre) {
  Started World;
  World.Election.peerChanged(PeerIndex{1}, candidate("ikeja-2", "ikeja"), World.Now);
  World.pass(300ms);
  BOOST_REQUIRE(World.manages("ikeja"));
  auto Larger = candidate("ikeja-0", "ikeja");
  Larger.Managed = {"ikeja"};
  World.Election.peerChanged(PeerIndex{2}, Larger, World.Now);
  auto Changes = World.pass(10ms);
  BOOST_TEST(!World.manages("ikeja"));
  BOOST_REQUIRE(Changes.Stopped.size() == 1U);
  BOOST_TEST((Changes.Stopped[0].Successor == PeerIndex{2}));
}
