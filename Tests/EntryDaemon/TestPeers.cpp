#include "Libraries/LibCore/Log.h"
#include "Services/EndpointStandIn/StandInApi.h"
#include "Services/EntryDaemon/Daemon.h"
#include "Services/EntryDaemon/PeerComponent.h"

#include <filesystem>
#include <fstream>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornellift;
using Json = nlohmann::json;

namespace {

/// Entry processes and endpoints of several data centres that run inside the test process. Names
/// start with the data centre, as in ikeja-1.
class TestCluster {
public:
  /// Creates one endpoint with the given number of slots in each data centre.
  explicit TestCluster(const std::map<std::string, std::uint32_t> &SlotsByDataCentre)
      : Directory_(std::filesystem::temp_directory_path() /
                   ("cornellift-peers-" + std::to_string(::getpid()))),
        Log_((std::filesystem::create_directories(Directory_), Directory_ / "tasks.log").string()) {
    core::configureLog("error", "");
    Json Endpoints;
    for (const auto &[DataCentre, Slots] : SlotsByDataCentre) {
      auto Endpoint = std::make_unique<standin::StandInApi>(
          standin::EndpointOptions{DataCentre + "-w1", Slots, 1, {}}, 64, Log_);
      BOOST_REQUIRE(Endpoint->start("127.0.0.1", 0));
      Endpoints[DataCentre + "-w1"] = {{"address", "127.0.0.1:" + std::to_string(Endpoint->port())},
                                       {"data_centre", DataCentre},
                                       {"rack", "r1"},
                                       {"services", {"slips"}},
                                       {"slots", Slots},
                                       {"connections", 64},
                                       {"capacity", {{"processors", 64}, {"memory_mb", 65536}}}};
      Endpoints_.push_back(std::move(Endpoint));
    }
    Json Document = {
        {"services", {{"slips", {{"kinds", {{"batch", {{"expected_run_time_ms", 5}}}}}}}}},
        {"teams", {{"counter", {{"quota_share", 1}}}}},
        {"endpoints", Endpoints}};
    std::ofstream(Directory_ / "document.json") << Document.dump();
  }

  ~TestCluster() {
    for (auto &[Name, Item] : Vms_)
      Item.Daemon->stop();
    Vms_.clear();
    for (auto &Endpoint : Endpoints_)
      Endpoint->stop();
    std::filesystem::remove_all(Directory_);
  }

  void start(const std::string &Name) {
    auto DataCentre = Name.substr(0, Name.find('-'));
    auto File = (Directory_ / "document.json").string();
    std::vector<const char *> Arguments = {"entryd",
                                           "--vm-name",
                                           Name.c_str(),
                                           "--data-centre",
                                           DataCentre.c_str(),
                                           "--http-port",
                                           "0",
                                           "--configuration-file",
                                           File.c_str(),
                                           "--team-keys",
                                           "counter=c",
                                           "--peer-address",
                                           "127.0.0.1:0",
                                           "--seed-peers",
                                           Seeds_.c_str(),
                                           "--stop-time-ms",
                                           "20000"};
    auto Settings = entry::DaemonSettings::parse(Arguments);
    BOOST_REQUIRE_MESSAGE(Settings, core::lastReason().Message);
    auto &Item = Vms_[Name];
    Item.Daemon = std::make_unique<entry::Daemon>(std::move(*Settings));
    auto Peers = std::make_unique<entry::PeerComponent>(*Item.Daemon, nullptr);
    Item.Peers = Peers.get();
    Item.Daemon->addComponent(std::move(Peers));
    BOOST_REQUIRE_MESSAGE(Item.Daemon->start(), core::lastReason().Message);
    if (Seeds_.empty())
      Seeds_ = Name + "=127.0.0.1:" + std::to_string(Item.Peers->port());
  }

  void stop(const std::string &Name) { Vms_.at(Name).Daemon->stop(); }

  /// Waits for a condition. The timeout only ends a test that has failed.
  static void await(const char *What, const std::function<bool()> &Holds) {
    auto GiveUp = core::MonotonicClock::now() + std::chrono::seconds(60);
    while (!Holds() && core::MonotonicClock::now() < GiveUp)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    BOOST_REQUIRE_MESSAGE(Holds(), What);
  }

