// A small deployment on loopback for the cases of the third review: the project's own programs as
// separate processes, a blocking HTTP client, and a record of what was sent, answered and run.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace stage {

enum Outcome { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

/// Seconds on the clock on which the worker stand-in dates its runs.
inline double clockSeconds() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return static_cast<double>(Now.tv_sec) + static_cast<double>(Now.tv_nsec) / 1e9;
}

inline void sleepUntil(double Seconds) {
  double Left = Seconds - clockSeconds();
  if (Left > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Left));
}

inline void sleepFor(double Seconds) { sleepUntil(clockSeconds() + Seconds); }

/// The status of an HTTP call; zero if no answer came.
struct Answer {
  int Status = 0;
  std::string Body;
  std::string Failure; ///< Why no answer came: refused, broken or timeout.
  double SentAt = 0;
  double EndedAt = 0;
};

class Connection {
public:
  Connection(const std::string &Ip, int Port) {
    Socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int One = 1;
    ::setsockopt(Socket_, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    IsOpen_ = ::connect(Socket_, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0;
  }
  ~Connection() { ::close(Socket_); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool isOpen() const { return IsOpen_; }

  bool write(const std::string &Text) {
    for (std::size_t Done = 0; Done < Text.size();) {
      auto Count = ::send(Socket_, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Done += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Reads one answer; the failure is "broken" or "timeout" if it does not arrive in time.
  Answer read(double Deadline) {
    Answer Result;
    std::size_t HeadEnd = std::string::npos;
    std::size_t Length = 0;
    while (true) {
      if (HeadEnd == std::string::npos && (HeadEnd = Received_.find("\r\n\r\n")) != std::string::npos)
        Length = lengthIn(Received_.substr(0, HeadEnd));
      if (HeadEnd != std::string::npos && Received_.size() >= HeadEnd + 4 + Length)
        break;
      pollfd Watched{Socket_, POLLIN, 0};
      double Left = Deadline - clockSeconds();
      if (Left <= 0 || ::poll(&Watched, 1, static_cast<int>(Left * 1000) + 1) == 0) {
        Result.Failure = "timeout";
        return Result;
      }
      char Buffer[16384];
      auto Count = ::recv(Socket_, Buffer, sizeof Buffer, 0);
      if (Count <= 0) {
        Result.Failure = "broken";
        return Result;
      }
      Received_.append(Buffer, static_cast<std::size_t>(Count));
    }
    Result.Status = std::atoi(Received_.c_str() + std::strlen("HTTP/1.1 "));
    Result.Body = Received_.substr(HeadEnd + 4, Length);
    Received_.erase(0, HeadEnd + 4 + Length);
    return Result;
  }

private:
  static std::size_t lengthIn(std::string Head) {
    for (auto &Letter : Head)
      Letter = static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
    auto Position = Head.find("content-length:");
    return Position == std::string::npos
               ? 0
               : static_cast<std::size_t>(std::atoll(Head.c_str() + Position + 15));
  }

  int Socket_ = -1;
  bool IsOpen_ = false;
  std::string Received_;
};

inline Answer call(const std::string &Ip, int Port, const std::string &Method,
                   const std::string &Target, const std::string &Headers, const std::string &Body,
                   double Timeout) {
  double SentAt = clockSeconds();
  Connection Used(Ip, Port);
  Answer Result;
  if (!Used.isOpen()) {
    Result.Failure = "refused";
  } else {
    auto Request = Method + " " + Target + " HTTP/1.1\r\n" + Headers;
    if (Method == "POST")
      Request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(Body.size()) +
                 "\r\n";
    Request += "\r\n" + Body;
    if (Used.write(Request))
      Result = Used.read(SentAt + Timeout);
    else
      Result.Failure = "broken";
  }
  Result.SentAt = SentAt;
  Result.EndedAt = clockSeconds();
  return Result;
}

/// A run of a task, as the worker stand-in lists it.
struct Run {
  std::string Job;
  int Index = 0;
  int Number = 0;
  std::string Worker;
  double From = 0;
  double To = 0; ///< Zero while it runs.
  std::string End;
};

struct Vm {
  std::string Name;
  std::string DataCentre;
  std::string Ip;
  std::string File;
};

struct Plan {
  std::vector<std::string> DataCentres{"ikeja", "yaba"};
  int VmsInEach = 2;
  int WorkersInEach = 3;
  int CoresOfWorker = 16;
  bool HasStoreProxy = false; ///< A link of the fault proxy between each VM and the store.
  std::string Configuration;
};

constexpr int FrontPort = 8161;
constexpr int ReadinessPort = 8167;
constexpr int MeshPort = 8166;
constexpr int MetricsPort = 9464;
constexpr const char *Host = "slips.example";

/// A route of the operator's configuration.
inline std::string route(const std::string &Name, const std::string &Prefix) {
  return "{\"name\":\"" + Name + "\",\"host\":\"" + Host + "\",\"prefix\":\"" + Prefix +
         "\",\"kind\":\"non_idempotent\",\"timeoutMs\":8000,\"targetLatencyMs\":60,\"priority\":0,"
         "\"service\":\"print\",\"maxAttempts\":3,\"stretch\":1.6}";
}

inline std::string configuration(int Version, const std::vector<std::string> &Routes) {
  std::string Text = "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
  for (std::size_t Each = 0; Each < Routes.size(); ++Each)
    Text += (Each ? "," : "") + Routes[Each];
  return Text + "],\"services\":[{\"name\":\"print\",\"maxConns\":64,\"enforcesCapacity\":true}],"
                "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/// Runs the deployment, and ends all of its processes with itself.
class Stage {
public:
  explicit Stage(const char *RecordFile) : Record_(std::fopen(RecordFile, "w")) {
    char Pattern[] = "/tmp/review3-XXXXXX";
    Folder_ = ::mkdtemp(Pattern) ? Pattern : "";
    if (!Record_ || Folder_.empty())
      throw std::runtime_error("cannot write the record or make a temporary folder");
    StartedAt_ = clockSeconds();
    std::signal(SIGPIPE, SIG_IGN);
  }

  ~Stage() {
    for (auto &[Name, Pid] : Pids_)
      ::kill(Pid, SIGKILL);
    for (auto &[Name, Pid] : Pids_)
      ::waitpid(Pid, nullptr, 0);
    std::error_code Ignored;
    std::filesystem::remove_all(Folder_, Ignored);
    std::fclose(Record_);
  }

  /// Writes a line to the record, with the seconds since the start.
  void note(const char *Format, ...) {
    std::lock_guard Guard(Mutex_);
    std::fprintf(Record_, "%8.3f  ", clockSeconds() - StartedAt_);
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(Record_, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', Record_);
    std::fflush(Record_);
  }
  double since(double At) const { return At - StartedAt_; }

  void start(const Plan &Wanted) {
    auto Build = std::string("target");
    StorePort = freePort();
    ControlPort = freePort();
    auto ConfigurationFile = Folder_ + "/configuration.json";
    std::ofstream(ConfigurationFile) << Wanted.Configuration;
    std::string Names;
    for (const auto &Name : Wanted.DataCentres)
      Names += (Names.empty() ? "" : ",") + Name;
    spawn("fleet",
          {Build + "/Services/FleetStandIn/cornellift-fleet-stand-in", "--store-port",
           std::to_string(StorePort), "--control-port", std::to_string(ControlPort),
           "--data-centres", Names, "--workers", std::to_string(Wanted.WorkersInEach), "--cores",
           std::to_string(Wanted.CoresOfWorker), "--configuration-file", ConfigurationFile});
    awaitPort("127.0.0.1", ControlPort);
    chooseAddresses(Wanted);
    std::vector<int> StorePorts(Vms.size(), StorePort);
    if (Wanted.HasStoreProxy)
      startProxy(Build, StorePorts);
    std::string Seeds;
    for (std::size_t Each = 0; Each < Vms.size() && Each < 3; ++Each)
      Seeds += (Each ? "," : "") + Vms[Each].Ip + ":" + std::to_string(MeshPort);
    for (std::size_t Each = 0; Each < Vms.size(); ++Each) {
      auto &Known = Vms[Each];
      Known.File = Folder_ + "/" + Known.Name + ".conf";
      std::ofstream(Known.File) << "vm-name=" << Known.Name << "\ndata-centre=" << Known.DataCentre
                                << "\ndata-centres=" << Names << "\ncaller-address=" << Known.Ip
                                << ":" << FrontPort << "\nreadiness-address=" << Known.Ip << ":"
                                << ReadinessPort << "\nmesh-address=" << Known.Ip << ":" << MeshPort
                                << "\nseed-addresses=" << Seeds
                                << "\nstore-address=127.0.0.1:" << StorePorts[Each]
                                << "\nplatform=kv\nprocessor-share=0.25\nstop-seconds=6"
                                << "\nremote-factor=1.5\nmemory-megabytes=260"
                                << "\nmaximum-descriptors=4100\n";
      startVm(Known);
    }
    for (const auto &Known : Vms)
      awaitReady(Known);
  }

  /// Starts the program that the deploy file names, as the platform does.
  void startVm(const Vm &Known) {
    spawn(Known.Name, {program()}, {"CORNELLIFT_NODE_FILE=" + Known.File});
    note("started %s at %s", Known.Name.c_str(), Known.Ip.c_str());
  }

  void awaitReady(const Vm &Known) {
    for (int Try = 0; Try < 300; ++Try, sleepFor(0.05))
      if (call(Known.Ip, ReadinessPort, "GET", "/v1/readyz", "Host: x\r\n", "", 1).Status == 200)
        return;
    throw std::runtime_error(Known.Name + " is not ready");
  }

  void signal(const std::string &Name, int Number) {
    ::kill(Pids_.at(Name), Number);
    note("signal %s to %s", ::strsignal(Number), Name.c_str());
  }
  void kill(const std::string &Name) {
    signal(Name, SIGKILL);
    ::waitpid(Pids_.at(Name), nullptr, 0);
    Pids_.erase(Name);
  }
  bool isRunning(const std::string &Name) {
    return ::waitpid(Pids_.at(Name), nullptr, WNOHANG) == 0;
  }

  Answer control(const std::string &Target, const std::string &Body = {}) {
    return call("127.0.0.1", ControlPort, "POST", Target, "Host: x\r\n", Body, 3);
  }
  Answer proxy(const std::string &Method, const std::string &Target, const std::string &Body) {
    return call("127.0.0.1", ProxyPort, Method, Target, "Host: x\r\n", Body, 3);
  }

  std::vector<Run> runs() {
    auto Listed = call("127.0.0.1", ControlPort, "GET", "/runs", "Host: x\r\n", "", 10).Body;
    std::istringstream Lines(Listed);
    std::vector<Run> Result;
    for (std::string Line; std::getline(Lines, Line);) {
      auto Text = [&](const std::string &Name) {
        auto From = Line.find("\"" + Name + "\":\"") + Name.size() + 4;
        return Line.substr(From, Line.find('"', From) - From);
      };
      auto Number = [&](const std::string &Name) {
        return std::atof(Line.c_str() + Line.find("\"" + Name + "\":") + Name.size() + 3);
      };
      Result.push_back({Text("job"), static_cast<int>(Number("index")),
                        static_cast<int>(Number("run")), Text("worker"), Number("from_us") / 1e6,
                        Number("to_us") / 1e6, Text("end")});
    }
    return Result;
  }
  void noteRuns(const std::vector<Run> &All) {
    for (const auto &Each : All)
      note("run of task %s.0.0.%d number %d on %s from %.3f to %.3f: %s", Each.Job.c_str(),
           Each.Index, Each.Number, Each.Worker.c_str(), since(Each.From),
           Each.To > 0 ? since(Each.To) : 0.0, Each.End.c_str());
  }

  /// A gauge or counter of the VM's metrics.
  double metric(const Vm &Known, const std::string &Name) {
    auto Page = call(Known.Ip, MetricsPort, "GET", "/metrics", "Host: x\r\n", "", 3).Body;
    auto At = Page.find("\n" + Name + " ");
    return At == std::string::npos ? -1 : std::atof(Page.c_str() + At + Name.size() + 2);
  }

  std::vector<Vm> Vms;
  int StorePort = 0;
  int ControlPort = 0;
  int ProxyPort = 0;

private:
  static int freePort() {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size);
    ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    ::close(Socket);
    return ntohs(Address.sin_port);
  }

  static bool isFree(const std::string &Ip, int Port) {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    int One = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    bool Result = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0;
    ::close(Socket);
    return Result;
  }

  /// Gives each VM a loopback address of its own, on which the platform's ports are free.
  void chooseAddresses(const Plan &Wanted) {
    int Next = 1;
    for (const auto &DataCentre : Wanted.DataCentres)
      for (int Each = 1; Each <= Wanted.VmsInEach; ++Each) {
        std::string Ip;
        do {
          Ip = "127." + std::to_string(20 + ::getpid() % 200) + "." +
               std::to_string(::getpid() / 200 % 250) + "." + std::to_string(Next++);
        } while (Next < 250 && !(isFree(Ip, FrontPort) && isFree(Ip, ReadinessPort) &&
                                 isFree(Ip, MeshPort) && isFree(Ip, MetricsPort)));
        Vms.push_back({"edge-" + DataCentre + "-" + std::to_string(Each), DataCentre, Ip, {}});
      }
  }

  void startProxy(const std::string &Build, std::vector<int> &StorePorts) {
    ProxyPort = freePort();
    std::string Links;
    for (std::size_t Each = 0; Each < Vms.size(); ++Each) {
      StorePorts[Each] = freePort();
      Links += (Each ? "," : "") + std::string("store-") + std::to_string(Each) + "=" +
               std::to_string(StorePorts[Each]) + ":" + std::to_string(StorePort);
    }
    spawn("proxy", {Build + "/Services/FaultProxy/cornellift-fault-proxy", "--control-port",
                    std::to_string(ProxyPort), "--links", Links});
    awaitPort("127.0.0.1", ProxyPort);
  }

  static void awaitPort(const std::string &Ip, int Port) {
    for (int Try = 0; Try < 200; ++Try, sleepFor(0.05))
      if (Connection(Ip, Port).isOpen())
        return;
    throw std::runtime_error("a stand-in does not listen; was review/build-3.sh run?");
  }

  /// The program in the line `run` of the deploy file.
  static std::string program() {
    std::ifstream File("deploy/system.toml");
    for (std::string Line; std::getline(File, Line);)
      if (Line.rfind("run = \"", 0) == 0)
        return Line.substr(7, Line.rfind('"') - 7);
    throw std::runtime_error("deploy/system.toml has no line run");
  }

  void spawn(const std::string &Name, std::vector<std::string> Words,
             std::vector<std::string> Environment = {}) {
    auto Log = Folder_ + "/" + Name + ".log";
    for (const char *Kept : {"PATH", "HOME", "LANG"})
      if (const char *Value = std::getenv(Kept))
        Environment.push_back(std::string(Kept) + "=" + Value);
    std::vector<char *> Arguments;
    std::vector<char *> Variables;
    for (auto &Word : Words)
      Arguments.push_back(Word.data());
    for (auto &Variable : Environment)
      Variables.push_back(Variable.data());
    Arguments.push_back(nullptr);
    Variables.push_back(nullptr);
    auto Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // If this process is ended before it can clean up.
      int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(Output, 1);
      ::dup2(Output, 2);
      ::execve(Arguments[0], Arguments.data(), Variables.data());
      ::_exit(127);
    }
    Pids_[Name] = Pid;
  }

  std::FILE *Record_;
  std::mutex Mutex_;
  std::string Folder_;
  double StartedAt_ = 0;
  std::map<std::string, pid_t> Pids_;
};

inline std::string jobBody(const std::string &Specification, int Count, int Millicores,
                           int Milliseconds) {
  return "{\"spec\":\"" + Specification +
         "\",\"bestEffort\":true,\"phases\":[{\"count\":" + std::to_string(Count) +
         ",\"cpu\":" + std::to_string(Millicores) +
         ",\"memMb\":64,\"estRuntimeMs\":" + std::to_string(Milliseconds) + "}]}";
}

inline std::string headers(int WaitMilliseconds = 0) {
  auto Text = std::string("Host: ") + Host + "\r\n";
  if (WaitMilliseconds > 0)
    Text += "Deadline-Ms: " + std::to_string(WaitMilliseconds) + "\r\n";
  return Text;
}

inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// Runs a case in the repository's root and returns its exit status.
inline int play(const std::function<Outcome(Stage &)> &Case, const char *RecordFile) {
  try {
    Stage Used(RecordFile);
    Used.note("trouble: %s", hasTrouble() ? "yes" : "no");
    auto Result = Case(Used);
    Used.note("%s", Result == RuleHeld     ? "the rule was kept"
                    : Result == RuleBroken ? "the rule was broken"
                                           : "the case could not run");
    return Result;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return CouldNotRun;
  }
}

} // namespace stage
