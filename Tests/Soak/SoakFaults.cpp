#include "Tests/Soak/SoakFaults.h"

#include "Libraries/LibCore/Time.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <string_view>
#include <thread>

namespace cornellift::soak {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Routes that large configurations add: a document of some 380 KB.
constexpr int LargeSeriesRoutes = 2000;
constexpr int LargeSeriesVersions = 5;
constexpr auto LargeSeriesInterval = 100ms;
/// How long a worker is down before it returns unnoticed, and how long its polls then hang.
constexpr auto UnnoticedDownTime = 300ms;
constexpr auto UnnoticedPollSilence = 1000ms;
/// Entries among the workers' that name no worker to use: text that is not UTF-8, a lone surrogate,
/// an unknown service.
constexpr std::array<std::string_view, 3> OddEntryServices = {"pr\xff\xfent", "\\udc00", "none"};

constexpr auto EvacuationTime = 14s;
/// Time after the request from which on nothing may start: five seconds, and the longest time for
/// which a fault may keep a VM from the store and its peers.
constexpr std::int64_t EvacuationBoundMicroseconds = 5'000'000 + 4'000'000;
/// One in so many changes of the configuration comes with an evacuation.
constexpr std::uint64_t ChangesPerEvacuation = 3;

std::int64_t monotonicMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             core::MonotonicClock::now().time_since_epoch())
      .count();
}

} // namespace

SoakFaults::SoakFaults(integration::PoolDeployment &Deployment, std::uint64_t Seed)
    : Deployment_(Deployment), Random_(Seed) {}

void SoakFaults::record(const std::string &Text) {
  auto Since = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - StartedAt_);
  Journal_.push_back(std::to_string(Since.count()) + " ms: " + Text);
}

std::chrono::milliseconds SoakFaults::randomDuration(int Minimum, int Maximum) {
  return std::chrono::milliseconds(std::uniform_int_distribution<int>(Minimum, Maximum)(Random_));
}

integration::PoolVm &SoakFaults::randomVm() {
  return Deployment_.vms()[randomBelow(Deployment_.vms().size())];
}

void SoakFaults::undoAfter(std::chrono::milliseconds Span, std::function<void()> Act) {
  Undos_.push_back({Clock::now() + Span, std::move(Act)});
}

void SoakFaults::undoDue(Clock::time_point Now) {
  std::vector<Undo> Due;
  auto IsDue = [&](const Undo &Candidate) { return Candidate.At <= Now; };
  std::copy_if(Undos_.begin(), Undos_.end(), std::back_inserter(Due), IsDue);
  std::erase_if(Undos_, IsDue);
  for (const auto &Each : Due)
    Each.Act();
}

void SoakFaults::run(std::chrono::milliseconds Span) {
  auto End = Clock::now() + Span;
  auto Next = Clock::now();
  while (Clock::now() < End) {
    undoDue(Clock::now());
    if (Clock::now() >= Next) {
      inject();
      Next = Clock::now() + randomDuration(100, 1200);
    }
    std::this_thread::sleep_for(10ms);
  }
  undoDue(Clock::time_point::max());
  record("all faults are undone");
}

void SoakFaults::inject() {
  switch (randomBelow(10)) {
  case 0:
  case 1:
  case 2:
    return signalFault();
  case 3:
  case 4:
    return proxyFault();
  case 5:
  case 6:
    return storeFault();
  case 7:
  case 8:
    return workerFault();
  default:
    return changeConfiguration();
  }
}

void SoakFaults::signalFault() {
  auto &Vm = randomVm();
  if (!Vm.Process || !Vm.Process->isRunning())
    return;
  switch (randomBelow(4)) {
  case 0: {
    record("kill " + Vm.Name);
    Vm.Process->kill();
    return undoAfter(randomDuration(200, 2000), [this, &Vm] {
      if (!Vm.Process->isRunning()) // The undoing of a stop may have started it.
        Deployment_.startVm(Vm);
    });
  }
  case 1: {
    auto Span = randomDuration(100, 3000);
    record("pause " + Vm.Name + " for " + std::to_string(Span.count()) + " ms");
    Vm.Process->pause();
    return undoAfter(Span, [&Vm] {
      if (Vm.Process->isRunning())
        Vm.Process->resume();
    });
  }
  case 2: {
    record("stop " + Vm.Name);
    Vm.Process->terminate();
    return undoAfter(randomDuration(3000, 7000), [this, &Vm] {
      Vm.Process->resume(); // Another fault may have paused it meanwhile.
      if (!Vm.Process->waitForExit(8))
        Vm.Process->kill();
      Deployment_.startVm(Vm);
    });
  }
  default:
    // SIGHUP ends a process that has not reached main() yet; one that serves metrics has.
    if (!integration::PoolDeployment::metric(Vm, "cornellift_peers"))
      return;
    record("reload " + Vm.Name);
    ::kill(Vm.Process->id(), SIGHUP);
  }
}

void SoakFaults::proxyFault() {
  auto Link = (randomBelow(3) == 0 ? "store-" : "mesh-") + randomVm().Name;
  auto Heal = [this, Link] { Deployment_.controlLink(Link, "heal"); };
  switch (randomBelow(4)) {
  case 0:
    record("reset connections of " + Link);
    Deployment_.controlLink(Link, "open", {{"action", "cut"}});
    return;
  case 1: {
    const char *Ways[] = {"silence", "silence_up", "silence_down"};
    const char *Way = Ways[randomBelow(std::size(Ways))];
    record(std::string(Way) + " connections of " + Link);
    Deployment_.controlLink(Link, "open", {{"action", Way}});
    return;
  }
  case 2: {
    const char *Mode = randomBelow(2) == 0 ? "refuse" : "hang";
    record("cut " + Link + ", new connections " + Mode);
    Deployment_.controlLink(Link, "admission", {{"mode", Mode}});
    Deployment_.controlLink(Link, "open", {{"action", "silence"}});
    return undoAfter(randomDuration(300, 4000), Heal);
  }
  default: {
    record("delay " + Link);
    Deployment_.controlLink(Link, "delay", {{"milliseconds", 10 + randomBelow(90)}});
    return undoAfter(randomDuration(300, 4000), Heal);
  }
  }
}