  void awaitReady(std::size_t Count) {
    for (auto &[Name, Item] : Vms_)
      await("all VMs see each other ready", [&Item = Item, Count] {
        return Item.Peers->members().read([&](const kernel::Membership &View) {
          std::size_t Ready = 0;
          for (const auto &[Name, Record] : View.table().members())
            Ready += Record.Standing == kernel::MemberStanding::Ready ? 1 : 0;
          return Ready == Count;
        });
      });
  }

  entry::PeerComponent &peers(const std::string &Name) { return *Vms_.at(Name).Peers; }
  entry::Daemon &daemon(const std::string &Name) { return *Vms_.at(Name).Daemon; }

  Json send(const std::string &Name, const char *Method, const std::string &Path,
            const std::string &Body = "") {
    httplib::Client Client("127.0.0.1", Vms_.at(Name).Daemon->http().port());
    Client.set_read_timeout(std::chrono::seconds(60));
    httplib::Request Request;
    Request.method = Method;
    Request.path = Path;
    Request.body = Body;
    Request.set_header("X-Cornellift-Key", "c");
    auto Result = Client.send(Request);
    BOOST_REQUIRE(Result);
    auto Parsed = Json::parse(Result->body, nullptr, false);
    BOOST_REQUIRE_MESSAGE(Parsed.is_object(), Result->body);
    Parsed["status"] = Result->status;
    return Parsed;
  }

  /// Returns the first identifier of a new block of consecutive identifiers.
  std::string newIdentifier(const std::string &Name) {
    auto Block = send(Name, "POST", "/v1/sessions")["identifiers"];
    return Block["issuer"].get<std::string>() + "." + Block["first"].dump();
  }

  std::size_t countStarts(const std::string &Endpoint = "") const {
    std::ifstream File(Directory_ / "tasks.log");
    std::size_t Count = 0;
    for (std::string Line; std::getline(File, Line);) {
      auto Entry = Json::parse(Line, nullptr, false);
      bool IsStart = Entry.is_object() && Entry["event"] == "start";
      Count += IsStart && (Endpoint.empty() || Line.find(Endpoint) != Line.npos) ? 1 : 0;
    }
    return Count;
  }

private:
  struct Vm {
    std::unique_ptr<entry::Daemon> Daemon;
    entry::PeerComponent *Peers = nullptr;
  };

  const std::filesystem::path Directory_;
  standin::StandInLog Log_;
  std::vector<std::unique_ptr<standin::StandInApi>> Endpoints_;
  std::map<std::string, Vm> Vms_;
  std::string Seeds_;
};

std::string waiting() {
  return "?wait_until=" + std::to_string(core::wallClockMilliseconds() + 30000);
}

std::string job(const std::string &Id, std::size_t Tasks, int RunMilliseconds) {
  Json Entries = Json::array();
  for (std::size_t Index = 0; Index < Tasks; ++Index)
    Entries.push_back(
        {{"payload", {{"run_ms", RunMilliseconds}, {"result", "r" + std::to_string(Index)}}}});
  return Json({{"id", Id}, {"service", "slips"}, {"kind", "batch"}, {"tasks", Entries}}).dump();
}

} // namespace

// Guards against starting a job twice when it is submitted through another VM than its issuer, and
// against replies that depend on the VM.
BOOST_AUTO_TEST_CASE(SubmissionIsForwardedToItsIssuer) {
  TestCluster Cluster({{"ikeja", 8}});
  Cluster.start("ikeja-1");
  Cluster.start("ikeja-2");
  Cluster.awaitReady(2);
  auto Body = job(Cluster.newIdentifier("ikeja-1"), 20, 2);
  auto First = Cluster.send("ikeja-2", "POST", "/v1/jobs" + waiting(), Body);
  BOOST_TEST(First["status"] == 200, First.dump());
  auto Again = Cluster.send("ikeja-1", "POST", "/v1/jobs" + waiting(), Body);
  BOOST_TEST(First["results"] == Again["results"]);
  BOOST_TEST(Cluster.countStarts() == 20);
}

