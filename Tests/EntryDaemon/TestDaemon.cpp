#include "Libraries/LibCore/Log.h"
#include "Services/EndpointStandIn/StandInApi.h"
#include "Services/EntryDaemon/Daemon.h"

#include <filesystem>
#include <fstream>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornellift;
using Json = nlohmann::json;

namespace {

/// One entry process and two endpoints that run inside the test process.
class TestCluster {
public:
  TestCluster()
      : Directory_(std::filesystem::temp_directory_path() /
                   ("cornellift-daemon-" + std::to_string(::getpid()))),
        Log_((std::filesystem::create_directories(Directory_), Directory_ / "tasks.log").string()),
        First_({"w1", 4, 1, {}}, 64, Log_), Second_({"w2", 4, 1, {}}, 64, Log_) {
    core::configureLog("error", "");
    BOOST_REQUIRE(First_.start("127.0.0.1", 0));
    BOOST_REQUIRE(Second_.start("127.0.0.1", 0));
    Json Endpoints;
    for (auto *Endpoint : {&First_, &Second_})
      Endpoints["w" + std::to_string(Endpoint->port())] = {
          {"address", "127.0.0.1:" + std::to_string(Endpoint->port())},
          {"data_centre", "ikeja"},
          {"rack", "r1"},
          {"services", {"slips"}},
          {"slots", 4},
          {"connections", 64},
          {"capacity", {{"processors", 16}, {"memory_mb", 65536}}}};
    Json Document = {
        {"services", {{"slips", {{"kinds", {{"batch", {{"expected_run_time_ms", 5}}}}}}}}},
        {"teams", {{"counter", {{"quota_share", 1}}}, {"office", {{"quota_share", 1}}}}},
        {"endpoints", Endpoints}};
    auto File = (Directory_ / "document.json").string();
    std::ofstream(File) << Document.dump();
    std::vector<const char *> Arguments = {"entryd",
                                           "--vm-name",
                                           "ikeja-1",
                                           "--data-centre",
                                           "ikeja",
                                           "--http-port",
                                           "0",
                                           "--configuration-file",
                                           File.c_str(),
                                           "--team-keys",
                                           "counter=c,office=o"};
    auto Settings = entry::DaemonSettings::parse(Arguments);
    BOOST_REQUIRE_MESSAGE(Settings, core::lastReason().Message);
    Daemon_ = std::make_unique<entry::Daemon>(std::move(*Settings));
    BOOST_REQUIRE_MESSAGE(Daemon_->start(), core::lastReason().Message);
  }

  ~TestCluster() {
    Daemon_->stop();
    First_.stop();
    Second_.stop();
    std::filesystem::remove_all(Directory_);
  }

  entry::Daemon &daemon() { return *Daemon_; }
  std::string endpointAddress() const { return "127.0.0.1:" + std::to_string(First_.port()); }

  Json send(const char *Method, const std::string &Path, const std::string &Body = "",
            const char *Key = "c") {
    httplib::Client Client("127.0.0.1", Daemon_->http().port());
    Client.set_read_timeout(std::chrono::seconds(60));
    httplib::Request Request;
    Request.method = Method;
    Request.path = Path;
    Request.body = Body;
    Request.set_header("X-Cornellift-Key", Key);
    auto Result = Client.send(Request);
    BOOST_REQUIRE(Result);
    auto Parsed = Json::parse(Result->body, nullptr, false);
    BOOST_REQUIRE_MESSAGE(Parsed.is_object(), Result->body);
    Parsed["status"] = Result->status;
    return Parsed;
  }

  void control(const Json &Switches) {
    for (auto *Endpoint : {&First_, &Second_})
      BOOST_REQUIRE(httplib::Client("127.0.0.1", Endpoint->port())
                        .Post("/control/", Switches.dump(), "application/json"));
  }

  void leaveFirst() { First_.leave(); }

  std::string newIdentifier(const char *Key = "c") {
    auto Block = send("POST", "/v1/sessions", "", Key)["identifiers"];
    return Block["issuer"].get<std::string>() + "." + Block["first"].dump();
  }

  std::size_t countStarts() const {
    std::ifstream File(Directory_ / "tasks.log");
    std::size_t Count = 0;
    for (std::string Line; std::getline(File, Line);)
      Count += Json::parse(Line)["event"] == "start" ? 1 : 0;
    return Count;
  }

