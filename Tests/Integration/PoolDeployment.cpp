#include "Tests/Integration/PoolDeployment.h"

#include "Tests/Integration/PortPool.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include <httplib.h>

#include <boost/test/unit_test.hpp>

namespace cornellift::integration {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int StartSeconds = 10;

std::string program(const std::string &Path) { return std::string(CORNELLIFT_BUILD) + "/" + Path; }

/// Waits for the first line of a process's output; empty after StartSeconds.
std::string firstLine(const std::string &File) {
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(StartSeconds);
  while (std::chrono::steady_clock::now() < Deadline) {
    std::ifstream In(File);
    std::string Line;
    if (std::getline(In, Line) && !In.eof())
      return Line;
    std::this_thread::sleep_for(10ms);
  }
  return {};
}

json routeOf(const std::string &Prefix) {
  return {{"name", "route" + Prefix},
          {"host", PoolHost},
          {"prefix", Prefix},
          {"kind", "non_idempotent"},
          {"timeoutMs", 5000},
          {"targetLatencyMs", 60},
          {"priority", 0},
          {"service", "print"},
          {"maxAttempts", 3},
          {"stretch", 2.0}};
}

std::string configurationText(std::uint64_t Version, const std::vector<std::string> &Prefixes,
                              const PoolDeploymentSettings &Settings) {
  json Routes = json::array();
  for (const auto &Prefix : Prefixes)
    Routes.push_back(routeOf(Prefix));
  return json{{"version", Version},
              {"routes", Routes},
              {"services", {{{"name", "print"}, {"maxConns", 64}, {"enforcesCapacity", true}}}},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", Settings.HeaderTimeoutMilliseconds},
                {"idleTimeoutMs", Settings.IdleTimeoutMilliseconds}}}}
      .dump();
}

} // namespace

const char *const PoolHost = "slips.example";
const char *const PoolPrefix = "/slips/";

PoolDeployment::PoolDeployment(const std::string &Name, const PoolDeploymentSettings &Settings)
    : Settings_(Settings), Folder_("integration-logs/" + Name) {
  std::filesystem::remove_all(Folder_);
  std::filesystem::create_directories(Folder_);
  for (const auto &DataCentre : Settings.DataCentres)
    for (std::size_t Each = 1; Each <= Settings.VmsPerDataCentre; ++Each) {
      PoolVm Vm;
      Vm.Name = DataCentre + "-" + std::to_string(Each);
      Vm.DataCentre = DataCentre;
      Vm.CallerPort = PortPool::instance().next();
      Vm.ReadinessPort = PortPool::instance().next();
      Vm.MeshPort = PortPool::instance().next();
      Vm.MetricsPort = PortPool::instance().next();
      Vm.LogFile = Folder_ + "/" + Vm.Name + ".log";
      Vm.SettingsFile = Folder_ + "/" + Vm.Name + ".settings";
      std::ofstream(Vm.SettingsFile).flush();
      Vms_.push_back(std::move(Vm));
    }
  startStandIn();
  startProxy();
  for (auto &Vm : Vms_)
    startVm(Vm);
}

PoolDeployment::~PoolDeployment() = default;

void PoolDeployment::startStandIn() {
  auto File = Folder_ + "/stand-in.log";
  auto Configuration = Folder_ + "/configuration.json";
  std::ofstream(Configuration) << configurationText(1, {PoolPrefix}, Settings_);
  std::string Centres;
  for (const auto &Name : Settings_.DataCentres)
    Centres += (Centres.empty() ? "" : ",") + Name;
  StandIn_ = TestProcess::start(
      program("Services/FleetStandIn/cornellift-fleet-stand-in"),
      {"--data-centres", Centres, "--workers", std::to_string(Settings_.WorkersPerDataCentre),
       "--speeds", Settings_.Speeds, "--cores", "8", "--configuration-file", Configuration},
      File);
  BOOST_REQUIRE_MESSAGE(StandIn_, "the stand-in does not start");
  std::istringstream Line(firstLine(File));
  std::string Word;
  std::string Address;
  auto PortOf = [](const std::string &Text) {
    return static_cast<std::uint16_t>(std::stoi(Text.substr(Text.rfind(':') + 1)));
  };
  while (Line >> Word >> Address)
    (Word == "store" ? StorePort_ : ControlPort_) = PortOf(Address);
  BOOST_REQUIRE_MESSAGE(StorePort_ != 0 && ControlPort_ != 0, "the stand-in prints no ports");
}

void PoolDeployment::startProxy() {
  auto File = Folder_ + "/proxy.log";
  std::string List;
  auto Add = [&](const std::string &Name, std::uint16_t Target) {
    List += (List.empty() ? "" : ",") + Name + "=0:" + std::to_string(Target);
  };
  for (const auto &Vm : Vms_) {
    Add("mesh-" + Vm.Name, Vm.MeshPort);
    Add("store-" + Vm.Name, StorePort_);
  }
  Proxy_ = TestProcess::start(program("Services/FaultProxy/cornellift-fault-proxy"),
                              {"--links", List}, File);
  BOOST_REQUIRE_MESSAGE(Proxy_, "the proxy does not start");
  std::istringstream Line(firstLine(File));
  for (std::string Word; Line >> Word;) {
    auto Port = static_cast<std::uint16_t>(std::stoi(Word.substr(Word.find('=') + 1)));
    auto Name = Word.substr(0, Word.find('='));
    if (Name == "control_port")
      ProxyPort_ = Port;
    else
      Links_[Name] = Port;
  }
}

