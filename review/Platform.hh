// A store and workers of the users' platform, served by threads of the case: for what the
// repository's stand-in cannot play, such as a worker that comes back as another kind.
#pragma once

#include "Harness.hh"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace review {

using Json = nlohmann::json;

struct HttpCall {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
};

struct HttpAnswer {
  int Status = 200;
  std::string Body = "{}";
  bool IsDropped = false; ///< The connection is closed without an answer.
};

/// HTTP/1.1 server with a thread for each connection.
class Server {
public:
  using Handler = std::function<HttpAnswer(const HttpCall &)>;

  explicit Server(Handler OnCall) : OnCall_(std::move(OnCall)) {
    open(0);
    Acceptor_ = std::thread([this] { accept(); });
  }
  ~Server() {
    IsEnding_ = true;
    close();
    Acceptor_.join();
    while (Connections_ > 0)
      sleepFor(0.002);
  }

  int port() const { return Port_; }

  /// Closes the port and all connections.
  void close() {
    int Listener = Listener_.exchange(-1);
    if (Listener >= 0) {
      ::shutdown(Listener, SHUT_RDWR);
      ::close(Listener);
    }
    std::lock_guard Lock(Mutex_);
    for (int Socket : Sockets_)
      ::shutdown(Socket, SHUT_RDWR);
  }
  /// Opens the same port again.
  void reopen() { open(Port_); }

private:
  void open(int Port) {
    int Listener = ::socket(AF_INET, SOCK_STREAM, 0);
    int On = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    auto Address = loopback(Port);
    socklen_t Size = sizeof(Address);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        ::listen(Listener, 128) != 0)
      std::exit(CannotRun);
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port_ = ntohs(Address.sin_port);
    Listener_ = Listener;
  }

  void accept() {
    while (!IsEnding_) {
      int Listener = Listener_;
      pollfd Wanted{Listener, POLLIN, 0};
      if (Listener < 0 || ::poll(&Wanted, 1, 20) <= 0) {
        if (Listener < 0)
          sleepFor(0.002);
        continue;
      }
      int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      {
        std::lock_guard Lock(Mutex_);
        Sockets_.insert(Socket);
      }
      ++Connections_;
      std::thread([this, Socket] {
        serve(Socket);
        {
          std::lock_guard Lock(Mutex_);
          Sockets_.erase(Socket);
          ::close(Socket);
        }
        --Connections_;
      }).detach();
    }
  }

  void serve(int Socket) {
    std::string Text;
    for (;;) {
      std::size_t Head;
      std::size_t Length = 0;
      HttpCall Call;
      for (;;) {
        Head = Text.find("\r\n\r\n");
        if (Head != std::string::npos) {
          Call = parse(Text.substr(0, Head));
          Length = Call.Headers.contains("content-length")
                       ? std::strtoul(Call.Headers["content-length"].c_str(), nullptr, 10)
                       : 0;
          if (Text.size() >= Head + 4 + Length)
            break;
        }
        char Part[8192];
        auto Count = ::recv(Socket, Part, sizeof(Part), 0);
        if (Count <= 0)
          return;
        Text.append(Part, static_cast<std::size_t>(Count));
      }
      Call.Body = Text.substr(Head + 4, Length);
      Text.erase(0, Head + 4 + Length);
      auto Answer = OnCall_(Call);
      if (Answer.IsDropped)
        return;
      auto Out = "HTTP/1.1 " + std::to_string(Answer.Status) +
                 " X\r\nContent-Type: application/json\r\nContent-Length: " +
                 std::to_string(Answer.Body.size()) + "\r\n\r\n" + Answer.Body;
      if (::send(Socket, Out.data(), Out.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(Out.size()))
        return;
    }
  }

  static std::string decoded(const std::string &Text) {
    std::string Out;
    for (std::size_t At = 0; At < Text.size(); ++At)
      if (Text[At] == '%' && At + 2 < Text.size()) {
        Out.push_back(static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16)));
        At += 2;
      } else {
        Out.push_back(Text[At]);
      }
    return Out;
  }

  static HttpCall parse(const std::string &Head) {
    HttpCall Call;
    std::istringstream Lines(Head);
    std::string Target;
    Lines >> Call.Method >> Target;
    auto Mark = Target.find('?');
    Call.Path = Target.substr(0, Mark);
    std::istringstream Parts(Mark == std::string::npos ? "" : Target.substr(Mark + 1));
    for (std::string Part; std::getline(Parts, Part, '&');) {
      auto Equals = Part.find('=');
      Call.Query[Part.substr(0, Equals)] = decoded(Part.substr(Equals + 1));
    }
    std::string Line;
    std::getline(Lines, Line);
    while (std::getline(Lines, Line)) {
      auto Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      auto Name = Line.substr(0, Colon);
      std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
      auto Value = Line.substr(Line.find_first_not_of(" ", Colon + 1));
      while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
        Value.pop_back();
      Call.Headers[Name] = Value;
    }
    return Call;
  }

  Handler OnCall_;
  std::atomic<int> Listener_ = -1;
  int Port_ = 0;
  std::atomic<bool> IsEnding_ = false;
  std::atomic<int> Connections_ = 0;
  std::mutex Mutex_;
  std::set<int> Sockets_;
  std::thread Acceptor_;
};

