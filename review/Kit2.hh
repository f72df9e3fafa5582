// What the cases 6 to 10 share: starts the programs of a small deployment as separate processes on
// loopback addresses, calls them over HTTP, and keeps a record.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

/// Exit codes of a script.
enum Result { Held = 0, Broken = 1, CannotRun = 2 };

/// Milliseconds on the clock that the stand-in for the workers uses for its list of runs.
inline double nowMs() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return static_cast<double>(Time.tv_sec) * 1e3 + static_cast<double>(Time.tv_nsec) / 1e6;
}

inline void sleepMs(double Milliseconds) {
  if (Milliseconds > 0)
    usleep(static_cast<useconds_t>(Milliseconds * 1000));
}

inline void sleepUntil(double Ms) { sleepMs(Ms - nowMs()); }

inline bool hasTrouble() {
  const char *Value = getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// Lines with the time since the start of the script.
class Record {
public:
  explicit Record(const std::string &Path) : Out_(Path), Start_(nowMs()) {}

  void line(const std::string &Text) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    char Time[32];
    snprintf(Time, sizeof Time, "%8.3f s  ", (nowMs() - Start_) / 1000);
    Out_ << Time << Text << "\n";
    Out_.flush();
  }

  double secondsAt(double Ms) const { return (Ms - Start_) / 1000; }

private:
  std::mutex Mutex_;
  std::ofstream Out_;
  double Start_;
};

inline int listenOn(const std::string &Ip, std::uint16_t Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) != 0 ||
      listen(Fd, 128) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

inline std::uint16_t freePort(const std::string &Ip) {
  int Fd = listenOn(Ip, 0);
  sockaddr_in Address{};
  socklen_t Length = sizeof Address;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Length);
  close(Fd);
  return ntohs(Address.sin_port);
}

/// The processes that run, for the end of a script that takes too long.
inline std::array<std::atomic<pid_t>, 64> RunningPids;

/// Ends all processes and the script itself. Called on SIGALRM and SIGTERM.
inline void endAll(int) {
  for (auto &Each : RunningPids)
    if (pid_t Pid = Each)
      kill(Pid, SIGKILL);
  _exit(CannotRun);
}

/// Ends the script if it runs for longer than this.
inline void limitTo(unsigned Seconds) {
  ::signal(SIGALRM, endAll);
  ::signal(SIGTERM, endAll);
  ::signal(SIGINT, endAll);
  alarm(Seconds);
}

/// A process that this script has started. It is ended at the latest with this object.
class Process {
public:
  Process(const std::vector<std::string> &Command,
          const std::map<std::string, std::string> &Environment, const std::string &LogPath) {
    Pid_ = fork();
    if (Pid_ != 0) {
      replaceInList(0, Pid_);
      return;
    }
    for (int Number : {SIGALRM, SIGTERM, SIGINT})
      ::signal(Number, SIG_DFL);
    int Log = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Log, 1);
    dup2(Log, 2);
    for (const auto &[Name, Value] : Environment)
      setenv(Name.c_str(), Value.c_str(), 1);
    std::vector<char *> Arguments;
    for (const auto &Word : Command)
      Arguments.push_back(const_cast<char *>(Word.c_str()));
    Arguments.push_back(nullptr);
    execv(Arguments[0], Arguments.data());
    _exit(127);
  }
  Process(const Process &) = delete;
  ~Process() {
    if (hasEnded())
      return;
    kill(Pid_, SIGCONT);
    kill(Pid_, SIGKILL);
    waitpid(Pid_, nullptr, 0);
    replaceInList(Pid_, 0);
  }

  void signal(int Number) {
    if (!hasEnded())
      kill(Pid_, Number);
  }
  bool hasEnded() {
    if (!Ended_ && waitpid(Pid_, &Status_, WNOHANG) == Pid_) {
      Ended_ = true;
      replaceInList(Pid_, 0);
    }
    return Ended_;
  }
  bool waitForEnd(double UntilMs) {
    while (!hasEnded() && nowMs() < UntilMs)
      sleepMs(2);
    return hasEnded();
  }
  /// Wait status, once the process has ended.
  int status() const { return Status_; }