void PoolDeployment::startVm(PoolVm &Vm) {
  std::string Centres;
  for (const auto &Name : Settings_.DataCentres)
    Centres += (Centres.empty() ? "" : ",") + Name;
  auto Local = [](std::uint16_t Port) { return "127.0.0.1:" + std::to_string(Port); };
  Vm.Process = TestProcess::start(program("Services/PoolDaemon/cornellift-poold"),
                                  {"--node-file",
                                   Vm.SettingsFile,
                                   "--vm-name",
                                   Vm.Name,
                                   "--data-centre",
                                   Vm.DataCentre,
                                   "--data-centres",
                                   Centres,
                                   "--caller-address",
                                   Local(Vm.CallerPort),
                                   "--readiness-address",
                                   Local(Vm.ReadinessPort),
                                   "--mesh-address",
                                   Local(Vm.MeshPort),
                                   "--mesh-advertised-address",
                                   Local(Links_.at("mesh-" + Vm.Name)),
                                   "--metrics-port",
                                   std::to_string(Vm.MetricsPort),
                                   "--store-address",
                                   Local(Links_.at("store-" + Vm.Name)),
                                   "--stop-seconds",
                                   std::to_string(Settings_.StopSeconds),
                                   "--log-lines-per-second",
                                   "1000"},
                                  Vm.LogFile);
  BOOST_REQUIRE_MESSAGE(Vm.Process, Vm.Name << " does not start");
}

PoolVm &PoolDeployment::vm(const std::string &Name) {
  auto Found = std::find_if(Vms_.begin(), Vms_.end(),
                            [&](const PoolVm &Candidate) { return Candidate.Name == Name; });
  BOOST_REQUIRE(Found != Vms_.end());
  return *Found;
}

bool PoolDeployment::isReady(const PoolVm &Vm) {
  httplib::Client Client("127.0.0.1", Vm.ReadinessPort);
  Client.set_connection_timeout(1s);
  Client.set_read_timeout(1s);
  auto Reply = Client.Get("/v1/readyz");
  return Reply && Reply->status == 200;
}

