// An entry VM is killed while the manager of its zone is frozen for half a second. The client sends
// its job again, to a VM of another zone, 1.3 s after its connection broke.
#include "Stage.hh"

using namespace stage;

namespace {

constexpr const char *Job = "00000000000000b1";
constexpr double RetransmitSeconds = 1.3;
/// The freeze, and how long after its beginning the other VM is killed.
constexpr double FreezeSeconds = 0.47;
constexpr double KillAfterSeconds = 0.14;
/// 24 tasks on 2 cores fill the zone's three workers of 16 cores.
constexpr int Tasks = 24;
constexpr int TaskMilliseconds = 2500;
constexpr int WaitMilliseconds = 8000;

Answer submit(Stage &Used, const Vm &To) {
  auto Body = jobBody("run_ms=2500 cores=2", Tasks, 2000, TaskMilliseconds);
  Used.note("client sends job %s to %s", Job, To.Name.c_str());
  auto Got = call(To.Ip, FrontPort, "POST", std::string("/slips/") + Job,
                  headers(WaitMilliseconds), Body, WaitMilliseconds / 1000.0 + 1);
  Used.note("client got from %s: %d %s%s", To.Name.c_str(), Got.Status, Got.Body.c_str(),
            Got.Failure.c_str());
  return Got;
}

bool mayRetry(const Answer &Got) {
  return Got.Status == 0 || Got.Status == 502 || Got.Status == 504;
}

Outcome runCase(Stage &Used) {
  Plan Wanted;
  Wanted.Configuration = configuration(1, {route("slips", "/slips/")});
  Used.start(Wanted);
  sleepFor(3); // The zones' managers are elected and hold their workers.
  const auto &Manager = Used.Vms[0];
  const auto &Entry = Used.Vms[1];
  const auto &Other = Used.Vms[2];
  if (Used.metric(Manager, "cornellift_workers_held") < Wanted.WorkersInEach ||
      Used.metric(Entry, "cornellift_workers_held") > 0)
    return CouldNotRun; // Another VM manages the zone's workers.
  Answer First;
  std::thread Client([&] { First = submit(Used, Entry); });
  sleepFor(0.8);
  if (hasTrouble()) {
    double FrozenAt = clockSeconds();
    Used.signal(Manager.Name, SIGSTOP);
    sleepUntil(FrozenAt + KillAfterSeconds);
    Used.kill(Entry.Name);
    sleepUntil(FrozenAt + FreezeSeconds);
    Used.signal(Manager.Name, SIGCONT);
  }
  Client.join();
  if (mayRetry(First)) {
    sleepUntil(First.EndedAt + RetransmitSeconds);
    submit(Used, Other);
  }
  auto All = Used.runs();
  Used.noteRuns(All);
  if (All.size() < Tasks)
    return CouldNotRun;
  int Twice = 0;
  double Longest = 0;
  for (std::size_t Left = 0; Left < All.size(); ++Left)
    for (std::size_t Right = Left + 1; Right < All.size(); ++Right) {
      if (All[Left].Job != All[Right].Job || All[Left].Index != All[Right].Index)
        continue;
      auto End = [](const Run &Each) { return Each.To > 0 ? Each.To : clockSeconds(); };
      double Overlap = std::min(End(All[Left]), End(All[Right])) -
                       std::max(All[Left].From, All[Right].From);
      Twice += Overlap > 0 ? 1 : 0;
      Longest = std::max(Longest, Overlap);
    }
  Used.note("tasks with two runs at the same time: %d, for up to %.3f s", Twice, Longest);
  return Twice > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int, char **Arguments) { return play(runCase, Arguments[1]); }