private:
  static void replaceInList(pid_t Former, pid_t New) {
    for (auto &Each : RunningPids)
      if (pid_t Expected = Former; Each.compare_exchange_strong(Expected, New))
        return;
  }

  pid_t Pid_ = -1;
  bool Ended_ = false;
  int Status_ = 0;
};

struct Answer {
  int Status = 0; ///< 0: the connection ended, or the time was over, without a complete answer.
  std::string Body;
  bool WasConnected = false;
  bool WasClosed = false; ///< The other side ended the connection.
  double SentAtMs = 0;
  double EndedAtMs = 0;
};

/// One request on a connection of its own. GiveUp, if set to true meanwhile, closes the connection.
inline Answer call(const std::string &Ip, std::uint16_t Port, const std::string &Method,
                   const std::string &Path, const std::string &Headers, const std::string &Body,
                   double TimeoutMs, const std::atomic<bool> *GiveUp = nullptr) {
  Answer Result;
  double Until = nowMs() + TimeoutMs;
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  auto WaitFor = [&](short Events) {
    while (nowMs() < Until && !(GiveUp && *GiveUp)) {
      pollfd Entry{Fd, Events, 0};
      if (poll(&Entry, 1, 10) > 0)
        return true;
    }
    return false;
  };
  connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  int Error = 0;
  socklen_t Length = sizeof Error;
  if (WaitFor(POLLOUT) && getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Length) == 0 && Error == 0)
    Result.WasConnected = true;
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n" + Headers;
  if (Method == "POST")
    Text +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n" + Body;
  Result.SentAtMs = nowMs();
  if (Result.WasConnected &&
      send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(Text.size())) {
    std::string In;
    char Buffer[4096];
    while (Result.Status == 0 && WaitFor(POLLIN)) {
      auto Count = recv(Fd, Buffer, sizeof Buffer, 0);
      if (Count <= 0) {
        Result.WasClosed = true;
        break;
      }
      In.append(Buffer, static_cast<std::size_t>(Count));
      auto End = In.find("\r\n\r\n");
      if (End == std::string::npos)
        continue;
      auto Stated = In.find("Content-Length: ");
      std::size_t Bytes = Stated < End ? std::strtoul(In.c_str() + Stated + 16, nullptr, 10) : 0;
      if (In.size() < End + 4 + Bytes)
        continue;
      Result.Status = std::atoi(In.c_str() + 9);
      Result.Body = In.substr(End + 4, Bytes);
    }
  }
  Result.EndedAtMs = nowMs();
  close(Fd);
  return Result;
}

/// A start of a task, as a worker saw it. Times in milliseconds; ToMs is 0 while it runs.
struct Run {
  std::string Job, Worker, End;
  int Step = 0, Index = 0, Number = 0;
  double FromMs = 0, ToMs = 0;
};

inline std::string fieldOf(const std::string &Line, const std::string &Name) {
  auto At = Line.find("\"" + Name + "\":");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 3;
  bool IsText = Line[At] == '"';
  At += IsText ? 1 : 0;
  return Line.substr(At, Line.find_first_of(IsText ? "\"" : ",}", At) - At);
}

inline std::vector<Run> parseRuns(const std::string &Lines) {
  std::vector<Run> Runs;
  std::istringstream In(Lines);
  for (std::string Line; std::getline(In, Line);) {
    Run Each;
    Each.Job = fieldOf(Line, "job");
    Each.Worker = fieldOf(Line, "worker");
    Each.End = fieldOf(Line, "end");
    Each.Step = std::atoi(fieldOf(Line, "step").c_str());
    Each.Index = std::atoi(fieldOf(Line, "index").c_str());
    Each.Number = std::atoi(fieldOf(Line, "run").c_str());
    Each.FromMs = std::strtod(fieldOf(Line, "from_us").c_str(), nullptr) / 1000;
    Each.ToMs = std::strtod(fieldOf(Line, "to_us").c_str(), nullptr) / 1000;
    Runs.push_back(Each);
  }
  return Runs;
}

/// An entry VM.
struct Vm {
  std::string Name, Zone, Ip;
  std::uint16_t FrontPort = 0, ReadinessPort = 0, ControlPort = 0;
  std::string SettingsPath, LogPath;
  std::unique_ptr<Process> Program;
};

struct Shape {
  std::map<std::string, int> VmsByZone;
  int WorkersPerZone = 6;
  double CoresPerWorker = 16;
  std::string Configuration;
};

