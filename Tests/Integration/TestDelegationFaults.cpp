#include "Tests/Integration/Deployment.h"

#include <future>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;

// Guards against jobs that wait for slots of lost endpoints while another data centre has idle
// ones: a peer that has not called the lost endpoints yet still counts their slots as free.
BOOST_AUTO_TEST_CASE(DataCentreWithoutWorkersDelegates) {
  Deployment Running("lost-workers", {{"ikeja", "yaba"}, 2, 6});
  // The process that runs the job detects the loss; its peer in the data centre does not.
  auto Lost = Deployment::job(Running.newIdentifier("yaba-1"), 96, 800);
  auto First = std::async(std::launch::async, [&] { return Running.submit("yaba-1", Lost); });
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Lost["id"]) >= 40; }));
  Running.endpoints("yaba").kill();
  checkAnswer(Running, Lost, First.get());
  for (int Repetition = 0; Repetition < 2; ++Repetition) {
    auto Job = Deployment::job(Running.newIdentifier("yaba-1"), 40, 50);
    // Far less than the time until a lost endpoint is tried again.
    auto Answer = Running.submit("yaba-1", Job, 10);
    BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
    checkAnswer(Running, Job, Answer);
  }
  Running.checkGuarantees();
}

// Guards against tasks started at a leaving endpoint that the configuration still lists.
BOOST_AUTO_TEST_CASE(LeavingEndpointsCutNothing) {
  Deployment Running("leaving-endpoints", {{"ikeja", "yaba"}, 1, 2});
  std::vector<std::future<HttpReply>> Answers;
  std::vector<nlohmann::json> Jobs;
  for (unsigned Number = 0; Number < 4; ++Number) {
    Jobs.push_back(Deployment::job(Running.newIdentifier("ikeja-1"), 12, 150));
    Answers.push_back(std::async(std::launch::async, [&Running, Job = Jobs.back()] {
      return Running.submit("ikeja-1", Job, 60);
    }));
  }
  BOOST_REQUIRE(waitUntil([&] { return Running.startsOfJob(Jobs[0]["id"]) > 0; }));
  Running.endpoints("ikeja").terminate();
  for (std::size_t Number = 0; Number < Jobs.size(); ++Number) {
    auto Answer = Answers[Number].get();
    BOOST_CHECK_MESSAGE(Answer.Body.value("outcome", "") == "complete", Answer.Body.dump());
    checkAnswer(Running, Jobs[Number], Answer);
  }
  Running.checkGuarantees();
}
