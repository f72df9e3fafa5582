#include "Libraries/LibConfiguration/VersionStore.h"
#include "Tests/LibConfiguration/FakeStore.h"

#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::configuration;
using core::ErrorKind;
using nlohmann::json;
using tests::FakeStore;

namespace {

core::TimePoint testDeadline() { return core::MonotonicClock::now() + std::chrono::seconds(10); }

/// A patch that sets the quota share of a team, so that its effect on the document can be checked.
ChangeRequest quotaPatch(std::uint64_t Base, std::string PatchId, double Share,
                         std::string Who = "ada", std::string Team = "counter") {
  return {Base,
          std::move(PatchId),
          std::move(Who),
          "more reprints",
          {{"teams", {{std::move(Team), {{"quota_share", Share}}}}}}};
}

struct Fixture {
  Fixture() {
    ChangeRequest Seed{
        0, "seed", "ada", "first version",
        json::parse(R"({"services": {}, "teams": {"counter": {}}, "endpoints": {}})")};
    BOOST_TEST_REQUIRE(appliedVersion(Versions.apply(Seed, testDeadline())) == 1U);
  }

  static std::uint64_t appliedVersion(const ChangeOutcome &Outcome) {
    const auto *Made = std::get_if<Applied>(&Outcome);
    return Made ? Made->Version : 0;
  }

  std::uint64_t apply(const ChangeRequest &Request) {
    return appliedVersion(Versions.apply(Request, testDeadline()));
  }

  json team(const std::string &Name) {
    return Versions.readHead(testDeadline())->Content.Content.json()["teams"][Name];
  }

  FakeStore Store;
  VersionStore Versions{Store};
};

bool isHead(std::string_view Key) { return Key == HeadKey; }

} // namespace

BOOST_FIXTURE_TEST_CASE(PatchMakesTheNextVersionWithItsRecord, Fixture) {
  BOOST_TEST(apply(quotaPatch(1, "p1", 5)) == 2U);
  BOOST_TEST(team("counter")["quota_share"] == 5);
  auto Record = Versions.readChange(2, testDeadline());
  BOOST_TEST_REQUIRE(Record.has_value());
  BOOST_TEST((Record->Who == "ada" && Record->Why == "more reprints" && Record->PatchId == "p1"));
  BOOST_TEST(Record->WhenMilliseconds > 0);
  BOOST_TEST(apply({2, "undo", "ada", "as before", Record->Inverse}) == 3U);
  BOOST_TEST(team("counter") == json::object());
  BOOST_TEST((*Versions.documentAt(2, testDeadline()))["teams"]["counter"]["quota_share"] == 5);
  BOOST_TEST((*Versions.documentAt(1, testDeadline()))["teams"]["counter"] == json::object());
  BOOST_TEST(!Versions.documentAt(4, testDeadline()));
}

// Guards against applying a patch twice, or reporting it as rejected, when the reply to its write
// is lost and other operators make further versions before the retry.
BOOST_FIXTURE_TEST_CASE(RetriedPatchIsFoundAmongLaterVersions, Fixture) {
  Store.LoseReply = [this](std::string_view Key) {
    if (!isHead(Key))
      return false;
    Store.LoseReply = nullptr;
    for (std::uint64_t Base = 2; Base < 5; ++Base)
      BOOST_TEST(apply(quotaPatch(Base, "later" + std::to_string(Base), 9, "bola")) == Base + 1);
    return true;
  };
  auto Patch = quotaPatch(1, "mine", 5);
  BOOST_TEST(apply(Patch) == 2U);
  BOOST_TEST(apply(Patch) == 2U);
  BOOST_TEST(Versions.readHead(testDeadline())->Content.Version == 5U);
  BOOST_TEST(team("counter")["quota_share"] == 9);
}