constexpr int GraceMs = 6000;
/// A script may run for 120 s.
constexpr unsigned MaximumSeconds = 110;

/// The stand-in for the store and the workers, and the entry VMs, in a temporary folder. The folder
/// is removed at the end unless KEEP is set.
class Deployment {
public:
  explicit Deployment(const Shape &Wanted) {
    limitTo(MaximumSeconds);
    char Template[] = "/tmp/cornellift-review-XXXXXX";
    Folder_ = mkdtemp(Template);
    std::ofstream(Folder_ + "/configuration.json") << Wanted.Configuration;
    // A network of its own, so that the fixed port for metrics is free on each address.
    Network_ = "127." + std::to_string(2 + getpid() % 250) + "." +
               std::to_string(getpid() / 250 % 250) + ".";
    StoreIp_ = "127.0.0.1";
    StorePort_ = freePort(StoreIp_);
    ControlPort_ = freePort(StoreIp_);
    std::string Zones;
    for (const auto &[Zone, Count] : Wanted.VmsByZone)
      Zones += (Zones.empty() ? "" : ",") + Zone;
    Fleet_ = std::make_unique<Process>(
        std::vector<std::string>{"target/Services/FleetStandIn/cornellift-fleet-stand-in",
                                 "--store-port", std::to_string(StorePort_), "--control-port",
                                 std::to_string(ControlPort_), "--data-centres", Zones, "--workers",
                                 std::to_string(Wanted.WorkersPerZone), "--cores",
                                 std::to_string(Wanted.CoresPerWorker), "--service", "print",
                                 "--configuration-file", Folder_ + "/configuration.json"},
        std::map<std::string, std::string>{}, Folder_ + "/fleet.log");
    for (const auto &[Zone, Count] : Wanted.VmsByZone)
      for (int Number = 1; Number <= Count; ++Number) {
        auto &Added = Vms_.emplace_back();
        Added.Name = Zone + "-" + std::to_string(Number);
        Added.Zone = Zone;
        Added.Ip = Network_ + std::to_string(Vms_.size());
        Added.FrontPort = freePort(Added.Ip);
        Added.ReadinessPort = freePort(Added.Ip);
        Added.ControlPort = freePort(Added.Ip);
        Added.SettingsPath = Folder_ + "/" + Added.Name + ".conf";
        Added.LogPath = Folder_ + "/" + Added.Name + ".log";
      }
    for (auto &Each : Vms_)
      writeSettings(Each, Zones);
    for (auto &Each : Vms_)
      start(Each);
  }
  ~Deployment() {
    Vms_.clear();
    Fleet_.reset();
    if (!getenv("KEEP")) {
      auto Command = "rm -rf " + Folder_;
      if (system(Command.c_str()) != 0)
        perror("rm");
    }
  }

  std::vector<Vm> &vms() { return Vms_; }
  Vm &vm(const std::string &Name) {
    return *std::find_if(Vms_.begin(), Vms_.end(),
                         [&](const Vm &Each) { return Each.Name == Name; });
  }
  const std::string &folder() const { return Folder_; }

  /// The line `run` of deploy/system.toml, with the settings file where the variable names it.
  void start(Vm &Each) {
    Each.Program = std::make_unique<Process>(
        std::vector<std::string>{"target/Services/PoolDaemon/cornellift-poold"},
        std::map<std::string, std::string>{{"CORNELLIFT_NODE_FILE", Each.SettingsPath}},
        Each.LogPath);
  }

  bool isReady(const Vm &Each) const {
    return call(Each.Ip, Each.ReadinessPort, "GET", "/v1/readyz", "Host: balancer\r\n", "", 900)
               .Status == 200;
  }

  /// Waits until all VMs are ready, and for the hand-overs after that.
  bool waitUntilReady() {
    double Until = nowMs() + 15000;
    for (const auto &Each : Vms_)
      while (!isReady(Each)) {
        if (nowMs() > Until)
          return false;
        sleepMs(50);
      }
    sleepMs(4000);
    return true;
  }

