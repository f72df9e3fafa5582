#include "Kernel/Pool/HubChoice.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift::kernel;

namespace {

/// VMs of two data centres; every tenth one is more powerful.
std::vector<HubCandidate> fleetOf(int Count) {
  std::vector<HubCandidate> Fleet;
  for (const std::string DataCentre : {"ikeja", "yaba"})
    for (int Number = 0; Number < Count; ++Number)
      Fleet.push_back({DataCentre + "-" + std::to_string(100 + Number), DataCentre,
                       Number % 10 == 9 ? 50U : 9U});
  return Fleet;
}

HubCandidate &find(std::vector<HubCandidate> &Fleet, const std::string &Vm) {
  return *std::find_if(Fleet.begin(), Fleet.end(),
                       [&](const HubCandidate &Candidate) { return Candidate.Vm == Vm; });
}

} // namespace

// Guards against links whose number grows with the square of the fleet, and against a manager that
// is not linked to everyone: the hubs are those that the election prefers.
BOOST_AUTO_TEST_CASE(HubsAreTheMostPowerfulOfEachDataCentre) {
  auto Hubs = chooseHubs(fleetOf(150));
  std::set<std::string> Expected;
  for (const std::string DataCentre : {"ikeja", "yaba"})
    for (const std::string Number : {"109", "119", "129", "139"})
      Expected.insert(DataCentre + "-" + Number);
  BOOST_TEST(Hubs == Expected, boost::test_tools::per_element());
}

// Guards against VMs that keep too few links when hubs are lost, and that never find out that a
// hub is back.
BOOST_AUTO_TEST_CASE(AFailingHubIsReplacedAndStillTried) {
  auto Fleet = fleetOf(150);
  find(Fleet, "ikeja-109").IsFailing = true;
  find(Fleet, "ikeja-119").IsFailing = true;
  auto Hubs = chooseHubs(Fleet);
  for (const std::string Number : {"109", "119", "129", "139", "149", "159"})
    BOOST_TEST(Hubs.contains("ikeja-" + Number));
  BOOST_TEST(Hubs.size() == 6U + HubsPerDataCentre);
}

// Guards against two managers of a data centre after a start, when links to the better VM are still
// being opened, and against none when all better VMs are lost.
BOOST_AUTO_TEST_CASE(OnlyTheBestReachableVmTakesItsDataCentre) {
  auto Fleet = fleetOf(20);
  auto Self = find(Fleet, "ikeja-119");
  BOOST_TEST(dataCentresOfBetterCandidates(Fleet, Self).contains("ikeja"));
  find(Fleet, "ikeja-109").IsFailing = true;
  BOOST_TEST(!dataCentresOfBetterCandidates(Fleet, Self).contains("ikeja"));
  BOOST_TEST(dataCentresOfBetterCandidates(Fleet, Self).contains("yaba"));
  BOOST_TEST(chooseHubs({}).empty());
}

// Guards against a manager's successor that waits for the manager's process to end: it is stopping,
// comes first in the order, and its link is up.
BOOST_AUTO_TEST_CASE(ALinkedVmIsNotReserved) {
  auto Fleet = fleetOf(20);
  auto Self = find(Fleet, "ikeja-119");
  find(Fleet, "ikeja-109").IsLinked = true;
  BOOST_TEST(!dataCentresOfBetterCandidates(Fleet, Self).contains("ikeja"));
}