// Guards against a planned stop that loses outcomes, waiting jobs or identifiers, or interrupts a
// waiting caller.
BOOST_AUTO_TEST_CASE(PlannedStopTransfersTheState) {
  TestCluster Cluster({{"ikeja", 4}});
  Cluster.start("ikeja-1");
  Cluster.start("ikeja-2");
  Cluster.awaitReady(2);
  auto Id = Cluster.newIdentifier("ikeja-2");
  auto Done = job(Id, 3, 2);
  auto Unused = job(Cluster.newIdentifier("ikeja-2"), 3, 2);
  auto Long = job(Cluster.newIdentifier("ikeja-2"), 12, 100);
  auto Queued = job(Cluster.newIdentifier("ikeja-2"), 4, 2);
  auto First = Cluster.send("ikeja-2", "POST", "/v1/jobs" + waiting(), Done);
  BOOST_TEST(First["status"] == 200, First.dump());
  Json LongAnswer;
  std::thread Caller(
      [&] { LongAnswer = Cluster.send("ikeja-2", "POST", "/v1/jobs" + waiting(), Long); });
  Cluster.await("the long job has started", [&] { return Cluster.countStarts() > 3; });
  BOOST_TEST(Cluster.send("ikeja-2", "POST", "/v1/jobs", Queued)["status"] == 202);
  Cluster.stop("ikeja-2");
  Caller.join();
  BOOST_TEST(LongAnswer["status"] == 200, LongAnswer.dump());
  auto Kept = Cluster.send("ikeja-1", "POST", "/v1/jobs" + waiting(), Done);
  BOOST_TEST(Kept["results"] == First["results"], Kept.dump());
  for (const auto *Body : {&Unused, &Long, &Queued}) {
    auto Answer = Cluster.send("ikeja-1", "POST", "/v1/jobs" + waiting(), *Body);
    BOOST_TEST(Answer["status"] == 200, Answer.dump());
  }
  BOOST_TEST(Cluster.countStarts() == 3 + 3 + 12 + 4);
}

// Guards against delegated tasks that start twice or not at all, and against jobs that wait while
// another data centre has free slots.
BOOST_AUTO_TEST_CASE(SaturatedDataCentreDelegates) {
  TestCluster Cluster({{"ikeja", 1}, {"yaba", 8}});
  Cluster.start("ikeja-1");
  Cluster.start("yaba-1");
  Cluster.awaitReady(2);
  Cluster.await("the idle slots of the other data centre are known", [&] {
    return Cluster.peers("ikeja-1").members().read([](const kernel::Membership &View) {
      const auto *Other = View.table().find("yaba-1");
      auto Load = Other ? View.loadOf(Other->Process) : std::nullopt;
      return Load && Load->FreeSlots == 8;
    });
  });
  auto Body = job(Cluster.newIdentifier("ikeja-1"), 40, 50);
  auto Answer = Cluster.send("ikeja-1", "POST", "/v1/jobs" + waiting(), Body);
  BOOST_TEST(Answer["status"] == 200, Answer.dump());
  BOOST_TEST(Cluster.countStarts() == 40);
  BOOST_TEST(Cluster.countStarts("yaba-w1") > 0);
}

// Guards against a process that starts with malformed peer routes and then calls wrong addresses.
BOOST_AUTO_TEST_CASE(MalformedPeerRouteIsRefused) {
  for (const char *Route : {"10.0.0.1:7070", "10.0.0.1=10.0.0.2:7070", "10.0.0.1:7070=10.0.0.2"}) {
    const char *Arguments[] = {"entryd",      "--vm-name",          "ikeja-1",     "--data-centre",
                               "ikeja",       "--platform-address", "127.0.0.1:1", "--peer-address",
                               "127.0.0.1:0", "--peer-routes",      Route};
    auto Settings = entry::DaemonSettings::parse(Arguments);
    BOOST_REQUIRE_MESSAGE(Settings, core::lastReason().Message);
    entry::Daemon Daemon(std::move(*Settings));
    entry::PeerComponent Peers(Daemon, nullptr);
    BOOST_TEST(!Peers.start());
    BOOST_TEST((core::lastReason().Kind == core::ErrorKind::Malformed));
    BOOST_TEST(core::lastReason().Message.find("--peer-routes") != std::string::npos);
  }
}