inline std::string base64(const std::string &Text) {
  static const char Letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Each = 0; Each < 3; ++Each)
      Group =
          Group << 8 | (At + Each < Text.size() ? static_cast<unsigned char>(Text[At + Each]) : 0U);
    for (std::size_t Each = 0; Each < 4; ++Each)
      Out.push_back(At + Each > Text.size() ? '=' : Letters[Group >> (18 - 6 * Each) & 63]);
  }
  return Out;
}

/// The platform's store. Keeps the values as base64, as they are written.
class Store {
public:
  Store() : Server_([this](const HttpCall &Call) { return serve(Call); }) {}

  int port() const { return Server_.port(); }

  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard Lock(Mutex_);
    write(Key, base64(Value), 0);
  }
  void remove(const std::string &Key) {
    std::lock_guard Lock(Mutex_);
    erase(Key);
  }
  /// Answers 503 to all calls while it is set.
  std::atomic<bool> IsBusy = false;

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    Item Content;
    bool IsRemoved = false;
    std::uint64_t Revision = 0;
  };
  struct Lease {
    double Span = 0;
    double End = 0;
  };

  void write(const std::string &Key, const std::string &Value, std::uint64_t LeaseId) {
    auto &Known = Items_[Key];
    ++Revision_;
    Known = {Value, Revision_, Known.Created ? Known.Created : Revision_, LeaseId};
    History_.push_back({Key, Known, false, Revision_});
    trim();
  }
  void erase(const std::string &Key) {
    if (Items_.erase(Key) == 0)
      return;
    ++Revision_;
    History_.push_back({Key, {}, true, Revision_});
    trim();
  }
  void trim() {
    while (History_.size() > 20000) {
      HistoryFrom_ = History_.front().Revision;
      History_.pop_front();
    }
    Changed_.notify_all();
  }
  void expire() {
    for (auto Each = Leases_.begin(); Each != Leases_.end();) {
      if (Each->second.End > now()) {
        ++Each;
        continue;
      }
      endLease(Each->first);
      Each = Leases_.erase(Each);
    }
  }
  void endLease(std::uint64_t Id) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Content] : Items_)
      if (Content.Lease == Id)
        Keys.push_back(Key);
    for (const auto &Key : Keys)
      erase(Key);
  }
  static Json render(const std::string &Key, const Item &Content) {
    return {{"key", Key},
            {"value", Content.Value},
            {"revision", Content.Revision},
            {"created", Content.Created},
            {"lease", Content.Lease}};
  }

  HttpAnswer serve(const HttpCall &Call) {
    if (IsBusy)
      return {503, "{}"};
    std::unique_lock Lock(Mutex_);
    expire();
    auto Query = Call.Query;
    if (Call.Path == "/v1/kv-key") {
      auto Found = Items_.find(Query["key"]);
      return Found == Items_.end() ? HttpAnswer{404}
                                   : HttpAnswer{200, render(Found->first, Found->second).dump()};
    }
    if (Call.Path == "/v1/kv-range") {
      Json Out = {{"items", Json::array()}, {"hasMore", false}, {"at", Revision_}};
      for (auto Each = Items_.lower_bound(Query["prefix"]);
           Each != Items_.end() && Each->first.starts_with(Query["prefix"]); ++Each) {
        if (Query.contains("after") && Each->first <= Query["after"])
          continue;
        if (Out["items"].size() == 500) {
          Out["hasMore"] = true;
          break;
        }
        Out["items"].push_back(render(Each->first, Each->second));
      }
      return {200, Out.dump()};
    }
    if (Call.Path == "/v1/kv-watch")
      return watch(Query["prefix"], std::stoull(Query["after"]), std::stod(Query["waitMs"]), Lock);
    if (Call.Path == "/v1/kv-txn")
      return transact(Json::parse(Call.Body));
    if (Call.Path == "/v1/kv-lease") {
      double Span = Json::parse(Call.Body)["ttlMs"].get<double>() / 1000;
      Leases_[++LastLease_] = {Span, now() + Span};
      return {200, Json{{"lease", LastLease_}, {"ttlMs", Span * 1000}}.dump()};
    }
    auto Id = std::strtoull(Call.Path.substr(Call.Path.rfind('/') + 1).c_str(), nullptr, 10);
    if (!Leases_.contains(Id))
      return {404};
    if (Call.Path.starts_with("/v1/kv-keep/")) {
      Leases_[Id].End = now() + Leases_[Id].Span;
      return {200};
    }
    endLease(Id);
    Leases_.erase(Id);
    return {200};
  }

  HttpAnswer transact(const Json &Body) {
    for (const auto &Each : Body.value("expectedRev", Json::array())) {
      auto Found = Items_.find(Each["key"].get<std::string>());
      auto Revision = Found == Items_.end() ? 0 : Found->second.Revision;
      if (Revision != Each["revision"].get<std::uint64_t>())
        return {412, R"({"items":[]})"};
    }
    for (const auto &Each : Body.value("writes", Json::array()))
      if (Each.value("lease", 0) != 0 && !Leases_.contains(Each["lease"].get<std::uint64_t>()))
        return {404};
    for (const auto &Each : Body.value("writes", Json::array()))
      write(Each["key"].get<std::string>(), Each["value"].get<std::string>(),
            Each.value("lease", std::uint64_t{0}));
    for (const auto &Each : Body.value("remove", Json::array()))
      erase(Each.get<std::string>());
    return {200, Json{{"revision", Revision_}}.dump()};
  }

  HttpAnswer watch(const std::string &Prefix, std::uint64_t After, double WaitMilliseconds,
                   std::unique_lock<std::mutex> &Lock) {
    double Until = now() + WaitMilliseconds / 1000;
    for (;;) {
      if (IsBusy)
        return {503};
      if (After < HistoryFrom_)
        return {410};
      Json Events = Json::array();
      for (const auto &Each : History_) {
        if (Each.Revision <= After || !Each.Key.starts_with(Prefix))
          continue;
        if (Each.IsRemoved)
          Events.push_back({{"key", Each.Key}, {"revision", Each.Revision}, {"deleted", true}});
        else
          Events.push_back(render(Each.Key, Each.Content));
      }
      if (!Events.empty() || now() >= Until)
        return {200, Json{{"events", Events}, {"at", Revision_}}.dump()};
      Changed_.wait_for(Lock, std::chrono::milliseconds(50));
      expire();
    }
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, Item> Items_;
  std::deque<Event> History_;
  std::uint64_t HistoryFrom_ = 0;
  std::uint64_t Revision_ = 1000;
  std::map<std::uint64_t, Lease> Leases_;
  std::uint64_t LastLease_ = 0;
  Server Server_; // The last member: its threads use the others.
};

