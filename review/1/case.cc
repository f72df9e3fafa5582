// An odd entry among those of the workers blocks the links that lead away from the manager of its
// zone. A task that this manager has delegated can no longer be stopped: its caller's connection
// breaks, the caller sends the job again, and the task runs twice at the same time.
#include "Harness.hh"

using namespace review;

namespace {

constexpr const char *Job = "5c0e7a21d94b36f8";
constexpr int Tasks = 12;
/// The largest work of the site's branch-batch; 5.1 s on the workers of this case.
constexpr int RunMilliseconds = 3600;
constexpr int DeadlineMilliseconds = 10000;
/// Two runs of a task count as simultaneous from this overlap on; a stop takes 50 ms at most.
constexpr double Overlap = 0.25;

/// The entry of another writer: its service is a name that no configuration has, in bytes that are
/// not text. Nobody listens at its address.
std::string oddEntry(int Port) {
  return "{\"service\":\"slip\xff\xfeservice\",\"address\":\"127.0.0.1:" + std::to_string(Port) +
         "\",\"zone\":\"ikeja\",\"version\":\"1\",\"slots\":8,\"state\":\"ready\","
         "\"coldLeftMs\":0,\"seqNo\":1,\"born\":1,\"capacity\":{\"cpu\":16000,\"memMb\":65536},"
         "\"labels\":[\"a\",\"r-1\"]}";
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 2)
    return CannotRun;
  Record Out(Arguments[1]);
  Deployment Fleet({}, Out);
  if (!Fleet.waitUntilReady()) {
    Out.line("the VMs did not become ready");
    return CannotRun;
  }
  auto Body = jobBody(Tasks, RunMilliseconds);
  auto Path = std::string("/slips/") + Job;
  Request First(Fleet.vm("ikeja-1").Front, "POST", Path, "slips.example", Body,
                DeadlineMilliseconds);
  Out.line("POST %s of %d tasks of %d ms to ikeja-1", Path.c_str(), Tasks, RunMilliseconds);
  sleepFor(0.2);
  if (hasTrouble()) {
    Fleet.control("POST", "/store/put?key=servers/odd", oddEntry(freePort()));
    Out.line("another writer puts an odd entry at servers/odd");
  }
  sleepFor(1.7);
  First.reset();
  Out.line("the caller's connection to ikeja-1 is reset");
  sleepFor(1.3);
  Request Second(Fleet.vm("apapa-1").Front, "POST", Path, "slips.example", Body,
                 DeadlineMilliseconds);
  Out.line("the caller sends the same request to apapa-1");
  Second.wait(16);
  Out.line("the answer is %d %s", Second.Status, Second.Body.c_str());
  Fleet.recordRuns(Job);
  auto Runs = Fleet.runs();
  int Twice = 0;
  for (std::size_t Left = 0; Left < Runs.size(); ++Left)
    for (std::size_t Right = Left + 1; Right < Runs.size(); ++Right) {
      const auto &A = Runs[Left];
      const auto &B = Runs[Right];
      double Both = std::min(A.To, B.To) - std::max(A.From, B.From);
      if (A.Job == B.Job && A.Step == B.Step && A.Index == B.Index && Both > Overlap) {
        ++Twice;
        Out.line("TWICE: task %d ran on %s and on %s at the same time for %.3f s", A.Index,
                 A.Worker.c_str(), B.Worker.c_str(), Both);
      }
    }
  Out.line(Twice > 0 ? "broken: %d tasks ran twice at the same time"
                     : "held: %d tasks ran twice at the same time",
           Twice);
  return Twice > 0 ? RuleBroken : RuleHeld;
}
