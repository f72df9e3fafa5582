#include "Tests/Integration/Eventually.h"
#include "Tests/Integration/HttpCall.h"
#include "Tests/Integration/PoolDeployment.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include <csignal>

#include <httplib.h>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;
using namespace std::chrono_literals;

namespace {

/// Callers that post jobs to the given VMs in rotation until finish() is called.
class Load {
public:
  Load(const std::vector<std::uint16_t> &Ports, int Callers, int RunMilliseconds) {
    for (int Each = 0; Each < Callers; ++Each)
      Threads_.emplace_back([this, Ports, Each, RunMilliseconds] {
        for (std::size_t Turn = static_cast<std::size_t>(Each); !Stopping_; ++Turn)
          record(postJob(Ports[Turn % Ports.size()], newJobKey(), 2, RunMilliseconds));
      });
  }
  ~Load() { finish(); }

  void finish() {
    Stopping_ = true;
    for (auto &Thread : Threads_)
      if (Thread.joinable())
        Thread.join();
  }

  int completed() const { return Completed_; }
  /// Jobs that were neither completed nor rejected as not run, by status; 0 for no complete answer.
  std::multiset<int> others() {
    std::lock_guard Guard(Mutex_);
    return Others_;
  }

private:
  void record(const JobReply &Reply) {
    if (Reply.Status == 200 && Reply.State == "completed") {
      ++Completed_;
      return;
    }
    if (Reply.Status == 503) {
      std::this_thread::sleep_for(50ms);
      return;
    }
    std::lock_guard Guard(Mutex_);
    Others_.insert(Reply.Status);
  }

