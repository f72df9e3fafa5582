#include "Kernel/Pool/RunPrognosis.h"
#include "Tests/Pool/PoolSimulation.h"

#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

namespace {

std::size_t endsOf(test::PoolSimulation &Simulation, kernel::RunEnd How) {
  std::size_t Count = 0;
  for (std::size_t Worker = 0; Worker < Simulation.workerCount(); ++Worker)
    for (const auto &Run : Simulation.worker(Worker).history())
      Count += Run.EndedAt && Run.How == How ? 1 : 0;
  return Count;
}

std::set<kernel::JobKey> jobsWithStoppedRuns(test::PoolSimulation &Simulation) {
  std::set<kernel::JobKey> Jobs;
  for (std::size_t Worker = 0; Worker < Simulation.workerCount(); ++Worker)
    for (const auto &Run : Simulation.worker(Worker).history())
      if (Run.EndedAt && Run.How == kernel::RunEnd::Stopped)
        Jobs.insert(Run.Task.Job);
  return Jobs;
}

/// The policy of the route in PoolSimulation, applied to the actual run time.
bool isInTime(const test::PoolSimulation &Simulation, kernel::JobKey Key, double RunMilliseconds) {
  auto Answer = Simulation.answerOf(Key);
  return Answer && Answer->Verdict == kernel::JobVerdict::Completed &&
         core::toMilliseconds(Simulation.latencyOf(Key)) <=
             test::DefaultStretch * RunMilliseconds + test::TargetLatencyMilliseconds;
}

constexpr double Expected = 100; ///< Milliseconds.
constexpr double KindDeviation = 0.4;
constexpr double Rare = 0.01; ///< Share of overlong jobs.

kernel::ObservedRun runOn(std::uint32_t Worker, double Milliseconds) {
  return {static_cast<kernel::EndpointIndex>(Worker), Milliseconds, Milliseconds};
}

/// Judges a run on worker 0, of which all progress is known.
kernel::RunDelay judge(const std::vector<kernel::ObservedRun> &Siblings,
                       const std::vector<kernel::NeighbourRun> &Neighbours,
                       double Deviation = KindDeviation, double Milliseconds = 12 * Expected,
                       double OverlongShare = Rare) {
  return kernel::prognoseRun(
             {runOn(0, Milliseconds), Expected, Deviation, OverlongShare, Siblings, Neighbours})
      .Delay;
}

void playLongJobsBesideSlowWorkers(std::uint64_t Seed) {
  constexpr int Jobs = 200;
  constexpr double DeclaredMilliseconds = 100;
  constexpr double LongMilliseconds = 1200;
  test::SimulationSettings Settings;
  Settings.Seed = Seed;
  test::PoolSimulation Simulation(Settings);
  Simulation.run(2s);
  for (std::size_t Worker : {1U, 6U})
    Simulation.worker(Worker).faults().Slowdown = 8;
  std::vector<std::pair<kernel::JobKey, double>> Sent;
  for (int Job = 0; Job < Jobs; ++Job) {
    double Milliseconds = Job % 3 == 0 ? LongMilliseconds : DeclaredMilliseconds;
    Sent.emplace_back(Simulation.submit(2, Milliseconds, "", 1, DeclaredMilliseconds),
                      Milliseconds);
    Simulation.run(70ms);
  }
  Simulation.run(8s);
  auto Moved = jobsWithStoppedRuns(Simulation);
  int InTime = 0;
  int MovedInTime = 0;
  for (const auto &[Key, Milliseconds] : Sent) {
    InTime += isInTime(Simulation, Key, Milliseconds) ? 1 : 0;
    MovedInTime += Moved.contains(Key) && isInTime(Simulation, Key, Milliseconds) ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("seed " << Seed << ": " << InTime << " in time, " << Moved.size() << " moved, "
                             << MovedInTime << " of them in time");
  BOOST_TEST(endsOf(Simulation, kernel::RunEnd::Lapsed) == 0U);
  BOOST_TEST(Simulation.completed() == static_cast<std::size_t>(Jobs));
  BOOST_TEST(InTime >= Jobs * 9 / 10);
  BOOST_TEST(endsOf(Simulation, kernel::RunEnd::Stopped) <= static_cast<std::size_t>(Jobs / 10));
  BOOST_TEST(2 * MovedInTime >= static_cast<int>(Moved.size()));
  BOOST_TEST(Simulation.violations().empty());
}

} // namespace

// Guards against moving the runs of a long job, and against leaving runs on a slow worker, where
// siblings, neighbours or the spread of the kind show which of the two it is.
BOOST_AUTO_TEST_CASE(EvidenceTellsALongJobFromASlowWorker) {
  using enum kernel::RunDelay;
  kernel::NeighbourRun Ordinary{Expected, Expected, KindDeviation, Rare};
  kernel::NeighbourRun Slowed{12 * Expected, Expected, KindDeviation, Rare};
  BOOST_CHECK(judge({runOn(1, 1200)}, {}) == LongJob);
  BOOST_CHECK(judge({runOn(1, 1200), runOn(2, 1100)}, {Ordinary}) == LongJob);
  BOOST_CHECK(judge({runOn(1, 100)}, {}) == SlowWorker);
  BOOST_CHECK(judge({runOn(1, 100)}, {Slowed}) == SlowWorker);
  BOOST_CHECK(judge({}, {Ordinary}) == LongJob);
  BOOST_CHECK(judge({}, {Slowed}) == SlowWorker);
  // A sibling on the same worker tells nothing about it.
  BOOST_CHECK(judge({runOn(0, 1200)}, {Slowed}) == SlowWorker);
  // Both are on slow workers.
  BOOST_CHECK(judge({runOn(1, 1200)}, {Slowed, Slowed}) == SlowWorker);
  // Alone, a length that is common for the kind is no sign of a fault.
  BOOST_CHECK(judge({}, {}, 1.2) == LongJob);
  BOOST_CHECK(judge({}, {}) == LongJob);
  BOOST_CHECK(judge({}, {}, KindDeviation, 80 * Expected) == SlowWorker);
  // Where a third of the jobs is overlong, two of them often share a worker.
  Slowed.OverlongShare = 0.33;
  BOOST_CHECK(judge({}, {Slowed}, KindDeviation, 12 * Expected, 0.33) == LongJob);
  BOOST_CHECK(judge({}, {}, KindDeviation, 140) == None);
}

// Guards against moves that help nobody, work given up that could be of use and leases that lapse,
// where a third of the jobs take twelve times as long as declared and two of eight workers turn
// eight times slower.
BOOST_AUTO_TEST_CASE(LongJobsAreServedBesideSlowWorkers) {
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed)
    playLongJobsBesideSlowWorkers(Seed);
}

// Guards against leases that lapse without a fault: the poll of a worker with an overdue run was
// replaced before its reply could arrive, for as long as the run lasted, so that the worker counted
// as silent.
BOOST_AUTO_TEST_CASE(NoLeaseLapsesBecauseTasksTakeLongerThanDeclared) {
  test::PoolSimulation Simulation({});
  Simulation.run(2s);
  for (int Job = 0; Job < 40; ++Job) {
    Simulation.submit(2, 1500, "", 1, 150);
    Simulation.run(150ms);
  }
  Simulation.run(6s);
  BOOST_TEST(endsOf(Simulation, kernel::RunEnd::Lapsed) == 0U);
}
