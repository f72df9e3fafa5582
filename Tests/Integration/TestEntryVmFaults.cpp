#include "Tests/Integration/Deployment.h"

#include <future>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;

namespace {

/// Kills the entry VM "ikeja-1" when Rule fires on Link, and submits the job again to "ikeja-2", as
/// a caller behind the load balancer does.
void killEntryVmWhen(const std::string &Name, const std::string &Link, const nlohmann::json &Rule) {
  Deployment Running(Name, {{"ikeja"}, 2, 3});
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 24, 200);
  Running.controlLink(Link, "rule", Rule);
  auto First = std::async(std::launch::async, [&] { return Running.submit("ikeja-1", Job, 8); });
  BOOST_REQUIRE(waitUntil([&] { return Running.hasFired(Link); }));
  Running.entry("ikeja-1").kill();
  First.get();
  auto Again = Running.submit("ikeja-2", Job);
  checkAnswer(Running, Job, Again);
  auto Third = Running.submit("ikeja-2", Job);
  checkAnswer(Running, Job, Third);
  Running.checkGuarantees();
}

nlohmann::json rule(const char *Direction, const char *Text, unsigned Occurrence,
                    const char *Action, bool BeforeForwarding = false) {
  return {{"direction", Direction},
          {"text", Text},
          {"occurrence", Occurrence},
          {"action", Action},
          {"before_forwarding", BeforeForwarding}};
}

} // namespace

BOOST_AUTO_TEST_CASE(JobCompletesWithWholeAnswer) {
  Deployment Running("whole-answer");
  for (const auto &Vm : Running.entryVms()) {
    auto Job = Deployment::job(Running.newIdentifier(Vm), 60, 20);
    auto Answer = Running.submit(Vm, Job);
    BOOST_CHECK_EQUAL(Answer.Body.value("outcome", ""), "complete");
    checkAnswer(Running, Job, Answer);
  }
  Running.checkGuarantees();
}

// Guards against a VM that treats another VM's identifiers as its own and starts the job again.
BOOST_AUTO_TEST_CASE(SubmissionElsewhereIsAnsweredByTheIssuer) {
  Deployment Running("forwarded");
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 10, 50);
  for (const auto &Vm : Running.entryVms()) {
    auto Answer = Running.submit(Vm, Job);
    BOOST_CHECK_EQUAL(Answer.Body.value("outcome", ""), "complete");
    checkAnswer(Running, Job, Answer);
  }
  BOOST_CHECK_EQUAL(Running.startsOfJob(Job["id"]), 10);
  Running.checkGuarantees();
}

BOOST_AUTO_TEST_CASE(KilledBeforeAccept) {
  killEntryVmWhen("killed-before-accept", "caller-ikeja-1",
                  rule("up", "POST /v1/jobs", 1, "cut", true));
}

BOOST_AUTO_TEST_CASE(KilledAfterFirstStart) {
  killEntryVmWhen("killed-after-first-start", "endpoint-ikeja-*",
                  rule("up", "POST /v1/tasks/", 1, "silence_down"));
}

BOOST_AUTO_TEST_CASE(KilledBetweenStarts) {
  killEntryVmWhen("killed-between-starts", "endpoint-ikeja-*",
                  rule("up", "POST /v1/tasks/", 4, "silence_down"));
}

BOOST_AUTO_TEST_CASE(KilledWhileTheAnswerIsSent) {
  killEntryVmWhen("killed-while-answering", "caller-ikeja-1",
                  rule("down", "\"complete\"", 1, "silence", true));
}

// Guards against tasks started by a resumed process that its peers have declared dead.
BOOST_AUTO_TEST_CASE(PausedAndResumed) {
  Deployment Running("paused", {{"ikeja"}, 2, 3});
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 60, 200);
  auto First = std::async(std::launch::async, [&] { return Running.submit("ikeja-1", Job, 60); });
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Job["id"]) > 0; }));
  Running.entry("ikeja-1").pause();
  checkAnswer(Running, Job, Running.submit("ikeja-2", Job));
  Running.entry("ikeja-1").resume();
  checkAnswer(Running, Job, First.get());
  checkAnswer(Running, Job, Running.submit("ikeja-2", Job));
  Running.checkGuarantees();
}

// Guards against a restarted process that treats its predecessor's identifiers as its own.
BOOST_AUTO_TEST_CASE(RestartedUnderTheSameAddress) {
  Deployment Running("restarted", {{"ikeja"}, 2, 3});
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 40, 200);
  auto First = std::async(std::launch::async, [&] { return Running.submit("ikeja-1", Job); });
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Job["id"]) > 3; }));
  Running.entry("ikeja-1").kill();
  Running.startEntry("ikeja-1");
  Running.waitReady("ikeja-1");
  First.get();
  checkAnswer(Running, Job, Running.submit("ikeja-1", Job));
  checkAnswer(Running, Job, Running.submit("ikeja-2", Job));
  Running.checkGuarantees();
}

// Guards against requests that are dropped and outcomes that are lost by a planned stop.
BOOST_AUTO_TEST_CASE(RollingRestartUnderLoadCutsNothing) {
  Deployment Running("rolling-restart", {{"ikeja"}, 3, 4});
  for (const auto &Vm : Running.entryVms()) {
    std::vector<nlohmann::json> Jobs;
    std::vector<std::future<HttpReply>> Answers;
    for (unsigned Number = 0; Number < 6; ++Number) {
      Jobs.push_back(Deployment::job(Running.newIdentifier(Vm), 20, 100));
      Answers.push_back(std::async(std::launch::async, [&Running, &Vm, Job = Jobs.back()] {
        return Running.submit(Vm, Job);
      }));
    }
    BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Jobs[0]["id"]) > 0; }));
    Running.entry(Vm).terminate();
    for (std::size_t Number = 0; Number < Jobs.size(); ++Number) {
      auto Answer = Answers[Number].get();
      BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
      checkAnswer(Running, Jobs[Number], Answer);
    }
    BOOST_CHECK_EQUAL(Running.entry(Vm).waitForExit(40).value_or(-1), 0);
    // The successor keeps the outcomes of the process that stopped.
    const auto &Other = Vm == "ikeja-1" ? "ikeja-2" : "ikeja-1";
    auto Kept = Running.submit(Other, Jobs[0]);
    BOOST_CHECK_MESSAGE(Kept.Body.value("outcome", "") == "complete", Kept.Body.dump());
    Running.startEntry(Vm);
    Running.waitReady(Vm);
  }
  Running.checkGuarantees();
}