  /// A call to the stand-in's control port.
  std::string control(const std::string &Path) const {
    return call(StoreIp_, ControlPort_, Path == "/runs" ? "GET" : "POST", Path, "Host: control\r\n",
                "", 5000)
        .Body;
  }
  std::vector<Run> runs() const { return parseRuns(control("/runs")); }
  /// Puts a value into the stand-in's store.
  bool put(const std::string &Key, const std::string &Value) const {
    return call(StoreIp_, ControlPort_, "POST", "/store/put?key=" + Key, "Host: control\r\n", Value,
                5000)
               .Status == 200;
  }

private:
  /// As platform/node.settings.template, with the figures of the smallest deployment.
  void writeSettings(const Vm &Each, const std::string &Zones) const {
    std::string Seeds;
    for (std::size_t Number = 0; Number < Vms_.size() && Number < 3; ++Number)
      Seeds +=
          (Number ? "," : "") + Vms_[Number].Ip + ":" + std::to_string(Vms_[Number].ControlPort);
    std::map<std::string, std::string> Values = {
        {"{{nodeName}}", Each.Name},
        {"{{zone}}", Each.Zone},
        {"{{#zones}}{{@}}{{,}}{{/zones}}", Zones},
        {"{{listenAddrs.front}}", Each.Ip + ":" + std::to_string(Each.FrontPort)},
        {"{{listenAddrs.readiness}}", Each.Ip + ":" + std::to_string(Each.ReadinessPort)},
        {"{{listenAddrs.control}}", Each.Ip + ":" + std::to_string(Each.ControlPort)},
        {"{{seeds}}", Seeds},
        {"{{platform.address}}", StoreIp_ + ":" + std::to_string(StorePort_)},
        {"{{platform.form}}", "kv"},
        {"{{limits.cpuShare}}", "0.25"},
        {"{{bounds.graceS}}", std::to_string(GraceMs / 1000)},
        {"{{bounds.remoteFactor}}", "1.5"}};
    std::ifstream In("platform/node.settings.template");
    std::string Text((std::istreambuf_iterator<char>(In)), std::istreambuf_iterator<char>());
    for (const auto &[Name, Value] : Values)
      for (auto At = Text.find(Name); At != std::string::npos; At = Text.find(Name))
        Text.replace(At, Name.size(), Value);
    std::ofstream(Each.SettingsPath) << Text;
  }

  std::string Folder_, Network_, StoreIp_;
  std::uint16_t StorePort_ = 0, ControlPort_ = 0;
  std::unique_ptr<Process> Fleet_;
  std::vector<Vm> Vms_;
};

/// A configuration with one queue, /slips/ on slips.example, whose tasks run on the service print.
inline std::string configurationWith(int TargetLatencyMs, int TimeoutMs = 5000) {
  return R"({"version": 1, "routes": [{"name": "slips", "host": "slips.example", "prefix": "/slips/",
    "kind": "non_idempotent", "timeoutMs": )" +
         std::to_string(TimeoutMs) + R"(, "targetLatencyMs": )" + std::to_string(TargetLatencyMs) +
         R"(, "priority": 0, "service": "print", "maxAttempts": 3, "stretch": 2.0}],
    "services": [{"name": "print", "maxConns": 64, "enforcesCapacity": true}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})";
}

/// A job of one step of tasks of the same run time, answered when it has ended.
inline std::string job(int Tasks, int RunMs, double Cores) {
  std::ostringstream Out;
  Out << R"({"spec":"run_ms=)" << RunMs << " cores=" << Cores
      << R"(","bestEffort":true,"phases":[{"count":)" << Tasks << R"(,"cpu":)"
      << static_cast<int>(Cores * 1000) << R"(,"memMb":16,"estRuntimeMs":)" << RunMs << "}]}";
  return Out.str();
}

inline Answer post(const Vm &To, const std::string &Id, const std::string &Body, int DeadlineMs,
                   const std::atomic<bool> *GiveUp = nullptr) {
  return call(To.Ip, To.FrontPort, "POST", "/slips/" + Id,
              "Host: slips.example\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n", Body,
              DeadlineMs, GiveUp);
}

inline Answer cancel(const Vm &To, const std::string &Id, double TimeoutMs) {
  return call(To.Ip, To.FrontPort, "DELETE", "/slips/" + Id, "Host: slips.example\r\n", "",
              TimeoutMs);
}

inline std::string idOf(std::uint64_t Number) {
  char Text[17];
  snprintf(Text, sizeof Text, "%016llx", static_cast<unsigned long long>(Number));
  return Text;
}

} // namespace kit