// Guards against reporting "applied" for a different patch that has the same id.
BOOST_FIXTURE_TEST_CASE(UsedPatchIdIsRejectedForOtherPatches, Fixture) {
  BOOST_TEST(apply(quotaPatch(1, "p", 5)) == 2U);
  for (const auto &Other :
       {quotaPatch(1, "p", 6), quotaPatch(1, "p", 5, "bola"), quotaPatch(2, "p", 5)}) {
    auto Outcome = Versions.apply(Other, testDeadline());
    BOOST_TEST_REQUIRE(std::holds_alternative<Rejected>(Outcome));
    BOOST_TEST(std::get<Rejected>(Outcome).VersionInForce == 2U);
  }
}

// Guards against a process that overwrites the versions made while it was paused.
BOOST_FIXTURE_TEST_CASE(StaleProcessIsRejected, Fixture) {
  Store.BeforeSwap = [this](std::string_view) {
    BOOST_TEST(apply(quotaPatch(1, "quick1", 2, "bola")) == 2U);
    BOOST_TEST(apply(quotaPatch(2, "quick2", 3, "bola")) == 3U);
  };
  auto Patch = quotaPatch(1, "paused", 7);
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    auto Outcome = Versions.apply(Patch, testDeadline());
    BOOST_TEST_REQUIRE(std::holds_alternative<Rejected>(Outcome));
    BOOST_TEST(std::get<Rejected>(Outcome).VersionInForce == 3U);
    BOOST_TEST((std::get<Rejected>(Outcome).Why.Kind == ErrorKind::Conflict));
  }
  BOOST_TEST(team("counter")["quota_share"] == 3);
}

// Guards against lost updates: exactly one of the concurrent patches against a version is applied.
BOOST_FIXTURE_TEST_CASE(OneOfConcurrentPatchesIsApplied, Fixture) {
  constexpr int Rounds = 25;
  constexpr int Operators = 4;
  for (std::uint64_t Base = 1; Base <= Rounds; ++Base) {
    std::atomic<int> Wins{0};
    std::vector<std::thread> Threads;
    Threads.reserve(Operators);
    for (int Operator = 0; Operator < Operators; ++Operator)
      Threads.emplace_back([&, Operator] {
        auto Id = "o" + std::to_string(Operator) + "-" + std::to_string(Base);
        if (apply(quotaPatch(Base, Id, Operator + 1)) == Base + 1)
          ++Wins;
      });
    for (auto &Thread : Threads)
      Thread.join();
    BOOST_TEST_REQUIRE(Wins == 1);
  }
  for (std::uint64_t Version = 1; Version <= Rounds + 1; ++Version)
    BOOST_TEST(Versions.readChange(Version, testDeadline()).has_value());
}

// Guards against reporting "rejected" when the store's state is unknown, and against a partly
// written change that blocks the retry. The store fails after the audit record is written.
BOOST_FIXTURE_TEST_CASE(StoreFailureBeforeTheSwapIsResolvedByARetry, Fixture) {
  Store.LoseReply = [this](std::string_view Key) {
    Store.Down = !isHead(Key);
    return Store.Down.load();
  };
  auto Patch = quotaPatch(1, "p", 5);
  BOOST_TEST(std::holds_alternative<MayHaveBeenApplied>(Versions.apply(Patch, testDeadline())));
  BOOST_TEST(std::holds_alternative<MayHaveBeenApplied>(Versions.apply(Patch, testDeadline())));
  Store.Down = false;
  Store.LoseReply = nullptr;
  BOOST_TEST(Versions.readHead(testDeadline())->Content.Version == 1U);
  BOOST_TEST(apply(Patch) == 2U);
}

// Guards against misreporting a write that took effect right before the store failed, so that its
// reply was lost.
BOOST_FIXTURE_TEST_CASE(StoreFailureAfterTheSwapIsResolvedByARetry, Fixture) {
  Store.LoseReply = [this](std::string_view Key) {
    Store.Down = isHead(Key);
    return Store.Down.load();
  };
  auto Patch = quotaPatch(1, "p", 5);
  BOOST_TEST(std::holds_alternative<MayHaveBeenApplied>(Versions.apply(Patch, testDeadline())));
  Store.Down = false;
  Store.LoseReply = nullptr;
  BOOST_TEST(apply(Patch) == 2U);
  BOOST_TEST(Versions.readHead(testDeadline())->Content.Version == 2U);
}

