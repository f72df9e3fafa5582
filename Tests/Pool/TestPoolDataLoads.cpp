// Loads of tasks whose data is on one rack, under three rules: a start at once, a fixed wait, and
// the wait that is expected to pay.
#include "Tests/Pool/PoolSimulation.h"

#include <boost/test/unit_test.hpp>

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

} // namespace

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
