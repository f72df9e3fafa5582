#include "Tests/Kernel/MembershipNetwork.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift::kernel;
using namespace std::chrono_literals;
using cornellift::kernel::testing::MembershipNetwork;

namespace {

/// Time from the last reply until every VM knows of the failure: one probe interval, the timeout,
/// the suspicion time, and two ticks.
constexpr auto DetectionTime = 400ms + 300ms + 400ms + 2 * MembershipNetwork::TickInterval + 10ms;

struct SevenVms {
  SevenVms() {
    Net.addDataCentre("a", 7);
    Net.runFor(5s);
  }
  int deadIn(const std::string &Viewer) {
    int Count = 0;
    for (auto &[Name, Record] : Net.at(Viewer).table().members())
      Count += Record.Standing == MemberStanding::Dead;
    return Count;
  }
  MembershipNetwork Net;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(JoinsThroughASeed, SevenVms) {
  for (auto &[Name, Item] : Net.Nodes) {
    BOOST_TEST(Item.Detector->table().size() == 7);
    BOOST_TEST(Item.Detector->relay() == "a-1");
  }
}

// Guards against late or missed detection, also of the second of two adjacent failures, whose
// prober and usual helper is the first one.
BOOST_FIXTURE_TEST_CASE(SimultaneousFailuresOfAdjacentVmsAreDetected, SevenVms) {
  Net.Nodes.at("a-3").Up = Net.Nodes.at("a-4").Up = false;
  Net.runFor(DetectionTime);
  for (const auto *Viewer : {"a-1", "a-2", "a-5", "a-6", "a-7"}) {
    BOOST_TEST((Net.standing(Viewer, "a-3") == MemberStanding::Dead));
    BOOST_TEST((Net.standing(Viewer, "a-4") == MemberStanding::Dead));
    BOOST_TEST(deadIn(Viewer) == 2);
  }
}

// Guards against a false positive after a single lost message in either direction.
BOOST_FIXTURE_TEST_CASE(SingleLostMessageCausesNoFalsePositive, SevenVms) {
  for (int Round = 0; Round < 50; ++Round) {
    int Losses = 1;
    Net.Lost = [&](const std::string &From, const std::string &To) {
      return (From == "a-2" || To == "a-2") && Losses-- > 0;
    };
    Net.runFor(1s);
  }
  for (auto &[Name, Item] : Net.Nodes)
    BOOST_TEST(deadIn(Name) == 0);
}

// Guards against a false positive when only messages from the prober to the target are lost.
BOOST_FIXTURE_TEST_CASE(OneWayLossIsCoveredByHelpers, SevenVms) {
  Net.Lost = [](auto &From, auto &To) { return From == "a-2" && To == "a-3"; };
  Net.runFor(60s);
  for (auto &[Name, Item] : Net.Nodes)
    BOOST_TEST(deadIn(Name) == 0);
}

// Guards against a resumed process that declares its peers dead because of replies that it missed
// during the pause, and against peers that still consider it dead.
BOOST_FIXTURE_TEST_CASE(PausedVmResumes, SevenVms) {
  Net.Nodes.at("a-3").PausedUntil = Net.Now + 10s;
  Net.runFor(2s);
  BOOST_TEST((Net.standing("a-7", "a-3") == MemberStanding::Dead));
  Net.runFor(12s);
  for (auto &[Name, Item] : Net.Nodes)
    BOOST_TEST(deadIn(Name) == 0, Name);
}

// Guards against mistaking a restarted process for the old one, also when its clock is behind.
BOOST_FIXTURE_TEST_CASE(RestartIsAnotherIncarnation, SevenVms) {
  auto Before = Net.at("a-3").own().Process;
  Net.start("a-3", "a");
  Net.runFor(3s);
  BOOST_TEST((Net.at("a-6").table().find("a-3")->Process != Before));
  BOOST_TEST(Net.at("a-6").table().find(Before) == nullptr);
  MemberRecord Early = Net.at("a-4").own();
  Early.Process = {77};
  Early.StartedAt = 0;
  Net.Nodes.at("a-4").Detector = std::make_unique<Membership>(Early, MembershipSettings{}, 77);
  Net.at("a-4").setSeeds({"a-1"});
  Net.runFor(5s);
  BOOST_TEST((Net.at("a-6").table().find("a-4")->Process == Incarnation{77}));
  BOOST_TEST(deadIn("a-6") == 0);
}

// Guards against a stopped or dead relay that is not replaced.
BOOST_FIXTURE_TEST_CASE(RelayFollowsReadiness, SevenVms) {
  Net.act("a-1",
          [&](auto &Out) { Net.at("a-1").setStanding(MemberStanding::Stopping, Net.Now, Out); });
  Net.runFor(20ms);
  BOOST_TEST(Net.at("a-5").relay() == "a-2");
  Net.Nodes.at("a-2").Up = false;
  Net.runFor(DetectionTime);
  BOOST_TEST(Net.at("a-5").relay() == "a-3");
}

// Guards against a VM that keeps its roles although the platform lists it as leaving.
BOOST_FIXTURE_TEST_CASE(ListedAsLeaving, SevenVms) {
  Net.act("a-1", [&](auto &Out) {
    Net.at("a-1").platformListReceived({{"a-4", "a-4", "a", ListedVm::Status::Leaving}}, Net.Now,
                                       Out);
  });
  Net.runFor(20ms);
  BOOST_TEST((Net.standing("a-6", "a-4") == MemberStanding::Stopping));
  BOOST_TEST((Net.at("a-4").own().Standing == MemberStanding::Stopping));
}

BOOST_FIXTURE_TEST_CASE(SuccessionChainsAreFollowed, SevenVms) {
  auto Announce = [&](const char *Name, Incarnation From, Incarnation To) {
    Net.act(Name, [&](auto &Out) {
      Net.at(Name).announceSuccession({.From = From, .SuccessorVm = "a-9", .To = To}, Net.Now, Out);
    });
  };
  Announce("a-1", {1}, {2});
  Announce("a-2", {2}, {900});
  Net.runFor(20ms);
  auto Last = Net.at("a-6").table().successor({1});
  BOOST_REQUIRE(Last);
  BOOST_TEST((Last->To == Incarnation{900}));
  BOOST_TEST(!Net.at("a-6").table().successor({900}));
}

// Guards against a relay on a busy machine, with a pause every second, that never detects that a
// data centre is unreachable.
BOOST_AUTO_TEST_CASE(PartitionIsDetectedDespitePauses) {
  MembershipNetwork Net;
  Net.addDataCentre("a", 2);
  Net.addDataCentre("b", 2);
  Net.runFor(20s);
  Net.Lost = [](auto &From, auto &To) { return From[0] != To[0]; };
  for (int Second = 0; Second < 20; ++Second) {
    Net.Nodes.at("a-1").PausedUntil = Net.Now + 300ms;
    Net.runFor(1s);
  }
  BOOST_TEST(Net.at("a-1").isUnreachable("b"));
}

// Guards against a data centre that becomes unreachable before its first record arrives and is
// therefore never reported as unreachable, although the platform lists it.
BOOST_AUTO_TEST_CASE(PartitionBeforeTheFirstContactIsDetected) {
  MembershipNetwork Net;
  Net.Lost = [](auto &From, auto &To) { return From[0] != To[0]; };
  Net.addDataCentre("a", 2);
  Net.addDataCentre("b", 2);
  std::vector<ListedVm> Listed;
  for (const auto *Name : {"a-1", "a-2", "b-1", "b-2"})
    Listed.push_back({Name, Name, {Name[0]}, ListedVm::Status::Live});
  for (const auto *Name : {"a-1", "a-2", "b-1", "b-2"})
    Net.act(Name, [&](auto &Out) { Net.at(Name).platformListReceived(Listed, Net.Now, Out); });
  Net.runFor(11s);
  for (const auto *Viewer : {"a-1", "a-2"})
    BOOST_TEST(Net.at(Viewer).isUnreachable("b"), Viewer);
  for (const auto *Viewer : {"b-1", "b-2"})
    BOOST_TEST(Net.at(Viewer).isUnreachable("a"), Viewer);
  Net.Lost = [](auto &, auto &) { return false; };
  Net.runFor(8s);
  for (auto &[Name, Item] : Net.Nodes) {
    BOOST_TEST(!Item.Detector->isUnreachable(Name[0] == 'a' ? "b" : "a"), Name);
    BOOST_TEST(Item.Detector->table().size() == 4, Name);
  }
}

// Guards against a whole data centre being mistaken for seven dead VMs, whose incarnations peers
// would then treat as ended.
BOOST_AUTO_TEST_CASE(LostDataCentreIsUnreachable) {
  MembershipNetwork Net;
  Net.addDataCentre("a", 4);
  Net.addDataCentre("b", 4);
  Net.runFor(8s);
  for (auto &[Name, Item] : Net.Nodes) {
    BOOST_TEST(Item.Detector->table().size() == 8, Name);
    if (Name[0] == 'b')
      Item.Up = false;
  }
  Net.runFor(11s);
  for (const auto *Viewer : {"a-1", "a-4"}) {
    BOOST_TEST(Net.at(Viewer).isUnreachable("b"));
    BOOST_TEST((Net.standing(Viewer, "b-2") == MemberStanding::Ready));
  }
}

// Guards against a data centre that does not reach the platform and learns of a new version only by
// the next heartbeat, and against a lost announcement that no heartbeat replaces within 5 s.
BOOST_AUTO_TEST_CASE(NewVersionsAreAnnouncedToEachDataCentre) {
  MembershipNetwork Net;
  Net.addDataCentre("a", 3);
  Net.addDataCentre("b", 3);
  Net.runFor(8s);
  auto Origin = Net.at("a-2").own().Process;
  auto Announce = [&](std::uint64_t Version) {
    Net.act("a-2", [&](auto &Out) {
      Net.at("a-2").announceVersion(Version, Membership::Reach::Everywhere, Net.Now, Out);
    });
  };
  Announce(7);
  Net.runFor(20ms);
  BOOST_TEST(Net.at("b-1").loadOf(Origin)->ConfigurationVersion == 7U);
  Net.Lost = [](auto &From, auto &To) { return From[0] != To[0]; };
  Announce(8);
  Net.Lost = [](auto &, auto &) { return false; };
  Net.runFor(5s);
  BOOST_TEST(Net.at("b-1").loadOf(Origin)->ConfigurationVersion == 8U);
}

// Guards against views that do not converge, or that keep live peers as dead, after a partition of
// one hour with changes on both sides.
BOOST_AUTO_TEST_CASE(ViewsConvergeAfterAnHourOfPartition) {
  MembershipNetwork Net;
  Net.addDataCentre("a", 3);
  Net.addDataCentre("b", 3);
  Net.addDataCentre("c", 3);
  Net.runFor(8s);
  Net.Lost = [](auto &From, auto &To) { return (From[0] == 'a') != (To[0] == 'a'); };
  Net.runFor(1h);
  BOOST_TEST(Net.at("a-3").isUnreachable("c"));
  BOOST_TEST(Net.at("b-2").isUnreachable("a"));
  BOOST_TEST(!Net.at("b-2").isUnreachable("c"));
  Net.Nodes.at("a-1").Up = false;
  Net.start("b-2", "b");
  Net.runFor(5s);
  Net.Lost = [](auto &, auto &) { return false; };
  Net.runFor(15s);
  auto Digest = Net.at("a-2").table().digest(Net.Now);
  for (auto &[Name, Item] : Net.Nodes)
    if (Item.Up) {
      BOOST_TEST(Item.Detector->table().digest(Net.Now) == Digest, Name);
      BOOST_TEST(!Item.Detector->isUnreachable("a"));
      BOOST_TEST((Net.standing(Name, "a-1") == MemberStanding::Dead));
      BOOST_TEST((Net.standing(Name, "c-3") == MemberStanding::Ready));
    }
}

// Guards against memory that grows with every replaced VM: 290 a day under new names.
BOOST_AUTO_TEST_CASE(RecordsOfReplacedVmsExpire) {
  MemberTable Table;
  cornellift::core::TimePoint Now{1s};
  for (std::uint64_t Day = 0; Day < 2; ++Day)
    for (std::uint64_t Number = 0; Number < 290; ++Number) {
      Now += 86400s / 290;
      MemberRecord Record{.EntryVm = "vm-" + std::to_string(Day * 290 + Number),
                          .Process = {Day * 290 + Number + 1}};
      Record.Standing = MemberStanding::Dead;
      Record.ChangedAt = Now;
      BOOST_TEST(Table.merge(Record, Now));
      SuccessionRecord Succession{.From = Record.Process, .To = {Record.Process.Value + 1}};
      Succession.ChangedAt = Now;
      Table.merge(Succession, Now);
      Table.dropExpired(Now);
      // An hour holds 13 members and 13 successions.
      BOOST_REQUIRE(Table.size() <= 26);
    }
}