/// A run as a worker of this file saw it.
struct WorkerRun {
  std::string Task;
  int Number = 0;
  std::string Worker;
  std::vector<std::string> Labels; ///< Of the incarnation that ran it.
  double From = 0;
  double To = -1;
  std::string End = "running";
};

struct WorkerKind {
  std::vector<std::string> Labels;
  int Cores = 16;
  int Slots = 8;
  double Speed = 1;
  std::string Service = "slip-service";
};

class PlatformWorker {
public:
  PlatformWorker(Store &Entries, std::string Id, std::string Zone, WorkerKind Kind)
      : Store_(Entries), Id_(std::move(Id)), Zone_(std::move(Zone)), Kind_(std::move(Kind)),
        Server_([this](const HttpCall &Call) { return serve(Call); }) {
    begin();
    Ticker_ = std::thread([this] {
      while (!IsEnding_) {
        tick();
        sleepFor(0.003);
      }
    });
  }
  ~PlatformWorker() {
    IsEnding_ = true;
    Ticker_.join();
  }

  const std::string &id() const { return Id_; }

  /// Ends all that runs; nothing answers at the address until restart().
  void crash() {
    Server_.close();
    std::lock_guard Lock(Mutex_);
    IsUp_ = false;
    for (const auto &Each : Running_)
      finish(Each, "broken");
    Running_.clear();
  }
  /// Comes back under the same id and address, with nothing known of before.
  void restart(const WorkerKind &Kind) {
    {
      std::lock_guard Lock(Mutex_);
      Kind_ = Kind;
    }
    begin();
    Server_.reopen();
  }
  std::vector<WorkerRun> runs() {
    std::lock_guard Lock(Mutex_);
    return History_;
  }

private:
  struct Active {
    std::size_t Record = 0;
    double Cores = 0;
    double EndAt = 0;
    double StopAt = -1;
  };

