// All open connections to the platform's store go silent at the same moment, while new ones work. Then
// the operator drops a route and adds another one.
#include "../11/Stage.hh"

#include <algorithm>
#include <atomic>

using namespace stage;

namespace {

/// Bounds of the site: configApplyMs, contactMs.
constexpr double ApplySeconds = 2;
constexpr double ContactSeconds = 3;
/// Between the renewals of the VMs' leases in the store, which follow each other by three seconds, and
/// a first change, after which all VMs wait for the next one since the same moment.
constexpr double ChangeAfterRenewal = 2.4;
/// From that change to the silence, and from there to the second change.
constexpr double SilenceAfterChange = 1.02;
constexpr double SecondChangeAfterSilence = 0.6;
constexpr double ProbedSeconds = 7;
constexpr double ProbeInterval = 0.05;

/// How often the store proxy's links have passed a renewal on, summed over all VMs.
int renewals(Stage &Used) {
  auto Page = Used.proxy("GET", "/links", "").Body;
  int Sum = 0;
  for (auto At = Page.find("\"seen\":"); At != std::string::npos; At = Page.find("\"seen\":", At + 7))
    Sum += std::atoi(Page.c_str() + At + 7);
  return Sum;
}

/// Waits until each VM has renewed its lease once more.
double awaitRenewals(Stage &Used) {
  double Deadline = clockSeconds() + 12;
  int Known = renewals(Used);
  int Seen = Known;
  double LastAt = 0;
  while (clockSeconds() < Deadline && Seen < Known + static_cast<int>(Used.Vms.size())) {
    sleepFor(0.02);
    if (int Current = renewals(Used); Current > Seen) {
      // Those of another round do not count.
      if (LastAt > 0 && clockSeconds() > LastAt + 1)
        Known = Seen;
      Seen = Current;
      LastAt = clockSeconds();
    }
  }
  return Seen >= Known + static_cast<int>(Used.Vms.size()) ? LastAt : 0;
}

struct Findings {
  std::atomic<int> RanOnDroppedRoute = 0;
  std::atomic<int> RefusedOnNewRoute = 0;
  std::atomic<int> Probes = 0;
};

void probe(Stage &Used, const Vm &Known, int Number, double From, double Until, Findings &Found) {
  int Count = 0;
  for (double At = From; At < Until; At += ProbeInterval) {
    sleepUntil(At);
    char Job[17];
    std::snprintf(Job, sizeof Job, "%08x%08x", 0xd0 + Number, ++Count);
    auto Old = call(Known.Ip, FrontPort, "POST", std::string("/old/") + Job, headers(1500),
                    jobBody("run_ms=20 cores=1", 1, 1000, 20), 3);
    auto New = call(Known.Ip, FrontPort, "GET", "/new/", headers(), "", 3);
    ++Found.Probes;
    Found.RanOnDroppedRoute += Old.Status == 200 ? 1 : 0;
    Found.RefusedOnNewRoute += New.Status == 404 ? 1 : 0;
    if (Old.Status == 200 || New.Status == 404)
      Used.note("%s: job %s on the dropped route sent at %.3f got %d, a look at the new route sent at "
                "%.3f got %d",
                Known.Name.c_str(), Job, Used.since(Old.SentAt), Old.Status,
                Used.since(New.SentAt), New.Status);
  }
}

double change(Stage &Used, int Version, const std::vector<std::string> &Routes) {
  auto Got = Used.control("/configuration", configuration(Version, Routes));
  Used.note("version %d of the configuration acknowledged with %d", Version, Got.Status);
  return Got.EndedAt;
}

Outcome runCase(Stage &Used) {
  Plan Wanted;
  Wanted.HasStoreProxy = true;
  auto Slips = route("slips", "/slips/");
  auto Old = route("old", "/old/");
  auto New = route("new", "/new/");
  Wanted.Configuration = configuration(1, {Slips, Old});
  Used.start(Wanted);
  Used.proxy("POST", "/links/store-*/rule",
             "{\"direction\":\"up\",\"text\":\"/v1/kv-keep\",\"occurrence\":1000000,"
             "\"action\":\"cut\"}");
  sleepFor(3);
  double RenewedAt = awaitRenewals(Used);
  if (RenewedAt == 0)
    return CouldNotRun;
  sleepUntil(RenewedAt + ChangeAfterRenewal);
  double FirstAt = change(Used, 4, {Slips, Old, route("other", "/other/")});
  sleepUntil(FirstAt + SilenceAfterChange);
  double SilentAt = clockSeconds();
  if (hasTrouble()) {
    auto Got = Used.proxy("POST", "/links/store-*/open", "{\"action\":\"silence\"}");
    Used.note("open connections to the store go silent: %d", Got.Status);
    if (Got.Status != 200)
      return CouldNotRun;
  }
  sleepUntil(SilentAt + SecondChangeAfterSilence);
  double SecondAt = change(Used, 9, {Slips, New});
  double JudgedFrom = std::max(SecondAt + ApplySeconds, SilentAt + ContactSeconds) + 0.02;
  Used.note("judged are requests sent from %.3f on", Used.since(JudgedFrom));
  Findings Found;
  std::vector<std::thread> Clients;
  for (std::size_t Each = 0; Each < Used.Vms.size(); ++Each)
    Clients.emplace_back([&, Each] {
      probe(Used, Used.Vms[Each], static_cast<int>(Each), JudgedFrom, SilentAt + ProbedSeconds, Found);
    });
  for (auto &Each : Clients)
    Each.join();
  auto All = Used.runs();
  std::erase_if(All, [](const Run &Each) { return Each.Job.rfind("000000d", 0) != 0; });
  Used.noteRuns(All);
  Used.note("%d probes of each kind: %d jobs run with the dropped route, %d looks at the new route "
            "refused with 404",
            Found.Probes.load(), Found.RanOnDroppedRoute.load(), Found.RefusedOnNewRoute.load());
  return Found.RanOnDroppedRoute + Found.RefusedOnNewRoute > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int, char **Arguments) { return play(runCase, Arguments[1]); }
