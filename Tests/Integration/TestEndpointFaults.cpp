#include "Tests/Integration/Deployment.h"

#include <chrono>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;

namespace {

const DeploymentOptions OneDataCentre = {{"ikeja"}, 2, 3};

void control(const Deployment &Running, unsigned Endpoint, const nlohmann::json &Switches) {
  auto Reply =
      callHttp(Running.endpointPort("ikeja", Endpoint), "POST", "/control/", Switches.dump(), "");
  BOOST_REQUIRE_EQUAL(Reply.Status, 200);
}

} // namespace

// Guards against answers lost with connections that went silent, and against work queued behind
// them.
BOOST_AUTO_TEST_CASE(SilentConnectionsLoseNoAnswer) {
  Deployment Running("silent-connections", OneDataCentre);
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 40, 300);
  auto First = std::async(std::launch::async, [&] { return Running.submit("ikeja-1", Job, 60); });
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Job["id"]) > 5; }));
  Running.controlLink("endpoint-ikeja-*", "open", {{"action", "silence"}});
  auto Answer = First.get();
  BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
  checkAnswer(Running, Job, Answer);
  Running.checkGuarantees();
}

// Guards against a second start when the connection is lost after the start was written.
BOOST_AUTO_TEST_CASE(CutConnectionStartsNothingTwice) {
  Deployment Running("cut-connection", OneDataCentre);
  Running.controlLink("endpoint-ikeja-1", "rule",
                      {{"text", "POST /v1/tasks/"}, {"occurrence", 2}, {"action", "cut"}});
  Running.controlLink(
      "endpoint-ikeja-2", "rule",
      {{"text", "POST /v1/tasks/"}, {"occurrence", 3}, {"action", "swallow_reply"}});
  Running.controlLink("endpoint-ikeja-3", "rule",
                      {{"text", "POST /v1/tasks/"},
                       {"occurrence", 1},
                       {"action", "cut"},
                       {"before_forwarding", true}});
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 30, 100);
  auto Answer = Running.submit("ikeja-1", Job, 60);
  BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
  checkAnswer(Running, Job, Answer);
  Running.checkGuarantees();
}

// Guards against results given to the wrong task.
BOOST_AUTO_TEST_CASE(CrossedAnswersAreNotAccepted) {
  Deployment Running("crossed-answers", OneDataCentre);
  control(Running, 1, {{"crossed_answers", true}});
  auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 40, 50);
  checkAnswer(Running, Job, Running.submit("ikeja-1", Job, 60));
  Running.checkGuarantees();
}

// Guards against a worker that fails every task quickly and so attracts most of the load.
BOOST_AUTO_TEST_CASE(WorkerThatFailsEverythingIsLeftOut) {
  Deployment Running("black-hole", OneDataCentre);
  control(Running, 1, {{"fail_all", true}});
  unsigned Complete = 0;
  constexpr unsigned Jobs = 60;
  for (unsigned Number = 0; Number < Jobs; ++Number) {
    auto Job = Deployment::job(Running.newIdentifier("ikeja-1"), 1, 20);
    auto Answer = Running.submit("ikeja-1", Job);
    checkAnswer(Running, Job, Answer);
    Complete += Answer.Body.value("outcome", "") == "complete" ? 1 : 0;
  }
  // One of three workers fails everything; without ejection a third of the jobs or more would fail.
  BOOST_CHECK_GE(Complete, Jobs * 8 / 10);
  Running.checkGuarantees();
}

// Guards against wrong outcomes after many cancellations of jobs, some of which have started.
BOOST_AUTO_TEST_CASE(CancellationWaveTellsTheTruth) {
  Deployment Running("cancellation-wave", OneDataCentre);
  std::vector<nlohmann::json> Jobs;
  for (unsigned Number = 0; Number < 40; ++Number) {
    Jobs.push_back(Deployment::job(Running.newIdentifier("ikeja-1"), 10, 100));
    Running.call("ikeja-1", "POST", "/v1/jobs", Jobs.back());
  }
  for (std::size_t Number = 4; Number < Jobs.size(); ++Number)
    Running.call("ikeja-1", "DELETE", "/v1/jobs/" + Jobs[Number]["id"].get<std::string>());
  for (const auto &Job : Jobs)
    checkAnswer(Running, Job, Running.submit("ikeja-1", Job, 60));
  Running.checkGuarantees();
}

// Guards against new tasks for an endpoint that is marked as leaving only in the platform's list,
// which lags.
BOOST_AUTO_TEST_CASE(ListedAsLeavingGetsNoNewWork) {
  constexpr auto VmListUpdateLimit = std::chrono::seconds(3);
  Deployment Running("listed-as-leaving", OneDataCentre);
  Running.markLeaving("ikeja-w1");
  std::this_thread::sleep_for(VmListUpdateLimit);
  for (const auto &Vm : Running.entryVms()) {
    auto Job = Deployment::job(Running.newIdentifier(Vm), 60, 30);
    auto Answer = Running.submit(Vm, Job);
    BOOST_CHECK_EQUAL(Answer.Body.value("outcome", ""), "complete");
    checkAnswer(Running, Job, Answer);
  }
  BOOST_CHECK_EQUAL(Running.startsAt("ikeja", 1), 0);
  Running.checkGuarantees();
}
