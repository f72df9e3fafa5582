// Starts a small deployment of cornellift-poold on loopback, with the repository's stand-in for the
// store and the workers, and gives the cases callers that send, break off and repeat requests.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

constexpr int RuleBroken = 1;
constexpr int RuleHeld = 0;
constexpr int CannotRun = 2;

inline Clock::time_point &startOfCase() {
  static Clock::time_point Start = Clock::now();
  return Start;
}
inline double secondsOf(Clock::time_point Time) {
  return std::chrono::duration<double>(Time - startOfCase()).count();
}
inline double now() { return secondsOf(Clock::now()); }
inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}
inline void sleepUntil(double Second) {
  if (Second > now())
    sleepFor(Second - now());
}

/// record.txt in the folder of the case: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &File) : Out_(std::fopen(File.c_str(), "w")) {}
  ~Record() {
    if (Out_)
      std::fclose(Out_);
  }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard Lock(Mutex_);
    char Text[2048];
    va_list Arguments;
    va_start(Arguments, Format);
    std::vsnprintf(Text, sizeof(Text), Format, Arguments);
    va_end(Arguments);
    for (std::FILE *Each : {Out_, stdout})
      if (Each) {
        std::fprintf(Each, "%8.3f  %s\n", now(), Text);
        std::fflush(Each);
      }
  }

private:
  std::FILE *Out_;
  std::mutex Mutex_;
};

inline sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Ports that were free when asked for; no port is returned twice. They lie below those that the
/// system gives to outgoing connections, and cases that run at the same time begin at different
/// ones.
inline int freePort() {
  constexpr int First = 10000;
  constexpr int Ports = 20000;
  constexpr int PortsOfCase = 61;
  static int Offset = static_cast<int>(::getpid()) * PortsOfCase % Ports;
  for (;;) {
    int Port = First + Offset++ % Ports;
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    auto Address = loopback(Port);
    bool IsBound = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0;
    ::close(Socket);
    if (IsBound)
      return Port;
  }
}

/// One request of a caller on a connection of its own.
class Request {
public:
  Request(int Port, const std::string &Method, const std::string &Path, const std::string &Host,
          const std::string &Body = {}, int DeadlineMilliseconds = 0) {
    Socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    auto Address = loopback(Port);
    int On = 1;
    ::setsockopt(Socket_, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    SentAt = now();
    if (::connect(Socket_, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0)
      return;
    std::string Text = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host + "\r\n";
    if (DeadlineMilliseconds > 0)
      Text += "Deadline-Ms: " + std::to_string(DeadlineMilliseconds) + "\r\n";
    if (!Body.empty())
      Text += "Content-Type: application/json\r\n";
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
    IsSent_ = ::send(Socket_, Text.data(), Text.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(Text.size());
  }
  Request(const Request &) = delete;
  ~Request() { ::close(Socket_); }

  /// Reads until the answer is complete. Returns the status; 0 if the connection ended before that,
  /// -1 if nothing complete came in time.
  int wait(double Seconds) {
    double Until = now() + Seconds;
    while (IsSent_) {
      auto Head = Text_.find("\r\n\r\n");
      if (Head != std::string::npos) {
        auto Field = Text_.find("Content-Length: ");
        std::size_t Length = Field < Head ? std::strtoul(&Text_[Field + 16], nullptr, 10) : 0;
        if (Text_.size() >= Head + 4 + Length) {
          Body = Text_.substr(Head + 4, Length);
          AnsweredAt = now();
          return Status = std::atoi(&Text_[9]);
        }
      }
      pollfd Wanted{Socket_, POLLIN, 0};
      int Left = static_cast<int>((Until - now()) * 1000);
      if (Left <= 0 || ::poll(&Wanted, 1, Left) <= 0)
        return Status = -1;
      char Part[4096];
      auto Count = ::recv(Socket_, Part, sizeof(Part), 0);
      if (Count <= 0)
        break;
      Text_.append(Part, static_cast<std::size_t>(Count));
    }
    AnsweredAt = now();
    return Status = 0;
  }

  /// Breaks the connection, so that both ends see a reset.
  void reset() {
    linger Hard{1, 0};
    ::setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    ::close(Socket_);
    Socket_ = -1;
  }

  double SentAt = 0;
  double AnsweredAt = 0;
  int Status = 0;
  std::string Body;

private:
  int Socket_ = -1;
  bool IsSent_ = false;
  std::string Text_;
};

/// A run of a task as a worker saw it, in seconds of the case.
struct Run {
  std::string Job;
  int Step = 0;
  int Index = 0;
  int Number = 0;
  std::string Worker;
  double From = 0;
  double To = 0; ///< The time of the listing while it runs.
  std::string End;
};

struct Vm {
  std::string Name;
  std::string Zone;
  int Front = 0;
  int Readiness = 0;
  int Mesh = 0;
  int Metrics = 0;
  std::string Settings;
  std::string Log;
  pid_t Process = 0;
};

inline std::string configuration() {
  return R"({"version": 1,
 "routes": [{"name": "slips", "host": "slips.example", "prefix": "/slips/", "kind": "non_idempotent",
   "timeoutMs": 15000, "targetLatencyMs": 60, "priority": 0, "service": "slip-service",
   "maxAttempts": 3, "stretch": 1.6}],
 "services": [{"name": "slip-service", "maxConns": 64, "enforcesCapacity": true}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
   "idleTimeoutMs": 15000}}
)";
}

struct DeploymentSettings {
  std::vector<std::string> Zones = {"ikeja", "yaba", "apapa"};
  std::map<std::string, int> VmsByZone; ///< One in each zone that is not named.
  int WorkersPerZone = 4;
  int Cores = 16;
  /// Relative to a typical worker; the slower kind of the site slipworks-hq.
  std::string Speed = "0.7";
  int StorePort = 0; ///< Of a store that the case serves itself; zero starts the stand-in.
};

class Deployment {
public:
  Deployment(const DeploymentSettings &Settings, Record &Out) : Settings_(Settings), Out_(Out) {
    char Pattern[] = "/tmp/cornellift-review-XXXXXX";
    Folder_ = ::mkdtemp(Pattern);
    StorePort_ = Settings.StorePort;
    if (StorePort_ == 0)
      startPlatform();
    for (const auto &Zone : Settings.Zones) {
      auto Count = Settings.VmsByZone.contains(Zone) ? Settings.VmsByZone.at(Zone) : 1;
      for (int Number = 1; Number <= Count; ++Number)
        Vms.push_back({Zone + "-" + std::to_string(Number),
                       Zone,
                       freePort(),
                       freePort(),
                       freePort(),
                       freePort(),
                       {},
                       {},
                       0});
    }
    for (auto &Each : Vms) {
      Each.Settings = Folder_ + "/" + Each.Name + ".conf";
      Each.Log = Folder_ + "/" + Each.Name + ".log";
      writeSettings(Each);
      start(Each);
    }
  }