void SoakFaults::storeFault() {
  const char *Ways[] = {"mode=silent", "mode=busy", "delay_ms=200", "lost=0.5"};
  if (randomBelow(5) == 0) {
    record("compact the store");
    Deployment_.control("POST", "/store/compact");
    return;
  }
  const char *Way = Ways[randomBelow(std::size(Ways))];
  record(std::string("store ") + Way);
  Deployment_.control("POST", std::string("/store?") + Way);
  undoAfter(randomDuration(300, 4000),
            [this] { Deployment_.control("POST", "/store?mode=serving&delay_ms=0&lost=0"); });
}

void SoakFaults::workerFault() {
  auto Id = "w-" + std::to_string(randomBelow(Deployment_.workerCount()));
  if (randomBelow(4) == 0) {
    putOddEntry();
    return restartWorker(Id);
  }
  const char *Ways[] = {"slowdown=8", "fail=1", "still=1", "unhealthy=1", "silent=1", "late=0.3"};
  const char *Way = Ways[randomBelow(std::size(Ways))];
  record(Id + " " + Way);
  Deployment_.control("POST", "/worker?id=" + Id + "&" + Way);
  undoAfter(randomDuration(300, 4000), [this, Id] {
    Deployment_.control("POST", "/worker?id=" + Id +
                                    "&slowdown=1&fail=0&still=0&unhealthy=0&silent=0&late=0");
  });
}

void SoakFaults::restartWorker(const std::string &Id) {
  // Decided without a random number, as below.
  bool IsUnnoticed = ++Restarts_ % 2 == 0;
  if (!IsUnnoticed) {
    record("restart " + Id);
    Deployment_.control("POST", "/worker/restart?id=" + Id);
    return;
  }
  record("restart " + Id + ", not noticed by polls");
  Deployment_.control("POST", "/worker?id=" + Id + "&silent=1");
  undoAfter(UnnoticedDownTime, [this, Id] {
    Deployment_.control("POST", "/worker/restart?id=" + Id + "&silent_polls_ms=" +
                                    std::to_string(UnnoticedPollSilence.count()));
  });
}

void SoakFaults::putOddEntry() {
  // Decided without a random number, as below.
  auto Number = OddEntries_++;
  auto Service = std::string(OddEntryServices[Number % OddEntryServices.size()]);
  record("odd entry " + std::to_string(Number));
  Deployment_.control("POST", "/store/put?key=servers/odd-" + std::to_string(Number),
                      R"({"service":")" + Service +
                          R"(","address":"127.0.0.1:9","zone":"ikeja","slots":8,"state":"ready",)"
                          R"("capacity":{"cpu":4000,"memMb":4096},"labels":[],"born":1})");
}

void SoakFaults::evacuate() {
  // One at a time, so that some workers remain.
  if (!Evacuations_.empty() && Evacuations_.back().ToMicroseconds == 0)
    return;
  auto &Begun = Evacuations_.emplace_back();
  Begun.DataCentre = Deployment_.vms()[Evacuations_.size() % Deployment_.vms().size()].DataCentre;
  record("evacuate " + Begun.DataCentre);
  Deployment_.setEvacuated(Begun.DataCentre, true);
  Begun.FromMicroseconds = monotonicMicroseconds();
  undoAfter(EvacuationTime, [this] {
    auto &Ended = Evacuations_.back();
    Ended.ToMicroseconds = monotonicMicroseconds();
    record("restore " + Ended.DataCentre);
    Deployment_.setEvacuated(Ended.DataCentre, false);
  });
}

std::vector<std::string> SoakFaults::lateStarts() const {
  std::vector<std::string> Found;
  for (const auto &Run : Deployment_.runs())
    for (const auto &Each : Evacuations_)
      if (Deployment_.dataCentreOf(Run.Worker) == Each.DataCentre &&
          Run.FromMicroseconds > Each.FromMicroseconds + EvacuationBoundMicroseconds &&
          Run.FromMicroseconds < Each.ToMicroseconds)
        Found.push_back(Run.Job + " on " + Run.Worker + " in evacuated " + Each.DataCentre);
  return Found;
}

void SoakFaults::changeConfiguration() {
  // Decided without random numbers, so that earlier seeds inject the faults that they did.
  if (Version_ % ChangesPerEvacuation == 1)
    evacuate();
  bool IsLargeSeries = ++Version_ % 2 == 0;
  record((IsLargeSeries ? "large configurations from " : "configuration ") +
         std::to_string(Version_));
  if (!IsLargeSeries)
    return Deployment_.configure(Version_,
                                 {integration::PoolPrefix, "/v" + std::to_string(Version_) + "/"});
  Deployment_.configureManyRoutes(Version_, LargeSeriesRoutes);
  for (int Each = 1; Each < LargeSeriesVersions; ++Each)
    undoAfter(LargeSeriesInterval * Each,
              [this] { Deployment_.configureManyRoutes(++Version_, LargeSeriesRoutes); });
}

} // namespace cornellift::soak
