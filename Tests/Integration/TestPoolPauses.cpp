// Pauses of entry processes that are too short for their peers to take them for lost.
#include "Tests/Integration/PoolDeployment.h"

#include <chrono>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;
using namespace std::chrono_literals;

namespace {

/// Shorter than the silence after which a peer is taken for lost.
constexpr auto Pause = 450ms;
constexpr auto KillAfter = 50ms;       ///< From the beginning of the pause.
constexpr auto ResubmitAfter = 1300ms; ///< From the loss of a caller's connection.
constexpr int Tasks = 12;              ///< The workers of a data centre run as many at once.
constexpr int RunMilliseconds = 3000;

} // namespace

// Guards against runs that go on beside those of the resubmitted job: the manager was paused while
// the job's entry process was killed, and took what it read afterwards for recent. The connections
// of the killed process stay open, as if its VM had lost power.
BOOST_AUTO_TEST_CASE(AKillDuringAPauseOfTheManagerRunsNothingTwice) {
  PoolDeployment Deployment("PoolPauseKill", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto Name = Deployment.managerOf("ikeja");
  auto &Manager = Deployment.vm(Name);
  auto &Entry = Deployment.vm(Name == "ikeja-1" ? "ikeja-2" : "ikeja-1");
  auto Key = newJobKey();
  JobReply First;
  std::chrono::steady_clock::time_point LostAt;
  std::thread Caller([&] {
    First = postJob(Entry.CallerPort, Key, Tasks, RunMilliseconds);
    LostAt = std::chrono::steady_clock::now();
  });
  std::this_thread::sleep_for(800ms);
  BOOST_TEST(Deployment.runs().size() == static_cast<std::size_t>(Tasks));
  auto PausedAt = std::chrono::steady_clock::now();
  Manager.Process->pause();
  // The job's frame is the last one that the manager reads after its pause.
  std::thread LateCaller([&] { postJob(Entry.CallerPort, newJobKey(), 1, RunMilliseconds); });
  std::this_thread::sleep_until(PausedAt + KillAfter);
  BOOST_TEST(Deployment.controlLink("mesh-ikeja-*", "open", {{"action", "silence"}}));
  Entry.Process->kill();
  std::this_thread::sleep_until(PausedAt + Pause);
  Manager.Process->resume();
  Caller.join();
  LateCaller.join();
  BOOST_TEST(First.Status == 0);
  std::this_thread::sleep_until(LostAt + ResubmitAfter);
  BOOST_TEST(postJob(Deployment.vm("yaba-1").CallerPort, Key, Tasks, RunMilliseconds).State ==
             "completed");
  BOOST_TEST(Deployment.runs().size() > static_cast<std::size_t>(Tasks));
  BOOST_TEST(Deployment.overlaps().empty());
}