  ~Deployment() {
    for (auto &Each : Vms)
      end(Each.Process);
    end(Platform_);
    if (!std::getenv("KEEP_LOGS"))
      std::filesystem::remove_all(Folder_);
    else
      std::printf("logs in %s\n", Folder_.c_str());
  }

  Vm &vm(const std::string &Name) {
    for (auto &Each : Vms)
      if (Each.Name == Name)
        return Each;
    std::abort();
  }

  void start(Vm &Each) {
    Each.Process = launch({"target/Services/PoolDaemon/cornellift-poold"},
                          "CORNELLIFT_NODE_FILE=" + Each.Settings, Each.Log);
  }
  void signal(Vm &Each, int Signal) { ::kill(Each.Process, Signal); }
  void kill(Vm &Each) {
    end(Each.Process);
    Each.Process = 0;
  }
  /// Returns whether the process has ended by now.
  bool hasEnded(Vm &Each) {
    if (Each.Process > 0 && ::waitpid(Each.Process, nullptr, WNOHANG) == Each.Process)
      Each.Process = 0;
    return Each.Process == 0;
  }

  bool isReady(const Vm &Each) {
    Request Check(Each.Readiness, "GET", "/v1/readyz", "platform");
    return Check.wait(1) == 200;
  }
  /// Waits until every VM is ready and the zones' own VMs manage all workers.
  bool waitUntilReady(double Seconds = 20) {
    double Until = now() + Seconds;
    std::size_t Ready = 0;
    while (now() < Until && Ready < Vms.size()) {
      Ready = 0;
      for (const auto &Each : Vms)
        Ready += isReady(Each) ? 1 : 0;
      sleepFor(0.1);
    }
    sleepFor(4); // Longer than a handover between managers.
    return Ready == Vms.size();
  }

  std::string control(const std::string &Method, const std::string &Path,
                      const std::string &Body = {}) {
    Request Call(ControlPort_, Method, Path, "control", Body);
    return Call.wait(3) == 200 ? Call.Body : std::string();
  }

  std::vector<Run> runs() {
    std::vector<Run> Result;
    std::istringstream Lines(control("GET", "/runs"));
    auto Start = std::chrono::duration<double>(startOfCase().time_since_epoch()).count();
    double ListedAt = now();
    for (std::string Line; std::getline(Lines, Line);) {
      auto Text = [&](const std::string &Name) {
        auto At = Line.find("\"" + Name + "\":") + Name.size() + 3;
        if (Line[At] == '"')
          return Line.substr(At + 1, Line.find('"', At + 1) - At - 1);
        return Line.substr(At, Line.find_first_of(",}", At) - At);
      };
      Run Each{Text("job"),
               std::stoi(Text("step")),
               std::stoi(Text("index")),
               std::stoi(Text("run")),
               Text("worker"),
               std::stod(Text("from_us")) / 1e6 - Start,
               std::stod(Text("to_us")) / 1e6 - Start,
               Text("end")};
      if (Each.End == "running")
        Each.To = ListedAt;
      Result.push_back(Each);
    }
    return Result;
  }

