#include "Tests/Integration/Deployment.h"

#include "Tests/Integration/PortPool.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <boost/test/unit_test.hpp>

namespace cornellift::integration {
namespace {

using Json = nlohmann::json;

constexpr const char *TeamKey = "counter-key";
constexpr const char *OperatorKey = "operator-key";
constexpr auto PollInterval = std::chrono::milliseconds(20);

std::string binary(const std::string &Directory, const std::string &Name) {
  return std::string(CORNELLIFT_BUILD) + "/" + Directory + "/" + Name;
}

std::string loopback(std::uint16_t Port) { return "127.0.0.1:" + std::to_string(Port); }

std::unique_ptr<TestProcess> launch(std::string Program, std::vector<std::string> Arguments,
                                    const std::string &Output) {
  auto Started = TestProcess::start(std::move(Program), std::move(Arguments), Output);
  if (!Started)
    throw std::runtime_error("cannot start a process; see " + Output);
  return std::make_unique<TestProcess>(std::move(*Started));
}

} // namespace

bool waitUntil(const std::function<bool()> &Condition, int Seconds) {
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

Deployment::Deployment(const std::string &Name, DeploymentOptions Options)
    : Options_(std::move(Options)) {
  Directory_ = std::filesystem::current_path() / "integration-logs" / Name;
  std::filesystem::remove_all(Directory_);
  std::filesystem::create_directories(Directory_);
  for (const auto &DataCentre : Options_.DataCentres)
    for (unsigned Number = 1; Number <= Options_.EntryVmsPerDataCentre; ++Number) {
      EntryVms_.push_back(DataCentre + "-" + std::to_string(Number));
      DataCentreOf_[EntryVms_.back()] = DataCentre;
    }
  pickPorts();
  startProxy();
  startPlatform();
  startEndpoints();
  for (const auto &Vm : EntryVms_)
    startEntry(Vm);
  seedConfiguration();
  for (const auto &Vm : EntryVms_)
    waitReady(Vm);
}

Deployment::~Deployment() = default;

void Deployment::pickPorts() {
  std::vector<std::string> Names = {"proxy-control", "platform"};
  for (const auto &Vm : EntryVms_) {
    for (const char *Kind : {"http-", "peer-", "link-platform-", "link-caller-"})
      Names.push_back(Kind + Vm);
    for (const auto &Other : EntryVms_)
      if (Other != Vm)
        Names.push_back("link-peer-" + Vm + "-" + Other);
  }
  for (const auto &DataCentre : Options_.DataCentres)
    for (unsigned Number = 1; Number <= Options_.EndpointsPerDataCentre; ++Number)
      for (const char *Kind : {"endpoint-", "link-endpoint-"})
        Names.push_back(Kind + DataCentre + "-" + std::to_string(Number));
  for (const auto &Name : Names)
    Ports_[Name] = PortPool::instance().next();
}

void Deployment::startProxy() {
  std::string Links;
  auto Add = [&](const std::string &Name, const std::string &Target) {
    Links += Name + "=" + std::to_string(Ports_.at("link-" + Name)) + ":" +
             std::to_string(Ports_.at(Target)) + ",";
  };
  for (const auto &Vm : EntryVms_) {
    Add("platform-" + Vm, "platform");
    Add("caller-" + Vm, "http-" + Vm);
    for (const auto &Other : EntryVms_)
      if (Other != Vm)
        Add("peer-" + Vm + "-" + Other, "peer-" + Other);
  }
  for (const auto &DataCentre : Options_.DataCentres)
    for (unsigned Number = 1; Number <= Options_.EndpointsPerDataCentre; ++Number) {
      auto Name = "endpoint-" + DataCentre + "-" + std::to_string(Number);
      Add(Name, Name);
    }
  Proxy_ = launch(binary("Services/FaultProxy", "cornellift-fault-proxy"),
                  {"--control-port", std::to_string(Ports_.at("proxy-control")), "--links", Links},
                  logPath("proxy.log"));
  if (!waitUntil([this] { return links().is_array(); }))
    throw std::runtime_error("the fault proxy does not start; see " + Directory_);
}

void Deployment::startPlatform() {
  auto Port = Ports_.at("platform");
  Platform_ = launch(binary("Services/PlatformStandIn", "cornellift-platform-stand-in"),
                     {"--port", std::to_string(Port)}, logPath("platform.log"));
  if (!waitUntil(
          [Port] { return callHttp(Port, "GET", "/control/counters", "", "").Status == 200; }))
    throw std::runtime_error("the platform stand-in does not start; see " + Directory_);
  publishList("");
}

void Deployment::publishList(const std::string &LeavingName) {
  Json Vms = Json::array();
  auto Add = [&](const std::string &Name, std::uint16_t Port, const std::string &DataCentre) {
    Vms.push_back({{"name", Name},
                   {"address", loopback(Port)},
                   {"data_centre", DataCentre},
                   {"state", Name == LeavingName ? "leaving" : "live"}});
  };
  for (const auto &Vm : EntryVms_)
    Add(Vm, Ports_.at("peer-" + Vm), DataCentreOf_.at(Vm));
  for (const auto &DataCentre : Options_.DataCentres)
    for (unsigned Number = 1; Number <= Options_.EndpointsPerDataCentre; ++Number)
      Add(DataCentre + "-w" + std::to_string(Number), endpointPort(DataCentre, Number), DataCentre);
  callHttp(Ports_.at("platform"), "PUT", "/control/vms", Json{{"vms", Vms}}.dump(), "");
}

void Deployment::markLeaving(const std::string &Name) {
  platformFault({{"vm_lag_ms", 1000}});
  publishList(Name);
}

void Deployment::startEndpoints() {
  for (const auto &DataCentre : Options_.DataCentres) {
    std::string List;
    for (unsigned Number = 1; Number <= Options_.EndpointsPerDataCentre; ++Number)
      List += std::to_string(endpointPort(DataCentre, Number)) + ",";
    Endpoints_[DataCentre] =
        launch(binary("Services/EndpointStandIn", "cornellift-endpoint-stand-in"),
               {"--ports", List, "--task-log", logPath("tasks-" + DataCentre + ".jsonl")},
               logPath("endpoints-" + DataCentre + ".log"));
  }
}

Json Deployment::configuration() const {
  Json Endpoints = Json::object();
  for (const auto &DataCentre : Options_.DataCentres)
    for (unsigned Number = 1; Number <= Options_.EndpointsPerDataCentre; ++Number) {
      auto Name = DataCentre + "-" + std::to_string(Number);
      Endpoints[DataCentre + "-w" + std::to_string(Number)] = {
          {"address", loopback(Ports_.at("link-endpoint-" + Name))},
          {"data_centre", DataCentre},
          {"rack", DataCentre + "-r1"},
          {"services", {"slips"}},
          {"slots", 8},
          {"connections", 64},
          {"capacity", {{"processors", 16}, {"memory_mb", 65536}}},
          {"drained", false}};
    }
  std::ifstream File(std::string(CORNELLIFT_SOURCE) + "/examples/demo.json");
  auto Document = Json::parse(File);
  Document["endpoints"] = Endpoints;
  return Document;
}

void Deployment::seedConfiguration() {
  std::ofstream(logPath("configuration.json")) << configuration().dump(2);
  auto Port = Ports_.at("http-" + EntryVms_[0]);
  if (!waitUntil([Port] { return callHttp(Port, "GET", "/ready", "", "").Status != 0; }))
    throw std::runtime_error(EntryVms_[0] + " does not start; see " + Directory_);
  auto Seed = launch(binary("Utilities/Operator", "cornellift-operator"),
                     {"seed", logPath("configuration.json"), "--entry", loopback(Port), "--key",
                      OperatorKey, "--why", "first version"},
                     logPath("seed.log"));
  if (Seed->waitForExit(20) != 0)
    throw std::runtime_error("the configuration cannot be seeded; see " + Directory_);
}

void Deployment::startEntry(const std::string &Vm) {
  std::string Seeds;
  std::string Routes;
  for (const auto &Other : EntryVms_) {
    if (Other == Vm)
      continue;
    auto Link = loopback(Ports_.at("link-peer-" + Vm + "-" + Other));
    Seeds += Other + "=" + Link + ",";
    // A process learns the advertised addresses from the platform's list and from peers' records.
    // Without the routes its calls to these addresses would bypass the proxy.
    Routes += loopback(Ports_.at("peer-" + Other)) + "=" + Link + ",";
  }
  auto Run = ++Starts_[Vm];
  Entries_[Vm] =
      launch(binary("Services/EntryDaemon", "cornellift-entryd"),
             {"--vm-name",          Vm,
              "--data-centre",      DataCentreOf_.at(Vm),
              "--http-port",        std::to_string(Ports_.at("http-" + Vm)),
              "--peer-address",     loopback(Ports_.at("peer-" + Vm)),
              "--platform-address", loopback(Ports_.at("link-platform-" + Vm)),
              "--seed-peers",       Seeds,
              "--peer-routes",      Routes,
              "--team-keys",        std::string("counter=") + TeamKey,
              "--operator-keys",    std::string("olu=") + OperatorKey,
              "--log-file",         logPath("entry-" + Vm + "." + std::to_string(Run) + ".jsonl")},
             logPath("entry-" + Vm + ".out"));
}

bool Deployment::isReady(const std::string &Vm) {
  return callHttp(Ports_.at("http-" + Vm), "GET", "/ready", "", "", 2).Status == 200;
}

void Deployment::waitReady(const std::string &Vm) {
  if (!waitUntil([&] { return isReady(Vm); }))
    throw std::runtime_error(Vm + " does not become ready; see " + Directory_);
}

HttpReply Deployment::call(const std::string &Vm, std::string_view Method, const std::string &Path,
                           const Json &Body, int Seconds) {
  return callHttp(Ports_.at("link-caller-" + Vm), Method, Path, Body.is_null() ? "" : Body.dump(),
                  TeamKey, Seconds);
}

HttpReply Deployment::callAsOperator(const std::string &Vm, std::string_view Method,
                                     const std::string &Path, const Json &Body) {
  return callHttp(Ports_.at("http-" + Vm), Method, Path, Body.is_null() ? "" : Body.dump(),
                  OperatorKey);
}

HttpReply Deployment::patch(const std::string &Vm, std::uint64_t BaseVersion,
                            const std::string &PatchId, const Json &Change) {
  return callAsOperator(Vm, "PATCH", "/v1/configuration",
                        {{"base_version", BaseVersion},
                         {"patch_id", PatchId},
                         {"why", "integration test"},
                         {"patch", Change}});
}

std::uint64_t Deployment::versionOf(const std::string &Vm) {
  auto Reply = callAsOperator(Vm, "GET", "/v1/configuration");
  return Reply.Status == 200 ? Reply.Body.value("version", std::uint64_t{0}) : 0;
}

std::string Deployment::newIdentifier(const std::string &Vm) {
  auto Reply = call(Vm, "POST", "/v1/sessions");
  BOOST_REQUIRE_EQUAL(Reply.Status, 200);
  const auto &Block = Reply.Body.at("identifiers");
  return Block.at("issuer").get<std::string>() + "." +
         std::to_string(Block.at("first").get<std::uint64_t>());
}

Json Deployment::job(const std::string &Id, unsigned Count, unsigned RunMilliseconds) {
  Json Tasks = Json::array();
  for (unsigned Index = 0; Index < Count; ++Index)
    Tasks.push_back(
        {{"payload",
          Json{{"run_ms", RunMilliseconds}, {"result", Id + "#" + std::to_string(Index)}}.dump()},
         {"run_ms", RunMilliseconds}});
  return {{"id", Id}, {"service", "slips"}, {"kind", "reprint"}, {"tasks", Tasks}};
}

HttpReply Deployment::submit(const std::string &Vm, const Json &Job, int Seconds) {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Until = std::chrono::duration_cast<std::chrono::milliseconds>(Now).count() +
               std::int64_t{Seconds} * 900;
  return call(Vm, "POST", "/v1/jobs?wait_until=" + std::to_string(Until), Job, Seconds);
}

void Deployment::controlLink(const std::string &Link, const std::string &Verb, const Json &Body) {
  auto Reply = callHttp(Ports_.at("proxy-control"), "POST", "/links/" + Link + "/" + Verb,
                        Body.is_null() ? "" : Body.dump(), "");
  BOOST_REQUIRE_MESSAGE(Reply.Status == 200, Link + " " + Verb + ": " + Reply.Body.dump());
}

Json Deployment::links() {
  return callHttp(Ports_.at("proxy-control"), "GET", "/links", "", "").Body;
}

bool Deployment::hasFired(const std::string &Link) {
  for (const auto &Known : links())
    if (Known.at("name") == Link ||
        (Link.back() == '*' &&
         Known.at("name").get<std::string>().starts_with(Link.substr(0, Link.size() - 1))))
      for (const auto &Rule : Known.at("rules"))
        if (Rule.at("fired"))
          return true;
  return false;
}

void Deployment::separate(const std::string &One, const std::string &Other) {
  for (const auto &From : EntryVms_)
    for (const auto &To : EntryVms_) {
      bool Crosses = (DataCentreOf_.at(From) == One && DataCentreOf_.at(To) == Other) ||
                     (DataCentreOf_.at(From) == Other && DataCentreOf_.at(To) == One);
      if (!Crosses)
        continue;
      controlLink("peer-" + From + "-" + To, "admission", {{"mode", "hang"}});
      controlLink("peer-" + From + "-" + To, "open", {{"action", "silence"}});
    }
}

bool Deployment::isCutOff(const std::string &Vm, const std::string &DataCentre) {
  auto Reply = callAsOperator(Vm, "GET", "/v1/status");
  if (Reply.Status != 200)
    return false;
  const auto &CutOff = Reply.Body.at("cut_off_data_centres");
  return std::find(CutOff.begin(), CutOff.end(), DataCentre) != CutOff.end();
}

void Deployment::separateFromPlatform(const std::string &DataCentre) {
  for (const auto &Vm : EntryVms_) {
    if (DataCentreOf_.at(Vm) != DataCentre)
      continue;
    controlLink("platform-" + Vm, "admission", {{"mode", "hang"}});
    controlLink("platform-" + Vm, "open", {{"action", "silence"}});
  }
}

void Deployment::reconnect() { controlLink("*", "heal"); }

void Deployment::platformFault(const Json &Switches) {
  auto Reply = callHttp(Ports_.at("platform"), "PUT", "/control/faults", Switches.dump(), "");
  BOOST_REQUIRE_EQUAL(Reply.Status, 200);
}

std::uint16_t Deployment::endpointPort(const std::string &DataCentre, unsigned Number) const {
  return Ports_.at("endpoint-" + DataCentre + "-" + std::to_string(Number));
}

std::map<std::string, unsigned> Deployment::starts() const {
  std::map<std::string, unsigned> Result;
  for (const auto &DataCentre : Options_.DataCentres) {
    std::ifstream File(logPath("tasks-" + DataCentre + ".jsonl"));
    for (std::string Line; std::getline(File, Line);) {
      auto Entry = Json::parse(Line, nullptr, false);
      if (Entry.is_object() && Entry.value("event", "") == "start")
        ++Result[Entry.at("task").get<std::string>()];
    }
  }
  return Result;
}

unsigned Deployment::startsOfJob(const std::string &Id) const {
  unsigned Count = 0;
  for (const auto &[Task, Starts] : starts())
    if (Task.compare(0, Id.size() + 1, Id + ".") == 0)
      Count += Starts;
  return Count;
}

unsigned Deployment::startsAt(const std::string &DataCentre, unsigned Number) const {
  unsigned Count = 0;
  auto Name = loopback(endpointPort(DataCentre, Number));
  std::ifstream File(logPath("tasks-" + DataCentre + ".jsonl"));
  for (std::string Line; std::getline(File, Line);) {
    auto Entry = Json::parse(Line, nullptr, false);
    if (Entry.is_object() && Entry.value("event", "") == "start" &&
        Entry.value("endpoint", "") == Name)
      ++Count;
  }
  return Count;
}

void Deployment::checkGuarantees() const {
  for (const auto &[Task, Count] : starts())
    BOOST_CHECK_MESSAGE(Count == 1,
                        "task " + Task + " started " + std::to_string(Count) + " times");
  for (const auto &[Vm, Runs] : Starts_)
    for (unsigned Run = 1; Run <= Runs; ++Run) {
      std::ifstream File(logPath("entry-" + Vm + "." + std::to_string(Run) + ".jsonl"));
      std::uint64_t Highest = 0;
      for (std::string Line; std::getline(File, Line);) {
        auto Entry = Json::parse(Line, nullptr, false);
        if (!Entry.is_object() || Entry.value("message", "") != "configuration in force")
          continue;
        auto Version = std::stoull(Entry.at("context_map").at("version").get<std::string>());
        BOOST_CHECK_MESSAGE(Version >= Highest,
                            Vm + " went back to version " + std::to_string(Version));
        Highest = std::max(Highest, std::uint64_t{Version});
      }
      BOOST_CHECK_MESSAGE(Highest > 0 || Run == Runs, Vm + " never had a configuration");
    }
}

void checkAnswer(const Deployment &Running, const Json &Job, const HttpReply &Answer) {
  auto Id = Job.at("id").get<std::string>();
  BOOST_REQUIRE_MESSAGE(Answer.Body.is_object(),
                        Id + ": no answer, status " + std::to_string(Answer.Status));
  auto Outcome = Answer.Body.value("outcome", "");
  if (Outcome == "complete") {
    const auto &Results = Answer.Body.at("results");
    BOOST_REQUIRE_EQUAL(Results.size(), Job.at("tasks").size());
    for (std::size_t Index = 0; Index < Results.size(); ++Index)
      BOOST_CHECK_EQUAL(Results[Index].get<std::string>(), Id + "#" + std::to_string(Index));
    return;
  }
  if (Outcome == "not_run" && Answer.Body.value("applies_to", "job") == "job") {
    BOOST_CHECK_MESSAGE(Running.startsOfJob(Id) == 0, Id + " was reported as not run but started");
    return;
  }
  BOOST_CHECK_MESSAGE(Outcome == "may_have_run" || Outcome == "not_run",
                      Id + ": unexpected answer " + Answer.Body.dump());
}

} // namespace cornellift::integration