  static std::string waiting() {
    return "?wait_until=" + std::to_string(core::wallClockMilliseconds() + 30000);
  }

private:
  const std::filesystem::path Directory_;
  standin::StandInLog Log_;
  standin::StandInApi First_;
  standin::StandInApi Second_;
  std::unique_ptr<entry::Daemon> Daemon_;
};

std::string job(const std::string &Id, std::size_t Tasks, const Json &Payload) {
  Json Entries = Json::array();
  for (std::size_t Index = 0; Index < Tasks; ++Index) {
    auto Own = Payload;
    if (!Own.contains("fail"))
      Own["result"] = "r" + std::to_string(Index);
    Entries.push_back({{"payload", Own}});
  }
  return Json({{"id", Id}, {"service", "slips"}, {"kind", "batch"}, {"tasks", Entries}}).dump();
}

} // namespace

// Guards against incomplete or reordered results, and against a repeated submission that starts the
// tasks again.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionGetsTheSameWholeAnswer) {
  TestCluster Cluster;
  auto Body = job(Cluster.newIdentifier(), 50, {{"run_ms", 2}});
  auto First = Cluster.send("POST", "/v1/jobs" + TestCluster::waiting(), Body);
  BOOST_TEST(First["status"] == 200);
  BOOST_REQUIRE(First["results"].size() == 50);
  for (std::size_t Index = 0; Index < 50; ++Index)
    BOOST_TEST(First["results"][Index] == "r" + std::to_string(Index));
  auto Second = Cluster.send("POST", "/v1/jobs" + TestCluster::waiting(), Body);
  BOOST_TEST(Second["results"] == First["results"]);
  BOOST_TEST(Cluster.countStarts() == 50);
  auto Other = Cluster.send("GET", "/v1/jobs/" + First["id"].get<std::string>(), "", "o");
  BOOST_TEST(!Other.contains("results"));
}

// Guards against a failed task that is reported as "not run", and against a caller that gets no
// reply.
BOOST_AUTO_TEST_CASE(FailedTaskFailsItsJob) {
  TestCluster Cluster;
  auto Body = job(Cluster.newIdentifier(), 1, {{"run_ms", 1}, {"fail", true}});
  auto Answer = Cluster.send("POST", "/v1/jobs" + TestCluster::waiting(), Body);
  BOOST_TEST(Answer["outcome"] == "may_have_run");
  BOOST_TEST(Answer["status"] == 409);
  BOOST_TEST(Answer["tasks"] == Json({"failed"}));
}

// Guards against error replies that lack the error kind, a message, or the outcome "not run".
BOOST_AUTO_TEST_CASE(RefusalsAreTyped) {
  TestCluster Cluster;
  struct Case {
    std::string Path, Body;
    const char *Key;
    int Status;
    std::string Kind;
  };
  auto Id = Cluster.newIdentifier();
  auto Unknown = Json::parse(job(Id, 1, {}));
  Unknown["service"] = "none";
  for (const auto &Next :
       {Case{"/v1/jobs", job(Id, 1, {}), "wrong", 401, "unauthorized"},
        Case{"/v1/jobs", "{", "c", 400, "malformed"},
        Case{"/v1/jobs", Unknown.dump(), "c", 400, "malformed"},
        Case{"/v1/jobs?wait=1", job(Id, 1, {}), "c", 400, "malformed"},
        Case{"/v1/jobs", job("bad", 1, {}), "c", 400, "malformed"},
        Case{"/v1/jobs", std::string((8U << 20) + 1, ' '), "c", 413, "too_large"}}) {
    BOOST_TEST_CONTEXT(Next.Path << ' ' << Next.Body.substr(0, 80)) {
      auto Answer = Cluster.send("POST", Next.Path, Next.Body, Next.Key);
      BOOST_TEST(Answer["status"] == Next.Status);
      BOOST_TEST(Answer["kind"] == Next.Kind);
      BOOST_TEST(Answer["outcome"] == "not_run");
      BOOST_TEST(!Answer["message"].get<std::string>().empty());
    }
  }
  BOOST_TEST(Cluster.countStarts() == 0);
}