  std::vector<std::thread> Threads_;
  std::atomic<bool> Stopping_{false};
  std::atomic<int> Completed_{0};
  std::mutex Mutex_;
  std::multiset<int> Others_;
};

std::string contentOf(const std::string &File) {
  std::ifstream In(File);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

} // namespace

// Checks a job from submission to answer: every task runs once, on workers of both data centres if
// needed, and the caller gets the outcome.
BOOST_AUTO_TEST_CASE(JobRunsOnceAndIsAnswered) {
  PoolDeployment Deployment("PoolJob", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Key = newJobKey();
  // 40 tasks of 2 cores need more than the 32 cores of one data centre.
  auto Reply = postJob(Deployment.vms().front().CallerPort, Key, 40, 200);
  BOOST_TEST(Reply.Status == 200);
  BOOST_TEST(Reply.State == "completed");
  std::set<int> Indexes;
  for (const auto &Run : Deployment.runs())
    if (Run.Job == Key && Run.End == "done")
      Indexes.insert(Run.Index);
  BOOST_TEST(Indexes.size() == 40U);
  BOOST_TEST(Deployment.overlaps().empty());
}

// Guards against a repeated submission that runs the tasks again: a caller whose answer was lost
// sends the job again, to any VM.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionGetsTheSameAnswer) {
  PoolDeployment Deployment("PoolRepeat", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Key = newJobKey();
  BOOST_TEST(postJob(Deployment.vms()[0].CallerPort, Key, 3, 50).State == "completed");
  BOOST_TEST(postJob(Deployment.vms()[1].CallerPort, Key, 3, 50).State == "completed");
  int Starts = 0;
  for (const auto &Run : Deployment.runs())
    Starts += Run.Job == Key ? 1 : 0;
  BOOST_TEST(Starts == 3);
}

// Guards against rejections of jobs that have run, and against rejections without a retry time.
BOOST_AUTO_TEST_CASE(RefusalsAreTrueAndSayWhenToComeBack) {
  PoolDeployment Deployment("PoolRefusals", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Port = Deployment.vms().front().CallerPort;
  BOOST_TEST(callHttp(Port, "POST", "/unknown/" + newJobKey(), "{}", "").Status == 404);
  // A task that needs more than any worker has can never run.
  httplib::Client Client("127.0.0.1", Port);
  httplib::Headers Headers = {{"Host", PoolHost}, {"Deadline-Ms", "3000"}};
  auto Post = [&](const std::string &Body) {
    return Client.Post(PoolPrefix + newJobKey(), Headers, Body, "application/json");
  };
  auto TooLarge = Post(R"({"spec":"","bestEffort":true,"phases":[{"count":1,"cpu":99000}]})");
  BOOST_REQUIRE(TooLarge);
  BOOST_TEST(TooLarge->status == 503);
  BOOST_TEST(TooLarge->has_header("Retry-After"));
  auto Kept = Post(R"({"spec":"","phases":[{"count":1,"cpu":1000}]})");
  BOOST_REQUIRE(Kept);
  BOOST_TEST(Kept->status == 503);
  BOOST_TEST(Kept->has_header("Retry-After"));
  auto Gang =
      Post(R"({"spec":"","bestEffort":true,"phases":[{"count":2,"cpu":1000,"gang":true}]})");
  BOOST_REQUIRE(Gang);
  BOOST_TEST(Gang->status == 503);
  BOOST_TEST(Gang->has_header("Retry-After"));
  auto Malformed = Post("{");
  BOOST_REQUIRE(Malformed);
  BOOST_TEST(Malformed->status == 400);
  BOOST_TEST(Deployment.runs().empty());
}

// Guards against jobs that run twice, or not at all, after the manager of their workers died.
BOOST_AUTO_TEST_CASE(KilledManagerIsReplaced) {
  PoolDeployment Deployment("PoolKill", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Manager = Deployment.managerOf("ikeja");
  BOOST_REQUIRE(!Manager.empty());
  std::vector<std::uint16_t> Ports;
  for (auto &Vm : Deployment.vms())
    if (Vm.Name != Manager)
      Ports.push_back(Vm.CallerPort);
  Load Callers(Ports, 8, 60);
  std::this_thread::sleep_for(1s);
  Deployment.vm(Manager).Process->kill();
  auto IsReplaced = [&] { return !Deployment.managerOf("ikeja").empty(); };
  BOOST_TEST(eventually(IsReplaced, 4s));
  std::this_thread::sleep_for(1500ms);
  auto Before = Callers.completed();
  std::this_thread::sleep_for(1s);
  BOOST_TEST(Callers.completed() > Before + 20);
  Callers.finish();
  BOOST_TEST(Deployment.overlaps().empty());
}

// Guards against planned stops that drop requests or leave workers without a manager. Every caller
// of the stopping VM gets its answer, and callers of the other VMs are not affected.
BOOST_AUTO_TEST_CASE(PlannedStopCutsNoRequest) {
  PoolDeployment Deployment("PoolStop", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Manager = Deployment.managerOf("ikeja");
  std::vector<std::uint16_t> Ports;
  for (auto &Vm : Deployment.vms())
    if (Vm.Name != Manager)
      Ports.push_back(Vm.CallerPort);
  Load Others(Ports, 6, 100);
  constexpr int OwnCallers = 6;
  std::vector<std::thread> Own;
  Own.reserve(OwnCallers);
  std::atomic<int> Whole{0};
  for (int Each = 0; Each < OwnCallers; ++Each)
    Own.emplace_back([&] {
      if (postJob(Deployment.vm(Manager).CallerPort, newJobKey(), 2, 700).State == "completed")
        ++Whole;
    });
  std::this_thread::sleep_for(300ms);
  Deployment.vm(Manager).Process->terminate();
  for (auto &Thread : Own)
    Thread.join();
  BOOST_TEST(Whole == 6);
  auto Status = Deployment.vm(Manager).Process->waitForExit(8);
  BOOST_REQUIRE(Status);
  BOOST_TEST(*Status == 0);
  std::this_thread::sleep_for(500ms);
  Others.finish();
  BOOST_TEST(Others.others().empty());
  BOOST_TEST(!Deployment.managerOf("ikeja").empty());
  BOOST_TEST(Deployment.overlaps().empty());
}

// Guards against requests that a stopping VM takes and then cuts off: it ended with all that were
// open. The load balancer uses such a VM until its end if too few others of its data centre are
// left.
BOOST_AUTO_TEST_CASE(APlannedStopAnswersEachRequestThatItTakes) {
  constexpr int CallerCount = 8;
  constexpr auto RunTime = 600ms;
  constexpr auto LossSlack = 200ms; // The platform's bound for a request that was not passed on.
  PoolDeployment Deployment("PoolStopLate", {{"ikeja"}, 2, 4, "1", 3});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto &Stopped = Deployment.vms().front();
  std::atomic<bool> HasEnded{false};
  std::mutex Mutex;
  std::set<std::string> Unanswered;
  int HeldAndCut = 0;
  int Completed = 0;
  int Refused = 0;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int Each = 0; Each < CallerCount; ++Each)
    Callers.emplace_back([&, Each] {
      std::this_thread::sleep_for(Each * RunTime / CallerCount);
      while (!HasEnded) {
        auto Key = newJobKey();
        auto SentAt = std::chrono::steady_clock::now();
        auto Reply = postJob(Stopped.CallerPort, Key, 1, RunTime / 1ms);
        bool WasHeld = std::chrono::steady_clock::now() - SentAt > LossSlack;
        if (!Reply.WasConnected || Reply.Status == 503)
          std::this_thread::sleep_for(20ms);
        std::lock_guard Guard(Mutex);
        Completed += Reply.State == "completed" ? 1 : 0;
        Refused += Reply.Status == 503 && Reply.RetryAfterSeconds > 0 ? 1 : 0;
        if (!Reply.WasConnected || Reply.Status != 0)
          continue;
        HeldAndCut += WasHeld ? 1 : 0;
        Unanswered.insert(Key);
      }
    });
  std::this_thread::sleep_for(300ms);
  Stopped.Process->terminate();
  auto Status = Stopped.Process->waitForExit(5);
  HasEnded = true;
  for (auto &Thread : Callers)
    Thread.join();
  BOOST_REQUIRE(Status);
  BOOST_TEST(*Status == 0);
  BOOST_TEST(HeldAndCut == 0);
  for (const auto &Run : Deployment.runs())
    BOOST_TEST(!Unanswered.contains(Run.Job), "cut although it was passed on: " << Run.Job);
  BOOST_TEST(Completed > CallerCount);
  BOOST_TEST(Refused > 0);
}

// Checks configuration changes: a new route is served everywhere within two seconds, also by a VM
// that does not reach the store, and an unreadable or older document changes nothing.
BOOST_AUTO_TEST_CASE(ConfigurationReachesVmsWithoutStore) {
  PoolDeployment Deployment("PoolConfiguration", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  BOOST_REQUIRE(Deployment.controlLink("store-yaba-2", "admission", {{"mode", "refuse"}}));
  BOOST_REQUIRE(Deployment.controlLink("store-yaba-2", "open", {{"action", "cut"}}));
  Deployment.configure(5, {PoolPrefix, "/new/"});
  auto HasVersion = [&](double Version) {
    for (auto &Vm : Deployment.vms())
      if (PoolDeployment::metric(Vm, "cornellift_configuration_version") != Version)
        return false;
    return true;
  };
  BOOST_TEST(eventually([&] { return HasVersion(5); }, 2s));
  Deployment.configure(4, {PoolPrefix});
  Deployment.control("POST", "/configuration", "not a configuration");
  std::this_thread::sleep_for(500ms);
  BOOST_TEST(HasVersion(5));
  auto Log = contentOf(Deployment.vms().front().LogFile);
  BOOST_TEST(Log.find("configuration cannot be read") != std::string::npos);
}

// Guards against a store outage that stops the service: running managers continue, and the
// successor of a killed one takes over with what it already knows.
BOOST_AUTO_TEST_CASE(StoreOutageStopsNothing) {
  PoolDeployment Deployment("PoolStoreAway", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  Deployment.control("POST", "/store?mode=silent");
  auto Manager = Deployment.managerOf("ikeja");
  std::string Other = Manager == "ikeja-1" ? "ikeja-2" : "ikeja-1";
  Load Callers({Deployment.vm(Other).CallerPort}, 4, 50);
  std::this_thread::sleep_for(1500ms);
  BOOST_TEST(Callers.completed() > 20);
  Deployment.vm(Manager).Process->kill();
  BOOST_TEST(eventually([&] { return Deployment.managerOf("ikeja") == Other; }, 5s));
  std::this_thread::sleep_for(1s);
  auto Before = Callers.completed();
  std::this_thread::sleep_for(1s);
  BOOST_TEST(Callers.completed() > Before + 10);
  Callers.finish();
  BOOST_TEST(Deployment.overlaps().empty());
}

// Checks the leases: a paused manager that resumes commands no workers that another one has claimed
// meanwhile, and no task runs twice at the same time.
BOOST_AUTO_TEST_CASE(PausedManagerWakesUpHarmless) {
  PoolDeployment Deployment("PoolPause", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Manager = Deployment.managerOf("ikeja");
  std::string Other = Manager == "ikeja-1" ? "ikeja-2" : "ikeja-1";
  Load Callers({Deployment.vm(Other).CallerPort, Deployment.vm("yaba-1").CallerPort}, 8, 150);
  for (auto Span : {500ms, 1500ms, 3000ms}) {
    std::this_thread::sleep_for(700ms);
    Deployment.vm(Manager).Process->pause();
    std::this_thread::sleep_for(Span);
    Deployment.vm(Manager).Process->resume();
  }
  std::this_thread::sleep_for(2s);
  auto Before = Callers.completed();
  std::this_thread::sleep_for(1s);
  BOOST_TEST(Callers.completed() > Before + 10);
  Callers.finish();
  BOOST_TEST(Deployment.overlaps().empty());
}

// Guards against a leaving worker that still gets tasks two seconds after its entry says so.
BOOST_AUTO_TEST_CASE(LeavingWorkerGetsNoNewTasks) {
  PoolDeployment Deployment("PoolDrain", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  Load Callers({Deployment.vms()[0].CallerPort, Deployment.vms()[2].CallerPort}, 8, 40);
  std::this_thread::sleep_for(500ms);
  auto Early = Deployment.runs();
  BOOST_REQUIRE(!Early.empty());
  auto Leaving = Early.back().Worker;
  Deployment.control("POST", "/worker?id=" + Leaving + "&drain=1");
  std::this_thread::sleep_for(2s);
  auto Count = [&] {
    std::size_t Sum = 0;
    for (const auto &Run : Deployment.runs())
      Sum += Run.Worker == Leaving ? 1 : 0;
    return Sum;
  };
  auto Before = Count();
  BOOST_TEST(Before > 0U);
  std::this_thread::sleep_for(1500ms);
  BOOST_TEST(Count() == Before);
  Callers.finish();
}

// Guards against a reload on SIGHUP that is not carried out or that stops the service, and against
// wrong settings that come into force or end the process.
BOOST_AUTO_TEST_CASE(WrongSettingsKeepTheOldOnes) {
  PoolDeployment Deployment("PoolReload", {{"ikeja"}, 1, 2, "1", 6});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto &Vm = Deployment.vms().front();
  auto Reload = [&](const std::string &Settings, const std::string &Line) {
    auto LengthBefore = contentOf(Vm.LogFile).size();
    std::ofstream(Vm.SettingsFile) << Settings;
    BOOST_REQUIRE(::kill(Vm.Process->id(), SIGHUP) == 0);
    auto HasRead = [&] {
      return contentOf(Vm.LogFile).find(Line, LengthBefore) != std::string::npos;
    };
    BOOST_TEST(eventually(HasRead, 2s), Settings);
    BOOST_TEST(postJob(Vm.CallerPort, newJobKey(), 1, 20).State == "completed");
  };
  Reload("remote-factor=2\n", "settings read again");
  Reload("remote-factor=none\n", "the previous ones stay in force");
  Reload("no-such-setting=1\n", "settings read again"); // From a later release.
  Reload("remote-factor=0.5\n", "the previous ones stay in force");
  // The memory for callers is as by default, so that only the manager's limit changes.
  Reload("memory-megabytes=200\ncaller-memory-megabytes=128\n", "\"after_restart\": \"true\"");
}

// Guards against a number of waiting jobs that other VMs report after the jobs have ended.
BOOST_AUTO_TEST_CASE(OtherVmsLearnThatNoJobWaits) {
  PoolDeployment Deployment("PoolBacklog", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto WaitingJobs = [&](const PoolVm &Vm) {
    httplib::Client Caller("127.0.0.1", Vm.CallerPort);
    auto Reply = Caller.Get(PoolPrefix, {{"Host", PoolHost}});
    return Reply ? nlohmann::json::parse(Reply->body).value("queuedCount", -1) : -1;
  };
  const auto &Other = Deployment.vms().back();
  constexpr int Callers = 80; // More tasks than the workers run at a time.
  Load Waiting({Deployment.vms()[0].CallerPort}, Callers, 600);
  BOOST_TEST(eventually([&] { return WaitingJobs(Other) > 0; }, 10s));
  Waiting.finish();
  BOOST_TEST(eventually([&] { return WaitingJobs(Other) == 0; }, 5s));
}

// Guards against a cancelling that is answered with 410 because it arrives at another VM than the
// job, which then runs on, and against a late copy of the job that runs after it.
BOOST_AUTO_TEST_CASE(ACancellingHoldsWhereverItArrives) {
  PoolDeployment Deployment("Cancelling", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Cancel = [](const PoolVm &Vm, const std::string &Key) {
    httplib::Client Client("127.0.0.1", Vm.CallerPort);
    auto Reply = Client.Delete(PoolPrefix + Key, {{"Host", PoolHost}});
    return Reply ? Reply->status : 0;
  };
  for (auto &Vm : Deployment.vms()) {
    auto Key = newJobKey();
    auto &First = Deployment.vms().front();
    JobReply Posted;
    std::thread Caller([&] { Posted = postJob(First.CallerPort, Key, 4, 3000); });
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(Cancel(Vm, Key) == 200, Vm.Name);
    Caller.join();
    BOOST_TEST(Posted.Status == 200);
    BOOST_TEST(Posted.State == "cancelled");
    for (auto &Copied : Deployment.vms())
      BOOST_TEST(postJob(Copied.CallerPort, Key, 4, 3000).State == "cancelled");
  }
  std::this_thread::sleep_for(300ms); // A stop takes up to 50 ms.
  for (const auto &Run : Deployment.runs())
    BOOST_TEST(Run.End == "stopped");
  BOOST_TEST(Deployment.runs().size() == 4 * Deployment.vms().size());
  BOOST_TEST(Cancel(Deployment.vms().back(), newJobKey()) == 410);
}

// Guards against a cancelling that is answered as if no such job existed while the VM that has it
// is out of reach, and that this VM never learns of: it ran the job on once it was back.
BOOST_AUTO_TEST_CASE(AVmThatWasOutOfReachLearnsOfACancelling) {
  PoolDeployment Deployment("CancellingOutOfReach", {{"ikeja", "yaba"}, 1, 4, "1", 6});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto &Away = Deployment.vm("ikeja-1");
  auto Key = newJobKey();
  JobReply Posted;
  // More tasks than run at a time, so that the VM would go on starting some.
  std::thread Caller([&] { Posted = postJob(Away.CallerPort, Key, 80, 900, "", 15000); });
  std::this_thread::sleep_for(500ms);
  Away.Process->pause();
  std::this_thread::sleep_for(1500ms); // The others have noticed.
  httplib::Client Client("127.0.0.1", Deployment.vm("yaba-1").CallerPort);
  auto Cancelled = Client.Delete(PoolPrefix + Key, {{"Host", PoolHost}});
  std::this_thread::sleep_for(1s);
  Away.Process->resume();
  Caller.join();
  BOOST_REQUIRE(Cancelled);
  BOOST_TEST(Cancelled->status == 202);
  BOOST_TEST(Posted.State == "cancelled");
  std::this_thread::sleep_for(300ms); // A stop takes up to 50 ms.
  auto Count = Deployment.runs().size();
  BOOST_TEST(Count < 80U);
  for (const auto &Run : Deployment.runs())
    BOOST_TEST(Run.ToMicroseconds != 0);
  std::this_thread::sleep_for(1s);
  BOOST_TEST(Deployment.runs().size() == Count);
}

// Guards against a copy of a cancelled job that runs on a VM which was started after the
// cancelling.
BOOST_AUTO_TEST_CASE(AVmThatStartsLearnsOfEarlierCancellings) {
  PoolDeployment Deployment("CancellingBeforeStart", {{"ikeja", "yaba"}, 1, 4, "1", 6});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto &Restarted = Deployment.vm("ikeja-1");
  auto Key = newJobKey();
  httplib::Client Client("127.0.0.1", Deployment.vm("yaba-1").CallerPort);
  auto Cancelled = Client.Delete(PoolPrefix + Key, {{"Host", PoolHost}});
  BOOST_REQUIRE(Cancelled);
  BOOST_TEST(Cancelled->status == 410);
  Restarted.Process->kill();
  Deployment.startVm(Restarted);
  BOOST_REQUIRE(Deployment.waitUntilReady());
  BOOST_TEST(postJob(Restarted.CallerPort, Key, 1, 50).State == "cancelled");
  BOOST_TEST(Deployment.runs().empty());
}

// Guards against refusals that no metric shows.
BOOST_AUTO_TEST_CASE(EachRefusalIsCounted) {
  PoolDeployment Deployment("Refusals", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  const auto &Vm = Deployment.vms().front();
  httplib::Client Client("127.0.0.1", Vm.CallerPort);
  httplib::Headers Headers = {{"Host", PoolHost}};
  auto Target = PoolPrefix + newJobKey();
  auto NotAllowed = Client.Put(Target, Headers, "", "application/json");
  auto Unsupported = Client.Post(
      Target, Headers, R"({"spec":"s","bestEffort":true,"gang":true,"phases":[{"count":1}]})",
      "application/json");
  BOOST_REQUIRE(NotAllowed);
  BOOST_REQUIRE(Unsupported);
  for (const auto &Reply : {NotAllowed->status, Unsupported->status}) {
    auto Name = "cornellift_requests_refused_total{status=\"" + std::to_string(Reply) + "\"}";
    BOOST_TEST(PoolDeployment::metric(Vm, Name).value_or(0) == 1, Name);
  }
}
