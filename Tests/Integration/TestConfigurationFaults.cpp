#include "Tests/Integration/Deployment.h"

#include <chrono>
#include <cstdlib>
#include <future>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;

namespace {

constexpr int InForceSeconds = 5; // Guaranteed time until a patch is in force everywhere.

nlohmann::json shareOf(double Share) {
  return {{"teams", {{"counter", {{"quota_share", Share}}}}}};
}

bool isInForceOn(Deployment &Running, const std::vector<std::string> &Vms, std::uint64_t Version) {
  for (const auto &Vm : Vms)
    if (Running.versionOf(Vm) < Version)
      return false;
  return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(PatchIsInForceEverywhere) {
  Deployment Running("patch");
  auto Before = Running.versionOf("ikeja-1");
  auto Reply = Running.patch("ikeja-1", Before, "patch-1", shareOf(31));
  BOOST_REQUIRE_EQUAL(Reply.Status, 200);
  BOOST_CHECK(waitUntil([&] { return isInForceOn(Running, Running.entryVms(), Before + 1); },
                        InForceSeconds));
  Running.checkGuarantees();
}

// Guards against a patch that is applied twice, or reported as rejected, when the store's reply is
// lost.
BOOST_AUTO_TEST_CASE(LostReplyOfTheStoreIsRecognised) {
  Deployment Running("lost-store-reply");
  auto Before = Running.versionOf("ikeja-1");
  Running.controlLink("platform-ikeja-1", "rule",
                      {{"text", "PUT /v1/keys/configuration/head"}, {"action", "swallow_reply"}});
  auto Reply = Running.patch("ikeja-1", Before, "patch-lost", shareOf(32));
  BOOST_CHECK_EQUAL(Reply.Status, 200);
  BOOST_CHECK(Running.hasFired("platform-ikeja-1"));
  auto Again = Running.patch("yaba-1", Before, "patch-lost", shareOf(32));
  BOOST_CHECK_EQUAL(Again.Status, 200);
  BOOST_CHECK(waitUntil([&] { return isInForceOn(Running, Running.entryVms(), Before + 1); },
                        InForceSeconds));
  BOOST_CHECK_EQUAL(Running.versionOf("ikeja-1"), Before + 1);
  Running.checkGuarantees();
}

// Guards against conflicting patches by several operators of which more than one is reported as
// applied as version N+1.
BOOST_AUTO_TEST_CASE(RacingOperatorsOneWins) {
  Deployment Running("racing-operators");
  auto Before = Running.versionOf("ikeja-1");
  std::vector<std::future<HttpReply>> Replies;
  for (unsigned Number = 0; Number < 4; ++Number)
    Replies.push_back(std::async(std::launch::async, [&, Number] {
      return Running.patch(Running.entryVms()[Number], Before, "race-" + std::to_string(Number),
                           shareOf(40 + Number));
    }));
  unsigned Applied = 0;
  for (auto &Reply : Replies) {
    auto Answer = Reply.get();
    Applied += Answer.Status == 200 ? 1 : 0;
    BOOST_CHECK_MESSAGE(Answer.Status == 200 || Answer.Status == 409, Answer.Body.dump());
  }
  BOOST_CHECK_EQUAL(Applied, 1);
  BOOST_CHECK(waitUntil([&] { return isInForceOn(Running, Running.entryVms(), Before + 1); },
                        InForceSeconds));
  BOOST_CHECK_EQUAL(Running.versionOf("ikeja-1"), Before + 1);
  Running.checkGuarantees();
}

// Guards against jobs that depend on the store, and against a restarted process that adopts an old
// version.
BOOST_AUTO_TEST_CASE(StoreDownServingGoesOnAndReplacementLearnsFromPeers) {
  Deployment Running("store-down", {{"ikeja"}, 3, 3});
  auto Before = Running.versionOf("ikeja-1");
  BOOST_REQUIRE_EQUAL(Running.patch("ikeja-1", Before, "patch-2", shareOf(33)).Status, 200);
  BOOST_REQUIRE(waitUntil([&] { return isInForceOn(Running, Running.entryVms(), Before + 1); },
                          InForceSeconds));
  Running.platformFault({{"down", true}});
  auto Refused = Running.patch("ikeja-1", Before + 1, "patch-3", shareOf(34));
  BOOST_CHECK_NE(Refused.Status, 200);
  Running.entry("ikeja-3").kill();
  Running.startEntry("ikeja-3");
  Running.waitReady("ikeja-3");
  BOOST_CHECK_EQUAL(Running.versionOf("ikeja-3"), Before + 1);
  for (const auto &Vm : Running.entryVms()) {
    auto Job = Deployment::job(Running.newIdentifier(Vm), 20, 30);
    auto Answer = Running.submit(Vm, Job);
    BOOST_CHECK_EQUAL(Answer.Body.value("outcome", ""), "complete");
    checkAnswer(Running, Job, Answer);
  }
  Running.platformFault({{"down", false}});
  BOOST_CHECK(waitUntil(
      [&] { return Running.patch("ikeja-2", Before + 1, "patch-4", shareOf(35)).Status == 200; }));
  BOOST_CHECK(waitUntil([&] { return isInForceOn(Running, Running.entryVms(), Before + 2); }));
  Running.checkGuarantees();
}

// Guards against jobs and patches that wait for a store whose calls take seconds, and against wrong
// answers to patches. CORNELLIFT_SLOW_SECONDS sets the duration of the slow phase.
BOOST_AUTO_TEST_CASE(SlowStoreDelaysNoJobAndPatchesTellTheTruth) {
  const char *Text = std::getenv("CORNELLIFT_SLOW_SECONDS");
  auto SlowSeconds = Text ? std::strtol(Text, nullptr, 10) : 6;
  Deployment Running("slow-store");
  auto Before = Running.versionOf("ikeja-1");
  constexpr unsigned SlowMilliseconds = 4000; // Beyond the deadline of every call to the store.
  Running.platformFault({{"slow_ms", SlowMilliseconds}});
  auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(SlowSeconds);
  unsigned Number = 0;
  std::uint64_t Applied = Before;
  do {
    auto PatchId = "slow-" + std::to_string(++Number);
    auto Reply = Running.patch("ikeja-2", Applied, PatchId, shareOf(40 + Number % 50));
    BOOST_TEST_MESSAGE("patch: " << Reply.Status << ' ' << Reply.Body.dump());
    for (const auto &Vm : Running.entryVms()) {
      auto Job = Deployment::job(Running.newIdentifier(Vm), 8, 30);
      // Far below what one call to the store takes.
      auto Answer = Running.submit(Vm, Job, 3);
      BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
      checkAnswer(Running, Job, Answer);
    }
    if (Reply.Status != 200)
      continue;
    Applied = Reply.Body.at("version").get<std::uint64_t>();
  } while (std::chrono::steady_clock::now() < Until);
  Running.platformFault({{"slow_ms", 0}});
  // The last patch, sent again with the same identifier, is applied once, whatever the first answer
  // was.
  BOOST_REQUIRE(waitUntil([&] {
    auto Reply = Running.patch("yaba-1", Applied, "slow-" + std::to_string(Number),
                               shareOf(40 + Number % 50));
    return Reply.Status == 200 || Reply.Status == 409;
  }));
  auto InForce = Running.versionOf("yaba-1");
  BOOST_CHECK_GE(InForce, Applied);
  BOOST_CHECK(
      waitUntil([&] { return isInForceOn(Running, Running.entryVms(), InForce); }, InForceSeconds));
  Running.checkGuarantees();
}

// Guards against a data centre that stops serving while it is partitioned, or that reverts to an
// older version afterwards.
BOOST_AUTO_TEST_CASE(DataCentreCutOffServesAndCatchesUp) {
  Deployment Running("cut-off");
  auto Before = Running.versionOf("ikeja-1");
  Running.separate("ikeja", "yaba");
  Running.separateFromPlatform("yaba");
  auto Reply = Running.patch("ikeja-1", Before, "patch-5", shareOf(36));
  BOOST_REQUIRE_EQUAL(Reply.Status, 200);
  BOOST_CHECK(waitUntil(
      [&] {
        return isInForceOn(Running, {"ikeja-1", "ikeja-2"}, Before + 1);
      },
      InForceSeconds));
  for (const auto &Vm : Running.entryVms()) {
    auto Job = Deployment::job(Running.newIdentifier(Vm), 20, 30);
    auto Answer = Running.submit(Vm, Job);
    BOOST_CHECK_EQUAL(Answer.Body.value("outcome", ""), "complete");
    checkAnswer(Running, Job, Answer);
  }
  BOOST_CHECK(waitUntil([&] { return Running.isCutOff("ikeja-1", "yaba"); }));
  BOOST_CHECK(waitUntil([&] { return Running.isCutOff("yaba-1", "ikeja"); }));
  BOOST_CHECK_EQUAL(Running.versionOf("yaba-1"), Before);
  BOOST_CHECK_EQUAL(Running.versionOf("yaba-2"), Before);
  Running.reconnect();
  BOOST_CHECK(waitUntil([&] { return isInForceOn(Running, Running.entryVms(), Before + 1); }));
  Running.checkGuarantees();
}

// Guards against a data centre that misses changes while it cannot reach the platform, although
// other data centres could propagate them.
BOOST_AUTO_TEST_CASE(DataCentreCutOffFromThePlatformLearnsFromOthers) {
  Deployment Running("cut-off-platform");
  auto Before = Running.versionOf("ikeja-1");
  Running.separateFromPlatform("yaba");
  BOOST_REQUIRE_EQUAL(Running.patch("ikeja-1", Before, "patch-6", shareOf(37)).Status, 200);
  BOOST_CHECK(waitUntil([&] { return isInForceOn(Running, Running.entryVms(), Before + 1); },
                        InForceSeconds));
  Running.checkGuarantees();
}

// Guards against requests with a key of the wrong kind that take effect.
BOOST_AUTO_TEST_CASE(WrongKeysChangeNothing) {
  Deployment Running("wrong-keys", {{"ikeja"}, 1, 1});
  auto Before = Running.versionOf("ikeja-1");
  auto Body = nlohmann::json{
      {"base_version", Before}, {"patch_id", "x"}, {"why", "y"}, {"patch", shareOf(1)}};
  BOOST_CHECK_EQUAL(Running.call("ikeja-1", "PATCH", "/v1/configuration", Body).Status, 401);
  BOOST_CHECK_EQUAL(Running.callAsOperator("ikeja-1", "POST", "/v1/sessions").Status, 401);
  BOOST_CHECK_EQUAL(Running.versionOf("ikeja-1"), Before);
  Running.checkGuarantees();
}
