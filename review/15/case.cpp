// All open connections to the platform's store go silent at the same moment, while new ones work. Then a
// worker begins to drain.
#include "../kit-3/Stage.hh"

#include <algorithm>
#include <atomic>

using namespace stage;

namespace {

/// Bounds of the site: drainMs, contactMs.
constexpr double DrainSeconds = 2;
constexpr double ContactSeconds = 3;
/// The silence comes this long after all VMs are ready.
constexpr double SilenceAfterReady = 3.85;
constexpr double DrainAfterSilence = 0.8;
constexpr double WatchedSeconds = 6;
constexpr const char *Worker = "w-0";

/// Sends short jobs to a VM of the zone until it is told to stop.
void load(const Vm &To, int Number, const std::atomic<bool> &IsOver) {
  for (int Count = 1; !IsOver; ++Count) {
    char Job[17];
    std::snprintf(Job, sizeof Job, "%08x%08x", Number + 1, Count);
    call(To.Ip, FrontPort, "POST", std::string("/slips/") + Job, headers(1500),
         jobBody("run_ms=60 cores=2", 8, 2000, 60), 3);
    sleepFor(0.02);
  }
}

Outcome runCase(Stage &Used) {
  Plan Wanted;
  Wanted.HasStoreProxy = true;
  Wanted.Configuration = configuration(1, {route("slips", "/slips/")});
  Used.start(Wanted);
  double ReadyAt = clockSeconds();
  sleepUntil(ReadyAt + SilenceAfterReady - 1);
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Clients;
  for (int Each = 0; Each < 3; ++Each)
    Clients.emplace_back([&, Each] { load(Used.Vms[1], Each, IsOver); });
  sleepUntil(ReadyAt + SilenceAfterReady);
  double SilentAt = clockSeconds();
  if (hasTrouble()) {
    auto Got = Used.proxy("POST", "/links/store-*/open", "{\"action\":\"silence\"}");
    Used.note("open connections to the store go silent: %d", Got.Status);
  }
  sleepUntil(SilentAt + DrainAfterSilence);
  auto Drained = Used.control(std::string("/worker?id=") + Worker + "&drain=1");
  // The stand-in writes its workers' entries with its next tick, of 5 ms.
  double AcknowledgedAt = Drained.EndedAt + 0.02;
  Used.note("worker %s reports that it drains: %d", Worker, Drained.Status);
  double JudgedFrom = std::max(AcknowledgedAt + DrainSeconds, SilentAt + ContactSeconds) + 0.02;
  sleepUntil(SilentAt + WatchedSeconds);
  IsOver = true;
  for (auto &Each : Clients)
    Each.join();
  int Late = 0;
  int Before = 0;
  double Last = 0;
  for (const auto &Each : Used.runs()) {
    if (Each.Worker != Worker)
      continue;
    Last = std::max(Last, Each.From);
    Before += Each.From <= JudgedFrom ? 1 : 0;
    if (Each.From <= JudgedFrom)
      continue;
    ++Late;
    Used.note("task %s.0.0.%d started on %s at %.3f", Each.Job.c_str(), Each.Index, Worker,
              Used.since(Each.From));
  }
  Used.note("judged from %.3f on: %d late starts; the last start came %.2f s after the "
            "acknowledgement and %.2f s after the silence",
            Used.since(JudgedFrom), Late, Last - AcknowledgedAt, Last - SilentAt);
  if (Before == 0)
    return CouldNotRun;
  return Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int, char **Arguments) { return play(runCase, Arguments[1]); }
