#include "Tests/Integration/HttpCall.h"
#include "Tests/Integration/PoolDeployment.h"
#include "Utilities/Operator/Explanation.h"
#include "Utilities/Operator/PlacementQuestion.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;
using namespace std::chrono_literals;

namespace {

/// A job that is posted on a thread of its own.
class PostedJob {
public:
  PostedJob(std::uint16_t Port, int Tasks, int RunMilliseconds, int TimeoutMilliseconds)
      : Key(newJobKey()), Thread_([this, Port, Tasks, RunMilliseconds, TimeoutMilliseconds] {
          Reply_ = postJob(Port, Key, Tasks, RunMilliseconds, "", TimeoutMilliseconds);
        }) {}
  ~PostedJob() {
    if (Thread_.joinable())
      Thread_.join();
  }

  const JobReply &reply() {
    if (Thread_.joinable())
      Thread_.join();
    return Reply_;
  }

  const std::string Key;

private:
  JobReply Reply_;
  std::thread Thread_;
};

/// What `cornellift-operator explain` prints, from the logs of all VMs as OPERATIONS.md describes.
std::string explain(PoolDeployment &Deployment, const std::string &Job) {
  cornellift::operators::Explanation Explained(Job);
  for (const auto &Vm : Deployment.vms()) {
    std::ifstream Log(Vm.LogFile);
    Explained.read(Log, Vm.Name);
  }
  return Explained.render();
}

/// Checks that the job's explanation contains the texts within two seconds; log lines may be
/// written after the answer.
void checkExplained(PoolDeployment &Deployment, const std::string &Job,
                    const std::vector<std::string> &Texts) {
  std::string Explained;
  for (int Try = 0; Try < 20; ++Try) {
    Explained = explain(Deployment, Job);
    bool HasAll = true;
    for (const auto &Text : Texts)
      HasAll = HasAll && Explained.find(Text) != std::string::npos;
    if (HasAll)
      return;
    std::this_thread::sleep_for(100ms);
  }
  for (const auto &Text : Texts)
    BOOST_CHECK_MESSAGE(Explained.find(Text) != std::string::npos, "not found: " << Text);
  BOOST_TEST_MESSAGE(Explained);
}

/// Worker of the job's latest run once the job has had Count runs; empty after two seconds.
std::string workerOfRun(PoolDeployment &Deployment, const std::string &Job, std::size_t Count) {
  for (int Try = 0; Try < 100; ++Try) {
    std::vector<ObservedRun> Runs;
    for (auto &Run : Deployment.runs())
      if (Run.Job == Job)
        Runs.push_back(std::move(Run));
    if (Runs.size() == Count)
      return std::max_element(Runs.begin(), Runs.end(),
                              [](const auto &One, const auto &Other) {
                                return One.FromMicroseconds < Other.FromMicroseconds;
                              })
          ->Worker;
    std::this_thread::sleep_for(20ms);
  }
  return {};
}

} // namespace

