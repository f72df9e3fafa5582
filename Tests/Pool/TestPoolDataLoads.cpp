// Loads of tasks whose data is on one rack, under three rules: a start at once, a fixed wait, and
// the wait that is expected to pay.
#include "Tests/Pool/PoolSimulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iostream>
#include <numeric>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace cornellift;
using namespace std::chrono_literals;
using kernel::DataWaitPlan;
using kernel::DataWaitRequest;
using kernel::RackTimetable;

namespace {

/// Delay scheduling: all tasks wait up to the same time, whatever is expected.
class FixedWait final : public kernel::DataWaitPolicy {
public:
  explicit FixedWait(core::Duration Longest) : Longest_(Longest) {}
  DataWaitPlan plan(const DataWaitRequest &Request, RackTimetable &,
                    core::TimePoint Now) const override {
    return {Request.HaveWaited ? 0 : Request.Tasks, Now + Longest_, 0, {}};
  }

private:
  core::Duration Longest_;
};

const kernel::ExpectedGainPolicy ExpectedGain;

constexpr int Jobs = 400;
constexpr std::uint64_t Seeds = 3;
constexpr std::size_t Racks = 4;
constexpr std::size_t WorkersPerRack = 3;
constexpr core::Duration Step = 10ms;
constexpr double StepsPerSecond = 100;
/// Share of the jobs whose data is on the wanted rack.
constexpr double WantedShare = 0.6;
/// Mean run time of a task near its data, and the range around it.
constexpr double MeanRunMilliseconds = 200;
constexpr double ShortestRun = 0.7;
constexpr double RunRange = 0.6;

/// Four racks of six places each, and tasks that take half of a worker.
struct DataLoad {
  double RemoteFactor = 2;
  double JobsPerSecond = 30;
  double OthersFactor = 1;  ///< Run time of tasks without data, relative to those with data.
  bool IsEven = false;      ///< The data is on all racks alike, rather than six tenths on one.
  double DeclaredError = 0; ///< Declared run times are off by up to this share.
  bool RackDies = false;    ///< The wanted rack fails halfway.
};

/// What became of the jobs, over all seeds.
struct Result {
  std::vector<double> Times; ///< Milliseconds until the answer, of jobs with data.
  std::size_t LateJobs = 0;  ///< Of all jobs: without an answer in time.

  double mean() const {
    return std::accumulate(Times.begin(), Times.end(), 0.0) / static_cast<double>(Times.size());
  }
};

test::SimulationSettings settingsOf(const DataLoad &Load, const kernel::DataWaitPolicy *Policy,
                                    std::uint64_t Seed) {
  test::SimulationSettings Settings;
  Settings.Seed = Seed;
  Settings.DataCentres = 1;
  Settings.WorkersPerDataCentre = WorkersPerRack * Racks;
  Settings.WorkersPerRack = WorkersPerRack;
  Settings.WorkerSpeed = 1;
  Settings.RemoteFactor = Load.RemoteFactor;
  Settings.DataWaits = Policy;
  return Settings;
}

test::CallerWork randomWork(const DataLoad &Load, std::mt19937_64 &Random) {
  std::uniform_real_distribution<double> Share(0, 1);
  bool IsWanted = Share(Random) < WantedShare;
  auto Any = static_cast<std::size_t>(Share(Random) * Racks);
  double Declared = 1 + Load.DeclaredError * (2 * Share(Random) - 1);
  test::CallerWork Work;
  if (Load.IsEven)
    Work.DataRack = "r" + std::to_string(Any);
  else if (IsWanted)
    Work.DataRack = "r0";
  double Factor = Work.DataRack.empty() ? Load.OthersFactor : 1;
  Work.RunMilliseconds = MeanRunMilliseconds * Factor * (ShortestRun + RunRange * Share(Random));
  Work.DeclaredMilliseconds = Work.RunMilliseconds * Declared;
  return Work;
}

void playSeed(const DataLoad &Load, const kernel::DataWaitPolicy *Policy, std::uint64_t Seed,
              Result &Sum) {
  test::PoolSimulation Simulation(settingsOf(Load, Policy, Seed));
  Simulation.run(2s);
  std::mt19937_64 Random(Seed);
  std::poisson_distribution<int> Arrivals(Load.JobsPerSecond / StepsPerSecond);
  std::vector<std::pair<kernel::JobKey, bool>> Keys; // With whether the job has data.
  for (int Job = 0, Due = 0; Job < Jobs; ++Job, --Due) {
    for (; Due == 0; Due = Arrivals(Random))
      Simulation.run(Step);
    auto Work = randomWork(Load, Random);
    Keys.emplace_back(Simulation.submit(Work), !Work.DataRack.empty());
    if (Load.RackDies && Job == Jobs / 2)
      for (std::size_t Worker = 0; Worker < WorkersPerRack; ++Worker)
        Simulation.worker(Worker).faults().IsUnhealthy = true;
  }
  Simulation.run(5s);
  for (auto [Key, HasData] : Keys) {
    auto Answer = Simulation.answerOf(Key);
    bool IsInTime = Answer && Answer->Verdict == kernel::JobVerdict::Completed && !Answer->IsLate;
    Sum.LateJobs += IsInTime ? 0 : 1;
    if (HasData && Answer)
      Sum.Times.push_back(core::toMilliseconds(Simulation.latencyOf(Key)));
  }
  BOOST_TEST(Simulation.violations().empty());
}

Result play(std::string_view Name, const DataLoad &Load, const kernel::DataWaitPolicy *Policy) {
  Result Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    playSeed(Load, Policy, Seed, Sum);
  std::cout << "factor " << Load.RemoteFactor << ", " << Load.JobsPerSecond << "/s, " << Name
            << ": mean " << Sum.mean() << " ms, late " << Sum.LateJobs << " of " << Seeds * Jobs
            << "\n";
  return Sum;
}

constexpr core::Duration FaultyWait = 1500ms;
constexpr core::Duration FaultyRun = 100ms;
/// Until a caller has lost its VM and comes again, and until a wait that has ended is noticed.
constexpr core::Duration ResendTime = 2s;
constexpr core::Duration Slack = 300ms;

/// A task waits for a rack that long runs fill. After a fifth of a second the fault begins. Returns
/// the time until the answer.
template <typename Fault> core::Duration playFaultInWait(std::uint64_t Seed, Fault Begin) {
  FixedWait Policy(FaultyWait);
  test::SimulationSettings Settings;
  Settings.Seed = Seed;
  Settings.DataCentres = 1;
  Settings.VmsPerDataCentre = 3; // One alone does not take over.
  Settings.WorkersPerRack = 2;
  Settings.WorkerSpeed = 1;
  Settings.DataWaits = &Policy;
  Settings.CallerTimeout = 8s;
  test::PoolSimulation Simulation(Settings);
  Simulation.run(2s);
  for (int Filler = 0; Filler < 4; ++Filler)
    Simulation.submit({.RunMilliseconds = 6000, .DataRack = "r0"});
  Simulation.run(100ms);
  auto Key = Simulation.submit(
      {.RunMilliseconds = core::toMilliseconds(FaultyRun), .Stretch = 60, .DataRack = "r0"});
  Simulation.run(200ms);
  Begin(Simulation);
  Simulation.run(7s);
  std::size_t Done = 0;
  for (std::size_t Worker = 0; Worker < Simulation.workerCount(); ++Worker)
    for (const auto &Run : Simulation.worker(Worker).history())
      Done += Run.Task.Job == Key && Run.EndedAt && Run.How == kernel::RunEnd::Done ? 1 : 0;
  auto Answer = Simulation.answerOf(Key);
  BOOST_TEST_CONTEXT("seed " << Seed) {
    BOOST_TEST(Done == 1U);
    BOOST_REQUIRE(Answer);
    BOOST_TEST((Answer->Verdict == kernel::JobVerdict::Completed));
    BOOST_TEST(Simulation.violations().empty());
  }
  return Simulation.latencyOf(Key);
}

} // namespace