  void begin() {
    std::lock_guard Lock(Mutex_);
    StartedAt_ = now();
    Born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    Running_.clear();
    Ended_.clear();
    Refused_.clear();
    Token_ = 0;
    LastEnd_ = 0;
    LeaseUntil_ = 0;
    Sequence_ = 0;
    IsUp_ = true;
    NextBeat_ = 0;
  }

  std::int64_t clock() const {
    return 1000 + static_cast<std::int64_t>((now() - StartedAt_) * 1000);
  }

  void finish(const Active &Each, const std::string &How) {
    auto &Record = History_[Each.Record];
    Record.To = now();
    Record.End = How;
    Ended_.push_back(Json::array({++LastEnd_, Record.Task, Record.Number, How, ""}));
    Refused_[Record.Task] = std::max(Refused_[Record.Task], Record.Number);
    Changed_.notify_all();
  }

  void advance() {
    for (std::size_t At = 0; At < Running_.size();) {
      auto Each = Running_[At];
      const char *How = nullptr;
      if (clock() > LeaseUntil_)
        How = "lapsed";
      else if (Each.StopAt >= 0 && now() >= Each.StopAt)
        How = "stopped";
      else if (now() >= Each.EndAt)
        How = "done";
      if (!How) {
        ++At;
        continue;
      }
      Running_.erase(Running_.begin() + static_cast<std::ptrdiff_t>(At));
      finish(Each, How);
    }
  }

  void tick() {
    std::string Value;
    {
      std::lock_guard Lock(Mutex_);
      if (!IsUp_)
        return;
      advance();
      if (now() < NextBeat_)
        return;
      NextBeat_ = now() + 1.5;
      Value = Json{{"service", Kind_.Service},
                   {"address", "127.0.0.1:" + std::to_string(Server_.port())},
                   {"zone", Zone_},
                   {"version", "1"},
                   {"slots", Kind_.Slots},
                   {"state", "ready"},
                   {"coldLeftMs", 0},
                   {"seqNo", ++Sequence_},
                   {"born", Born_},
                   {"capacity", {{"cpu", Kind_.Cores * 1000}, {"memMb", 65536}, {"gpus", 0}}},
                   {"labels", Kind_.Labels}}
                  .dump();
    }
    Store_.put("servers/" + Id_, Value);
  }