// Guards against a rejection under load whose cause cannot be found from the request's id.
BOOST_AUTO_TEST_CASE(ARefusalUnderLoadIsExplained) {
  PoolDeployment Deployment("PoolExplainRefusal", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  std::vector<std::unique_ptr<PostedJob>> Jobs;
  // Each job needs a third of all workers for 400 ms.
  constexpr int Count = 40;
  Jobs.reserve(Count);
  for (int Number = 0; Number < Count; ++Number)
    Jobs.push_back(std::make_unique<PostedJob>(Deployment.vms()[0].CallerPort, 10, 400, 1500));
  const PostedJob *Refused = nullptr;
  for (auto &Job : Jobs)
    if (Job->reply().Status == 503)
      Refused = Job.get();
  BOOST_REQUIRE(Refused);
  checkExplained(Deployment, Refused->Key,
                 {"job received", "wait_ms=", "job ended without success in time",
                  "why=too much work waits for the workers", "outcome=rejected", "status=503"});
}

// Guards against a late answer whose cause, a worker that restarted during the run, is not found.
BOOST_AUTO_TEST_CASE(ALateAnswerAfterALostWorkerIsExplained) {
  PoolDeployment Deployment("PoolExplainLate", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  PostedJob Job(Deployment.vms()[0].CallerPort, 1, 1000, 8000);
  std::string Worker;
  for (std::size_t Runs = 1; Runs <= 2; ++Runs) {
    Worker = workerOfRun(Deployment, Job.Key, Runs);
    BOOST_REQUIRE(!Worker.empty());
    std::this_thread::sleep_for(700ms);
    Deployment.control("POST", "/worker/restart?id=" + Worker);
  }
  BOOST_TEST(Job.reply().Status == 200);
  checkExplained(Deployment, Job.Key,
                 {"task started", "worker restarted", "outcome=lost", "worker=" + Worker,
                  "why=completed late", "status=200"});
}

// Guards against a failure without a visible cause after the process that managed the job was
// killed.
BOOST_AUTO_TEST_CASE(AJobOfAKilledManagerIsExplained) {
  PoolDeployment Deployment("PoolExplainKill", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Manager = Deployment.managerOf("ikeja");
  BOOST_REQUIRE(!Manager.empty());
  auto Receiver = Manager == "ikeja-1" ? "ikeja-2" : "ikeja-1";
  PostedJob Job(Deployment.vm(Receiver).CallerPort, 2, 1500, 8000);
  std::this_thread::sleep_for(500ms);
  Deployment.vm(Manager).Process->kill();
  BOOST_TEST(Job.reply().Status == 504);
  checkExplained(
      Deployment, Job.Key,
      {"job received", "peer lost", "vm=" + Manager, "outcome=manager_lost", "status=504"});
}

// Guards against a question that ends at a VM which doesn't manage the data centre, and against one
// that is counted or started as a job.
BOOST_AUTO_TEST_CASE(TheManagerIsAskedWhereAJobWouldGo) {
  using namespace cornellift;
  PoolDeployment Deployment("PoolExplainWhere", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Manager = Deployment.managerOf("ikeja");
  BOOST_REQUIRE(!Manager.empty());
  auto AddressOf = [&](const std::string &Vm) {
    return "127.0.0.1:" + std::to_string(Deployment.vm(Vm).MetricsPort);
  };
  auto Other = Manager == "ikeja-1" ? "ikeja-2" : "ikeja-1";
  auto Ask = [&](const std::vector<std::string> &Entries, const std::string &Path) {
    operators::OperatorClient Client({Entries, "", ""});
    return operators::PlacementQuestion(Client, core::MonotonicClock::now() + 5s)
        .ask({PoolHost, Path, 0, jobBody(2, 100, "")});
  };
  auto Alone = Ask({AddressOf(Other)}, PoolPrefix);
  BOOST_TEST(Alone.Problem.find("manager of VM " + Manager) != std::string::npos);
  auto Answer = Ask({AddressOf(Other), AddressOf(Manager)}, PoolPrefix);
  BOOST_REQUIRE_MESSAGE(Answer.Status == core::ExitStatus::Success, Answer.Problem);
  BOOST_TEST(Answer.Report.at("manager") == Manager);
  BOOST_TEST(Answer.Report.at("steps").at(0).at("outlook") == "starts");
  BOOST_TEST(Answer.Report.at("steps").at(0).at("eligible_total") == 8);
  auto Unrouted = Ask({AddressOf(Manager)}, "/none/");
  BOOST_TEST(Unrouted.Problem.find("no route") != std::string::npos);
  std::this_thread::sleep_for(200ms);
  BOOST_TEST(Deployment.runs().empty());
  BOOST_TEST(
      PoolDeployment::metric(Deployment.vm(Manager), "cornellift_starts_total").value_or(1) == 0);
}