// Guards against returning the result of another task, and against restarting a task because the
// reply belonged to another one.
BOOST_AUTO_TEST_CASE(MismatchedRepliesAreReplacedByTheRightOnes) {
  TestCluster Cluster;
  Cluster.control({{"crossed_answers", true}});
  auto Body = job(Cluster.newIdentifier(), 10, {{"run_ms", 2}});
  auto Answer = Cluster.send("POST", "/v1/jobs" + TestCluster::waiting(), Body);
  BOOST_TEST(Answer["outcome"] == "complete");
  for (std::size_t Index = 0; Index < Answer["results"].size(); ++Index)
    BOOST_TEST(Answer["results"][Index] == "r" + std::to_string(Index));
  BOOST_TEST(Cluster.countStarts() == 10);
}

// Guards against a job that hangs because its connection stopped responding, and against starting
// its tasks again.
BOOST_AUTO_TEST_CASE(SilentConnectionsLeadToStatusQueries) {
  TestCluster Cluster;
  auto Body = job(Cluster.newIdentifier(), 8, {{"run_ms", 300}});
  Json Answer;
  std::thread Caller(
      [&] { Answer = Cluster.send("POST", "/v1/jobs" + TestCluster::waiting(), Body); });
  while (Cluster.countStarts() < 8)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  Cluster.control({{"silent", "open_starts"}});
  Caller.join();
  BOOST_TEST(Answer["outcome"] == "complete");
  BOOST_TEST(Cluster.countStarts() == 8);
  Cluster.control({{"silent", "none"}});
}

// Guards against a job that fails because a leaving endpoint refuses its tasks.
BOOST_AUTO_TEST_CASE(TasksOfALeavingEndpointRunElsewhere) {
  TestCluster Cluster;
  Cluster.leaveFirst();
  auto Body = job(Cluster.newIdentifier(), 20, {{"run_ms", 2}});
  auto Answer = Cluster.send("POST", "/v1/jobs" + TestCluster::waiting(), Body);
  BOOST_TEST(Answer["outcome"] == "complete");
  BOOST_TEST(Cluster.countStarts() == 20);
}

// Guards against starting a job of a dead incarnation, and against reporting it as "not run".
BOOST_AUTO_TEST_CASE(JobOfAnEarlierIncarnationIsNeverStarted) {
  TestCluster Cluster;
  auto Answer = Cluster.send("POST", "/v1/jobs", job("ikeja-1.00000000000000aa.1", 1, {}));
  BOOST_TEST(Answer["outcome"] == "may_have_run");
  BOOST_TEST(Cluster.countStarts() == 0);
}

// Guards against losing the outcome of a job whose issuer died after all its tasks had finished.
BOOST_AUTO_TEST_CASE(CompleteRecordsOfADeadIssuerGiveTheOutcome) {
  TestCluster Cluster;
  auto Connection = endpoint::connectEndpoint("http", Cluster.endpointAddress());
  BOOST_REQUIRE(Connection);
  for (int Index = 0; Index < 2; ++Index) {
    endpoint::StartRequest Start;
    Start.Task = "ikeja-1.00000000000000ab.1." + std::to_string(Index);
    Start.TaskCount = 2;
    Start.Payload = Index == 0 ? R"({"result":"first"})" : R"({"result":"second"})";
    (*Connection)->start(Start, core::MonotonicClock::now() + std::chrono::seconds(20));
    auto Answer = Cluster.send("GET", "/v1/jobs/ikeja-1.00000000000000ab.1");
    BOOST_TEST(Answer["outcome"] == (Index == 0 ? "may_have_run" : "complete"));
    if (Index == 1)
      BOOST_TEST(Answer["results"] == Json({"first", "second"}));
  }
}

// Guards against a planned stop that aborts running requests.
BOOST_AUTO_TEST_CASE(PlannedStopLetsRunningRequestsEnd) {
  TestCluster Cluster;
  auto Body = job(Cluster.newIdentifier(), 8, {{"run_ms", 200}});
  Json Answer;
  std::thread Caller(
      [&] { Answer = Cluster.send("POST", "/v1/jobs" + TestCluster::waiting(), Body); });
  while (Cluster.countStarts() < 8)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  Cluster.daemon().stop();
  Caller.join();
  BOOST_TEST(Answer["outcome"] == "complete");
}
