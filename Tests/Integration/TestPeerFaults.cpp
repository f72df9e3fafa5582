#include "Tests/Integration/Deployment.h"

#include <chrono>
#include <fstream>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;

namespace {

constexpr unsigned LinkOpenSeconds = 10; // Covers several probes of every kind.

/// Bytes that a link has carried towards its target.
std::uint64_t bytesUp(Deployment &Running, const std::string &Link) {
  for (const auto &Known : Running.links())
    if (Known.at("name") == Link)
      return Known.at("bytes_up").get<std::uint64_t>();
  return 0;
}

} // namespace

// Guards against integration tests whose faults miss the connections that the processes use.
BOOST_AUTO_TEST_CASE(PeerConnectionsGoThroughTheProxy) {
  Deployment Running("peer-links");
  for (const char *Link : {"peer-ikeja-1-ikeja-2", "peer-ikeja-2-ikeja-1", "peer-yaba-1-yaba-2",
                           "peer-yaba-2-yaba-1", "peer-ikeja-1-yaba-1", "peer-yaba-1-ikeja-1"}) {
    auto Before = bytesUp(Running, Link);
    BOOST_CHECK_MESSAGE(waitUntil([&] { return bytesUp(Running, Link) > Before; }, LinkOpenSeconds),
                        Link << " carries nothing");
  }
  Running.separate("ikeja", "yaba");
  for (const auto &Vm : Running.entryVms())
    BOOST_CHECK(waitUntil(
        [&] { return Running.isCutOff(Vm, Vm.starts_with("ikeja") ? "yaba" : "ikeja"); }));
  Running.reconnect();
  for (const auto &Vm : Running.entryVms())
    BOOST_CHECK(waitUntil(
        [&] { return !Running.isCutOff(Vm, Vm.starts_with("ikeja") ? "yaba" : "ikeja"); }));
  Running.checkGuarantees();
}

// Guards against forwarded submissions that are lost with a connection that went silent, and
// against later ones that queue behind it.
BOOST_AUTO_TEST_CASE(SilentPeerConnectionLosesNoAnswer) {
  Deployment Running("silent-peer", {{"ikeja"}, 2, 3});
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 24, 300);
  auto First = std::async(std::launch::async, [&] { return Running.submit("ikeja-2", Job, 40); });
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Job["id"]) > 3; }));
  Running.controlLink("peer-ikeja-2-ikeja-1", "open", {{"action", "silence"}});
  // The caller submits the same job again while its first call still waits.
  auto Again = Running.submit("ikeja-2", Job, 40);
  BOOST_CHECK_MESSAGE(Again.Body.value("outcome", "") == "complete", Again.Body.dump());
  checkAnswer(Running, Job, Again);
  checkAnswer(Running, Job, First.get());
  auto Next = Deployment::job(Running.newIdentifier("ikeja-1"), 8, 50);
  auto Answer = Running.submit("ikeja-2", Next);
  BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
  BOOST_CHECK_EQUAL(Running.startsOfJob(Job["id"]), 24);
  Running.checkGuarantees();
}

// Guards against jobs that run twice, or that are lost, when the reply to the call that
// transfers them to the successor is lost.
BOOST_AUTO_TEST_CASE(LostReplyToTheSealIsSentAgain) {
  Deployment Running("lost-seal-reply", {{"ikeja"}, 2, 1});
  std::vector<nlohmann::json> Jobs;
  std::vector<std::future<HttpReply>> Answers;
  for (unsigned Number = 0; Number < 6; ++Number) {
    Jobs.push_back(Deployment::job(Running.newIdentifier("ikeja-1"), 20, 100));
    Answers.push_back(std::async(std::launch::async, [&Running, Job = Jobs.back()] {
      return Running.submit("ikeja-1", Job);
    }));
  }
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Jobs[0]["id"]) > 0; }));
  // Matches fields of a Transfer call: the sender's name, and the tag of the number that follows.
  // The state fits in one part, so the second call is the seal.
  Running.controlLink("peer-ikeja-1-ikeja-2", "rule",
                      {{"direction", "up"},
                       {"text", "\u0007ikeja-1\u0011"},
                       {"occurrence", 2},
                       {"action", "swallow_reply"}});
  Running.entry("ikeja-1").terminate();
  for (std::size_t Number = 0; Number < Jobs.size(); ++Number) {
    auto Answer = Answers[Number].get();
    BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
    checkAnswer(Running, Jobs[Number], Answer);
  }
  BOOST_CHECK(Running.hasFired("peer-ikeja-1-ikeja-2"));
  BOOST_CHECK_EQUAL(Running.entry("ikeja-1").waitForExit(40).value_or(-1), 0);
  for (const auto &Job : Jobs) {
    auto Kept = Running.submit("ikeja-2", Job);
    BOOST_CHECK_MESSAGE(Kept.Body.value("outcome", "") == "complete", Kept.Body.dump());
  }
  Running.checkGuarantees();
}

// Guards against wrong answers when the successor may have taken over and can no longer be reached.
BOOST_AUTO_TEST_CASE(SealWithoutAnyReplyTellsTheTruth) {
  Deployment Running("unanswered-seal", {{"ikeja"}, 2, 1});
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 60, 200);
  auto First = std::async(std::launch::async, [&] { return Running.submit("ikeja-1", Job, 60); });
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Job["id"]) > 3; }));
  auto Queued = Deployment::job(Running.newIdentifier("ikeja-1"), 20, 100);
  auto Second =
      std::async(std::launch::async, [&] { return Running.submit("ikeja-1", Queued, 60); });
  Running.controlLink("peer-ikeja-1-ikeja-2", "rule",
                      {{"direction", "up"},
                       {"text", "\u0007ikeja-1\u0011"},
                       {"occurrence", 2},
                       {"action", "silence_down"}});
  Running.entry("ikeja-1").terminate();
  BOOST_CHECK(waitUntil([&] { return Running.hasFired("peer-ikeja-1-ikeja-2"); }));
  Running.controlLink("peer-ikeja-1-ikeja-2", "admission", {{"mode", "hang"}});
  checkAnswer(Running, Job, First.get());
  checkAnswer(Running, Queued, Second.get());
  BOOST_CHECK_EQUAL(Running.entry("ikeja-1").waitForExit(60).value_or(-1), 0);
  checkAnswer(Running, Queued, Running.submit("ikeja-2", Queued));
  Running.checkGuarantees();
}