// Guards against a task that is lost, runs twice or waits for ever because the manager at which it
// waits for room near its data ends. The successor plans a wait of its own.
BOOST_AUTO_TEST_CASE(TaskThatWaitsIsServedOnceIfItsManagerIsKilled) {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed)
    BOOST_TEST((playFaultInWait(Seed, [](auto &Simulation) { Simulation.kill(0, 3s); }) <=
                ResendTime + FaultyWait + 2 * FaultyRun + Slack));
}

// The same for a planned hand-over of the data centre. The former manager keeps the task and the
// deadline of its wait.
BOOST_AUTO_TEST_CASE(TaskThatWaitsIsServedOnceIfItsDataCentreIsHandedOver) {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed)
    BOOST_TEST((playFaultInWait(Seed, [](auto &Simulation) { Simulation.stopGracefully(0, 3s); }) <=
                FaultyWait + 2 * FaultyRun + Slack));
}

// The same for a cut between the manager and all other VMs: short, until they have taken its
// workers over, and until it has lost them.
BOOST_AUTO_TEST_CASE(TaskThatWaitsIsServedOnceIfItsManagerIsCutOff) {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed)
    for (core::Duration Span : {300ms, 1200ms, 3000ms}) {
      auto Cut = [Span](auto &Simulation) {
        for (std::size_t Other = 1; Other < Simulation.vmCount(); ++Other)
          Simulation.cutVms(0, Other, Span);
      };
      BOOST_TEST((playFaultInWait(Seed, Cut) <= ResendTime + FaultyWait + 2 * FaultyRun + Slack));
    }
}

// Guards against starts away from the data while room near it is about to become free, and against
// tasks without data that fill the rack. Long tasks without data are four tenths of the load.
BOOST_AUTO_TEST_CASE(AWantedRackIsServedSoonerThanWithoutOrWithFixedWaits) {
  DataLoad Load;
  Load.OthersFactor = 4;
  auto AtOnce = play("at once", Load, nullptr);
  auto Expected = play("expected gain", Load, &ExpectedGain);
  BOOST_TEST(Expected.mean() <= 0.8 * AtOnce.mean());
  BOOST_TEST(Expected.LateJobs <= AtOnce.LateJobs);
  for (auto Longest : {10ms, 25ms, 50ms, 100ms, 200ms}) {
    FixedWait Fixed(Longest);
    auto Name = "fixed wait " + std::to_string(Longest / 1ms);
    BOOST_TEST(Expected.mean() < play(Name, Load, &Fixed).mean());
  }
}

// Guards against waits that cost more than they gain: data on all racks alike, more demand for one
// rack than it can run, estimates that are off by 40%, and a rack that stops to serve in the wait.
BOOST_AUTO_TEST_CASE(WaitsForDataMakeNoOtherLoadSlower) {
  for (double Factor : {1.0, 1.5, 2.0, 3.0})
    for (const auto &[Name, Load] : std::initializer_list<std::pair<const char *, DataLoad>>{
             {"even", {Factor, 60, 1, true}},
             {"even", {Factor, 100, 1, true}},
             {"one rack wanted", {Factor, 30}},
             {"one rack wanted", {Factor, 80}},
             {"estimates off by 40%", {Factor, 30, 4, false, 0.4}},
             {"rack dies", {Factor, 30, 1, false, 0, true}}}) {
      auto AtOnce = play(Name, Load, nullptr);
      BOOST_TEST(play(Name, Load, &ExpectedGain).mean() <= AtOnce.mean());
    }
}