// Guards against accumulating audit records, and against a definite outcome for a patch whose
// record has been removed.
BOOST_FIXTURE_TEST_CASE(OldRecordsAreDropped, Fixture) {
  constexpr std::uint64_t Retention = 3;
  VersionStore Short(Store, {}, Retention);
  for (std::uint64_t Base = 1; Base < 8; ++Base)
    BOOST_TEST_REQUIRE(
        Fixture::appliedVersion(Short.apply(quotaPatch(Base, "p" + std::to_string(Base), 5),
                                            testDeadline())) == Base + 1);
  BOOST_TEST(Short.readChange(8, testDeadline()).has_value());
  BOOST_TEST(Short.readChange(6, testDeadline()).has_value());
  BOOST_TEST(!Short.readChange(5, testDeadline()));
  BOOST_TEST(std::holds_alternative<MayHaveBeenApplied>(
      Short.apply(quotaPatch(1, "p1", 5), testDeadline())));
}

// Guards against reporting a version whose records are no longer kept as one that has never
// existed, and against reporting that while the store is only unreachable.
BOOST_FIXTURE_TEST_CASE(DocumentBehindTheKeptRecordsIsExpired, Fixture) {
  constexpr std::uint64_t Retention = 3;
  VersionStore Short(Store, {}, Retention);
  for (std::uint64_t Base = 1; Base < 8; ++Base)
    BOOST_TEST_REQUIRE(
        Fixture::appliedVersion(Short.apply(quotaPatch(Base, "p" + std::to_string(Base), Base),
                                            testDeadline())) == Base + 1);
  auto Oldest = Short.documentAt(5, testDeadline());
  BOOST_TEST_REQUIRE(Oldest.has_value());
  BOOST_TEST((*Oldest)["teams"]["counter"]["quota_share"] == 4);
  BOOST_TEST(!Short.documentAt(4, testDeadline()));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::Expired), core::lastReason().Message);
  for (std::uint64_t NeverMade : {0, 9}) {
    BOOST_TEST(!Short.documentAt(NeverMade, testDeadline()));
    BOOST_TEST((core::lastReason().Kind == ErrorKind::NotFound), core::lastReason().Message);
  }
  Store.Down = true;
  BOOST_TEST(!Short.documentAt(4, testDeadline()));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::Unavailable), core::lastReason().Message);
}

// Guards against making a version that no process can load or that exceeds the store's size limit.
BOOST_FIXTURE_TEST_CASE(InvalidResultIsRejected, Fixture) {
  json Huge = json::object();
  for (int Index = 0; Index < 1400; ++Index)
    Huge["team-" + std::string(40, 'x') + std::to_string(Index)] = json::object();
  for (const json &Patch : {json{{"teams", {{"counter", {{"quota_share", -1}}}}}},
                            json{{"services", nullptr}}, json{{"teams", Huge}}}) {
    auto Outcome = Versions.apply({1, "p", "ada", "wrong", Patch}, testDeadline());
    BOOST_TEST_REQUIRE(std::holds_alternative<Rejected>(Outcome));
    BOOST_TEST(std::get<Rejected>(Outcome).VersionInForce == 1U);
  }
  BOOST_TEST(Versions.readHead(testDeadline())->Content.Version == 1U);
}

BOOST_AUTO_TEST_CASE(RequestBoundsHold) {
  auto Text = [](const json &Change) {
    json Request = {
        {"base_version", 1}, {"patch_id", "p"}, {"why", "w"}, {"patch", json::object()}};
    Request.update(Change);
    return Request.dump();
  };
  BOOST_TEST(ChangeRequest::parse(Text(json::object()), "ada").has_value());
  for (const json &Bad :
       {json{{"base_version", -1}}, json{{"patch_id", "a b"}}, json{{"patch_id", 5}},
        json{{"why", ""}}, json{{"why", std::string(1001, 'w')}}, json{{"patch", 1}},
        json{{"colour", 1}}, json{{"patch", {{"teams", std::string(70'000, 'x')}}}}})
    BOOST_TEST(!ChangeRequest::parse(Text(Bad), "ada"), Bad.dump().substr(0, 60));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::TooLarge));
}
