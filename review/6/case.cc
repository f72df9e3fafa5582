// Stops two of a zone's three entry VMs at once, as a rolling restart with two at a time does,
// under steady traffic. The load balancer is that of the pages.
#include "Kit2.hh"

#include <set>

using namespace kit;

namespace {

constexpr int DeadlineMs = 1500;
constexpr int LossSlackMs = 200;
constexpr int ExemptAfterTermMs =
    3000; // Requests sent no later may still be at work when graceS ends.
constexpr double RequestsPerSecond = 30;
constexpr int RunMs = 900;
constexpr double TrafficSeconds = 16;
constexpr double TermAtSecond = 5;
constexpr int RestartMs = 500;

/// Checks each VM once a second and leaves out those that miss twice.
class Balancer {
public:
  explicit Balancer(Deployment &Small) : Small_(Small), Misses_(Small.vms().size()) {}

  void check() {
    for (std::size_t Number = 0; Number < Misses_.size(); ++Number)
      Misses_[Number] = Small_.isReady(Small_.vms()[Number]) ? 0 : Misses_[Number] + 1;
  }

  /// A VM for a new connection from the zone.
  Vm &choose(const std::string &Zone, std::minstd_rand &Random) {
    std::vector<Vm *> All, InRotation, Elsewhere;
    for (std::size_t Number = 0; Number < Misses_.size(); ++Number) {
      auto &Each = Small_.vms()[Number];
      if (Each.Zone != Zone) {
        Elsewhere.push_back(&Each);
        continue;
      }
      All.push_back(&Each);
      if (Misses_[Number] < 2)
        InRotation.push_back(&Each);
    }
    auto &From = InRotation.empty()                   ? Elsewhere
                 : 2 * InRotation.size() < All.size() ? All
                                                      : InRotation;
    return *From[Random() % From.size()];
  }

private:
  Deployment &Small_;
  std::vector<std::atomic<int>> Misses_;
};

struct Request {
  std::string Id;
  std::string Vm;
  Answer Result;
};

} // namespace

int main(int, char **Arguments) {
  Record Out(Arguments[1]);
  Shape Wanted;
  Wanted.VmsByZone = {{"celaya", 2}, {"leon", 3}};
  Wanted.WorkersPerZone = 8;
  Wanted.Configuration = configurationWith(60);
  Deployment Small(Wanted);
  if (!Small.waitUntilReady())
    return CannotRun;
  Balancer Entry(Small);
  std::atomic<bool> IsOver{false};
  std::mutex Mutex;
  std::vector<Request> Requests;
  std::vector<std::thread> Clients;
  std::minstd_rand Random(1);

  std::thread Checks([&] {
    for (double Next = nowMs(); !IsOver; Next += 1000) {
      Entry.check();
      while (!IsOver && nowMs() < Next + 1000)
        sleepMs(20);
    }
  });
  double Begin = nowMs();
  std::map<std::string, double> TermAt;
  std::thread Operator([&] {
    sleepUntil(Begin + TermAtSecond * 1000);
    if (!hasTrouble())
      return;
    std::vector<std::string> Stopped = {"leon-1", "leon-2"};
    for (const auto &Name : Stopped) {
      std::lock_guard<std::mutex> Lock(Mutex);
      TermAt[Name] = nowMs();
      Small.vm(Name).Program->signal(SIGTERM);
      Out.line("SIGTERM to " + Name);
    }
    std::set<std::string> Awaited(Stopped.begin(), Stopped.end());
    std::map<std::string, double> RestartAt;
    while (!IsOver && (!Awaited.empty() || !RestartAt.empty())) {
      sleepMs(5);
      for (const auto &Name : Stopped) {
        auto &Each = Small.vm(Name);
        if (Awaited.contains(Name) && nowMs() > TermAt[Name] + GraceMs)
          Each.Program->signal(SIGKILL);
        if (Awaited.contains(Name) && Each.Program->hasEnded()) {
          Out.line(Name + " has ended, " +
                   std::to_string(static_cast<int>(nowMs() - TermAt[Name])) +
                   " ms after its SIGTERM");
          Awaited.erase(Name);
          RestartAt[Name] = nowMs() + RestartMs;
        }
        if (RestartAt.contains(Name) && nowMs() >= RestartAt[Name]) {
          RestartAt.erase(Name);
          Small.start(Each);
        }
      }
    }
  });
  const auto Body = job(1, RunMs, 1.7);
  for (int Number = 0; Number < RequestsPerSecond * TrafficSeconds; ++Number) {
    sleepUntil(Begin + Number * 1000 / RequestsPerSecond);
    auto &To = Entry.choose("leon", Random);
    Clients.emplace_back([&, Number] {
      Request Each{idOf(0x6000u + static_cast<unsigned>(Number)), To.Name, {}};
      Each.Result = post(To, Each.Id, Body, DeadlineMs);
      std::lock_guard<std::mutex> Lock(Mutex);
      Requests.push_back(Each);
    });
  }
  for (auto &Each : Clients)
    Each.join();
  IsOver = true;
  Checks.join();
  Operator.join();

  std::map<std::string, std::vector<Run>> RunsOf;
  for (const auto &Each : Small.runs())
    RunsOf[Each.Job].push_back(Each);
  std::map<int, int> ByStatus;
  int Lost = 0;
  std::sort(Requests.begin(), Requests.end(), [](const Request &Left, const Request &Right) {
    return Left.Result.SentAtMs < Right.Result.SentAtMs;
  });
  for (const auto &Each : Requests) {
    const auto &Result = Each.Result;
    ++ByStatus[Result.Status];
    if (Result.Status != 0)
      continue;
    double AfterTerm = TermAt.contains(Each.Vm) ? Result.SentAtMs - TermAt[Each.Vm] : -1;
    double Held = Result.EndedAtMs - Result.SentAtMs;
    auto Started = RunsOf.find(Each.Id);
    bool WasPassedOn = Started != RunsOf.end() && Started->second.front().FromMs < Result.EndedAtMs;
    bool IsInTime = Held < DeadlineMs - 20;
    bool Counts = Result.WasConnected && Result.WasClosed && IsInTime &&
                  AfterTerm > ExemptAfterTermMs && AfterTerm < GraceMs + 1000 &&
                  (WasPassedOn || Held > LossSlackMs);
    Lost += Counts && WasPassedOn ? 1 : 0;
    Out.line("no answer: " + Each.Id + " at " + Each.Vm + ", sent " +
             std::to_string(static_cast<int>(AfterTerm)) + " ms after the SIGTERM, " +
             (WasPassedOn ? "passed on to " + Started->second.front().Worker : "not passed on") +
             ", connection ended after " + std::to_string(static_cast<int>(Held)) + " ms" +
             (Counts ? ": counts" : ""));
  }
  for (auto [Status, Count] : ByStatus)
    Out.line(std::to_string(Count) + " requests got " +
             (Status ? std::to_string(Status) : "no answer"));
  Out.line(Lost > 0 ? "LOST is broken: " + std::to_string(Lost) +
                          " requests were passed on to a worker and not answered"
                    : "the rule held");
  return Lost > 0 ? Broken : Held;
}