  HttpAnswer serve(const HttpCall &Call) {
    std::unique_lock Lock(Mutex_);
    if (!IsUp_)
      return {0, "", true};
    auto Target = Call.Headers.find("target-instance");
    if (Target != Call.Headers.end() && Target->second != Id_)
      return {421};
    auto Body = Json::parse(Call.Body, nullptr, false);
    if (Body.is_discarded())
      return {400};
    advance();
    auto Refuse = [this](const char *Reason) {
      return HttpAnswer{409,
                        Json{{"clockMs", clock()}, {"reason", Reason}, {"born", Born_}}.dump()};
    };
    auto Token = Body.value("fencingToken", std::uint64_t{0});
    if (Token < Token_)
      return Refuse("fence");
    Token_ = Token;
    auto Accepted = [this] {
      return HttpAnswer{200, Json{{"clockMs", clock()}, {"born", Born_}}.dump()};
    };
    if (Call.Path == "/v1/run-stop") {
      auto Task = Body["task"].get<std::string>();
      auto Number = Body["run"].get<int>();
      Refused_[Task] = std::max(Refused_[Task], Number);
      for (auto &Each : Running_)
        if (History_[Each.Record].Task == Task && History_[Each.Record].Number == Number &&
            Each.StopAt < 0)
          Each.StopAt = now() + 0.02;
      return Accepted();
    }
    if (Call.Path == "/v1/run-start") {
      auto Deadline = Body.value("deadlineMs", std::int64_t{0});
      if (Deadline < clock())
        return Refuse("late");
      extend(Deadline);
      auto Task = Body["task"].get<std::string>();
      auto Number = Body["run"].get<int>();
      for (const auto &Each : Running_)
        if (History_[Each.Record].Task == Task && History_[Each.Record].Number == Number)
          return Accepted();
      if (Refused_.contains(Task) && Number <= Refused_[Task])
        return Refuse("old");
      auto Specification = Body["spec"].get<std::string>();
      auto numberAfter = [&](const std::string &Word, double Default) {
        auto At = Specification.find(Word);
        return At == std::string::npos ? Default
                                       : std::strtod(&Specification[At + Word.size()], nullptr);
      };
      double Cores = numberAfter("cores=", 1);
      double Used = Cores;
      for (const auto &Each : Running_)
        Used += Each.Cores;
      if (Used > Kind_.Cores + 1e-6 || Running_.size() >= static_cast<std::size_t>(Kind_.Slots))
        return Refuse("room");
      History_.push_back({Task, Number, Id_, Kind_.Labels, now(), -1, "running"});
      Running_.push_back({History_.size() - 1, Cores,
                          now() + numberAfter("run_ms=", 50) / 1000 / Kind_.Speed, -1});
      return Accepted();
    }
    if (Call.Path != "/v1/hold")
      return {404};
    if (Body.contains("deadlineMs"))
      extend(Body["deadlineMs"].get<std::int64_t>());
    auto LastSeen = Body.value("lastSeen", std::uint64_t{0});
    while (!Ended_.empty() && Ended_.front()[0].get<std::uint64_t>() <= LastSeen)
      Ended_.pop_front();
    double Until = now() + Body.value("waitMs", 0) / 1000.0;
    auto Born = Born_;
    while (Ended_.empty() && now() < Until && IsUp_ && Born == Born_)
      Changed_.wait_for(Lock, std::chrono::milliseconds(5));
    if (!IsUp_ || Born != Born_)
      return {0, "", true};
    Json Running = Json::array();
    for (const auto &Each : Running_) {
      const auto &Record = History_[Each.Record];
      double Whole = Each.EndAt - Record.From;
      Running.push_back(Json::array({Record.Task, Record.Number, "",
                                     static_cast<int>(100 * (now() - Record.From) / Whole), 0}));
    }
    Json Finished = Json::array();
    for (const auto &Each : Ended_)
      if (Finished.size() < 500)
        Finished.push_back(Each);
    return {
        200,
        Json{{"clockMs", clock()}, {"running", Running}, {"finished", Finished}, {"born", Born_}}
            .dump()};
  }

  void extend(std::int64_t Until) {
    LeaseUntil_ = std::max(LeaseUntil_, std::min(Until, clock() + 1000));
  }

  Store &Store_;
  std::string Id_;
  std::string Zone_;
  WorkerKind Kind_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool IsUp_ = false;
  double StartedAt_ = 0;
  std::int64_t Born_ = 0;
  std::vector<Active> Running_;
  std::deque<Json> Ended_;
  std::map<std::string, int> Refused_;
  std::uint64_t Token_ = 0;
  std::uint64_t LastEnd_ = 0;
  std::int64_t LeaseUntil_ = 0;
  int Sequence_ = 0;
  double NextBeat_ = 0;
  std::vector<WorkerRun> History_;
  std::atomic<bool> IsEnding_ = false;
  Server Server_;
  std::thread Ticker_;
};

} // namespace review