bool PoolDeployment::waitUntilReady(int Seconds) {
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (std::chrono::steady_clock::now() < Deadline) {
    bool AllReady = std::all_of(Vms_.begin(), Vms_.end(), [](PoolVm &Vm) {
      if (Vm.Process && !Vm.Process->isRunning())
        BOOST_FAIL(Vm.Name << " has ended with status " << Vm.Process->waitForExit(1).value_or(-1)
                           << "; see " << Vm.LogFile);
      return !Vm.Process || isReady(Vm);
    });
    if (AllReady && areAllWorkersHeld())
      return true;
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

bool PoolDeployment::areAllWorkersHeld() {
  std::map<std::string, double> Held;
  for (auto &Vm : Vms_)
    if (Vm.Process && Vm.Process->isRunning())
      Held[Vm.DataCentre] += metric(Vm, "cornellift_workers_held").value_or(0);
  return std::all_of(Held.begin(), Held.end(), [&](const auto &Entry) {
    return Entry.second == static_cast<double>(Settings_.WorkersPerDataCentre);
  });
}

std::string PoolDeployment::control(const std::string &Method, const std::string &Path,
                                    const std::string &Body) const {
  httplib::Client Client("127.0.0.1", ControlPort_);
  auto Reply = Method == "GET" ? Client.Get(Path) : Client.Post(Path, Body, "application/json");
  return Reply ? Reply->body : std::string();
}

bool PoolDeployment::controlLink(const std::string &Pattern, const std::string &Verb,
                                 const json &Body) const {
  httplib::Client Client("127.0.0.1", ProxyPort_);
  auto Reply = Client.Post("/links/" + Pattern + "/" + Verb, Body.dump(), "application/json");
  return Reply && Reply->status < 300;
}

void PoolDeployment::configure(std::uint64_t Version,
                               const std::vector<std::string> &Prefixes) const {
  control("POST", "/configuration", configurationText(Version, Prefixes, Settings_));
}

void PoolDeployment::configureManyRoutes(std::uint64_t Version, int Count) const {
  std::vector<std::string> Prefixes = {PoolPrefix};
  for (int Each = 0; Each < Count; ++Each)
    Prefixes.push_back("/added-" + std::to_string(Each) + "/");
  configure(Version, Prefixes);
}

std::vector<std::string> PoolDeployment::vmsWithoutVersion(std::uint64_t Version) {
  std::vector<std::string> Names;
  for (auto &Vm : Vms_)
    if (Vm.Process && Vm.Process->isRunning() &&
        metric(Vm, "cornellift_configuration_version") != static_cast<double>(Version))
      Names.push_back(Vm.Name);
  return Names;
}

std::vector<ObservedRun> PoolDeployment::runs() const {
  std::vector<ObservedRun> Result;
  std::istringstream Lines(control("GET", "/runs"));
  for (std::string Line; std::getline(Lines, Line);) {
    auto Row = json::parse(Line);
    Result.push_back({Row["job"], Row["step"], Row["index"], Row["worker"], Row["from_us"],
                      Row["to_us"], Row["end"]});
  }
  return Result;
}

void PoolDeployment::setEvacuated(const std::string &DataCentre, bool IsEvacuated) const {
  control("POST", std::string(IsEvacuated ? "/store/put" : "/store/remove") + "?key=op/evacuate/" +
                      DataCentre);
}

const std::string &PoolDeployment::dataCentreOf(const std::string &Worker) const {
  auto Number = std::stoul(Worker.substr(Worker.find('-') + 1));
  return Settings_.DataCentres[Number / Settings_.WorkersPerDataCentre];
}

std::size_t PoolDeployment::startsIn(const std::string &DataCentre) const {
  auto Runs = runs();
  return static_cast<std::size_t>(std::count_if(Runs.begin(), Runs.end(), [&](const auto &Run) {
    return dataCentreOf(Run.Worker) == DataCentre;
  }));
}

std::string PoolDeployment::managerOf(const std::string &DataCentre) {
  for (auto &Vm : Vms_)
    if (Vm.Process && Vm.Process->isRunning() && Vm.DataCentre == DataCentre &&
        metric(Vm, "cornellift_workers_held").value_or(0) > 0)
      return Vm.Name;
  return {};
}

std::vector<std::string> PoolDeployment::overlaps() const {
  std::map<std::string, std::vector<ObservedRun>> ByTask;
  for (auto &Run : runs())
    ByTask[Run.Job + "." + std::to_string(Run.Step) + "." + std::to_string(Run.Index)].push_back(
        Run);
  std::vector<std::string> Found;
  for (auto &[Task, Runs] : ByTask) {
    std::sort(Runs.begin(), Runs.end(), [](const auto &Left, const auto &Right) {
      return Left.FromMicroseconds < Right.FromMicroseconds;
    });
    for (std::size_t Position = 1; Position < Runs.size(); ++Position) {
      const auto &Former = Runs[Position - 1];
      if (Former.ToMicroseconds == 0 || Runs[Position].FromMicroseconds < Former.ToMicroseconds)
        Found.push_back(Task + " on " + Former.Worker + " and " + Runs[Position].Worker);
    }
  }
  return Found;
}

std::optional<double> PoolDeployment::metric(const PoolVm &Vm, const std::string &Name) {
  httplib::Client Client("127.0.0.1", Vm.MetricsPort);
  Client.set_connection_timeout(1s);
  Client.set_read_timeout(1s);
  auto Reply = Client.Get("/metrics");
  if (!Reply)
    return std::nullopt;
  std::istringstream Lines(Reply->body);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Name + " "))
      return std::stod(Line.substr(Name.size() + 1));
  return std::nullopt;
}

std::string newJobKey() {
  static std::atomic<std::uint64_t> Next{std::random_device()()};
  std::ostringstream Out;
  Out << std::hex << std::setw(16) << std::setfill('0') << (Next++ * 0x9E3779B97F4A7C15ULL);
  return Out.str();
}

std::string jobBody(int Tasks, int RunMilliseconds, const std::string &Extra) {
  return json{
      {"spec", "run_ms=" + std::to_string(RunMilliseconds) + " cores=2 " + Extra},
      {"bestEffort", true},
      {"phases",
       {{{"count", Tasks}, {"cpu", 2000}, {"memMb", 64}, {"estRuntimeMs", RunMilliseconds}}}}}
      .dump();
}

JobReply postJob(std::uint16_t Port, const std::string &Key, int Tasks, int RunMilliseconds,
                 const std::string &Extra, int TimeoutMilliseconds) {
  httplib::Client Client("127.0.0.1", Port);
  Client.set_connection_timeout(1s);
  Client.set_read_timeout(std::chrono::milliseconds(TimeoutMilliseconds));
  httplib::Headers Headers = {{"Host", PoolHost},
                              {"Deadline-Ms", std::to_string(TimeoutMilliseconds)}};
  auto Reply = Client.Post(PoolPrefix + Key, Headers, jobBody(Tasks, RunMilliseconds, Extra),
                           "application/json");
  JobReply Result;
  Result.WasConnected = Reply || Reply.error() != httplib::Error::Connection;
  if (!Reply)
    return Result;
  Result.Status = Reply->status;
  if (Reply->has_header("Retry-After"))
    Result.RetryAfterSeconds = std::stoi(Reply->get_header_value("Retry-After"));
  auto Body = json::parse(Reply->body, nullptr, false);
  if (Body.is_object() && Body.contains("state"))
    Result.State = Body["state"];
  return Result;
}

} // namespace cornellift::integration