  /// Writes all runs of the job into the record.
  void recordRuns(const std::string &Job) {
    for (const auto &Each : runs())
      if (Each.Job == Job)
        Out_.line("run %s.0.%d.%d run %d on %s from %.3f to %.3f: %s", Each.Job.c_str(), Each.Step,
                  Each.Index, Each.Number, Each.Worker.c_str(), Each.From, Each.To,
                  Each.End.c_str());
  }

  const std::string &folder() const { return Folder_; }
  std::vector<Vm> Vms;

private:
  static pid_t launch(const std::vector<std::string> &Command, const std::string &Variable,
                      const std::string &Log) {
    pid_t Child = ::fork();
    if (Child != 0)
      return Child;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing outlives a case that is ended from outside.
    int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    for (int Descriptor = 3; Descriptor < 256; ++Descriptor)
      ::close(Descriptor);
    std::vector<char *> Arguments;
    for (const auto &Each : Command)
      Arguments.push_back(const_cast<char *>(Each.c_str()));
    Arguments.push_back(nullptr);
    std::string Path = std::string("PATH=") + std::getenv("PATH");
    std::string Copy = Variable;
    char *Environment[] = {Path.data(), Copy.empty() ? nullptr : Copy.data(), nullptr};
    ::execve(Arguments[0], Arguments.data(), Environment);
    ::_exit(127);
  }

  static void end(pid_t Process) {
    if (Process <= 0)
      return;
    ::kill(Process, SIGCONT);
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }

  void startPlatform() {
    StorePort_ = freePort();
    ControlPort_ = freePort();
    std::ofstream(Folder_ + "/configuration.json") << configuration();
    std::string Zones;
    for (const auto &Zone : Settings_.Zones)
      Zones += (Zones.empty() ? "" : ",") + Zone;
    Platform_ = launch({"target/Services/FleetStandIn/cornellift-fleet-stand-in", "--store-port",
                        std::to_string(StorePort_), "--control-port", std::to_string(ControlPort_),
                        "--data-centres", Zones, "--workers",
                        std::to_string(Settings_.WorkersPerZone), "--cores",
                        std::to_string(Settings_.Cores), "--speeds", Settings_.Speed, "--service",
                        "slip-service", "--configuration-file", Folder_ + "/configuration.json"},
                       {}, Folder_ + "/platform.log");
    sleepFor(0.5);
  }

  /// The lines of platform/node.settings.template, and a metrics port of the VM's own.
  void writeSettings(const Vm &Each) {
    std::string Zones;
    std::string Seeds;
    for (const auto &Zone : Settings_.Zones)
      Zones += (Zones.empty() ? "" : ",") + Zone;
    for (const auto &Other : Vms)
      if (Seeds.size() < 40) // At most three.
        Seeds += (Seeds.empty() ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(Other.Mesh);
    std::ofstream(Each.Settings) << "vm-name=" << Each.Name << "\ndata-centre=" << Each.Zone
                                 << "\ndata-centres=" << Zones
                                 << "\ncaller-address=127.0.0.1:" << Each.Front
                                 << "\nreadiness-address=127.0.0.1:" << Each.Readiness
                                 << "\nmesh-address=127.0.0.1:" << Each.Mesh
                                 << "\nseed-addresses=" << Seeds
                                 << "\nstore-address=127.0.0.1:" << StorePort_
                                 << "\nplatform=kv\nprocessor-share=0.25\nstop-seconds=6"
                                 << "\nremote-factor=1.5\nmetrics-port=" << Each.Metrics << "\n";
  }

  DeploymentSettings Settings_;
  Record &Out_;
  std::string Folder_;
  int StorePort_ = 0;
  int ControlPort_ = 0;
  pid_t Platform_ = 0;
};

/// Body of a job with one step that its caller waits for.
inline std::string jobBody(int Tasks, int RunMilliseconds, double Cores = 6.8) {
  std::ostringstream Out;
  Out << R"({"spec":"run_ms=)" << RunMilliseconds << " cores=" << Cores
      << R"(","bestEffort":true,"phases":[{"count":)" << Tasks << R"(,"cpu":)"
      << static_cast<int>(Cores * 1000) << R"(,"memMb":64,"estRuntimeMs":)" << RunMilliseconds
      << "}]}";
  return Out.str();
}

/// False with TROUBLE=0 in the environment.
inline bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

} // namespace review
