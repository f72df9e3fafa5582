// Loads of tasks whose data is on one rack, under three rules: no wait, a fixed wait, and the wait
// that is expected to pay.
#include "Tests/Pool/PoolSimulation.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

using namespace cornellift;
using namespace std::chrono_literals;
using kernel::DataWaitPlan;
using kernel::DataWaitRequest;
using kernel::JobKey;
using kernel::RackTimetable;

namespace {

/// All tasks wait for the same time at most, whatever is expected.
class FixedWait final : public kernel::DataWaitPolicy {
public:
  explicit FixedWait(core::Duration Longest) : Longest_(Longest) {}
  DataWaitPlan plan(const DataWaitRequest &Request, RackTimetable &,
                    core::TimePoint Now) const override {
    return {Longest_.count() > 0 && !Request.HaveWaited ? Request.Tasks : 0, Now + Longest_, 0, {}};
  }

private:
  core::Duration Longest_;
};

const kernel::ExpectedGainPolicy ExpectedGain;

struct DataLoad {
  std::size_t Racks = 4;
  double HotShare = 0.6; ///< Share of the tasks whose data is on rack 0.
  bool IsEven = false;   ///< The other tasks' data is on all racks, rather than nowhere.
  double RemoteFactor = 3;
  double DeclaredError = 0; ///< Declared run times are off by up to this share.
  double JobsPerSecond = 60;
  double OthersFactor = 1; ///< Run time of tasks without data, relative to those with data.
  bool RackDies = false;
  std::uint64_t Seed = 1;
};

struct Result {
  double Mean = 0; ///< Milliseconds until the answer of jobs with data.
  double Late = 0; ///< Share of all jobs without an answer in time.
  std::size_t Violations = 0;
};

Result play(const DataLoad &Load, const kernel::DataWaitPolicy *Policy) {
  constexpr double RunMilliseconds = 200;
  constexpr int Jobs = 400;
  test::SimulationSettings Settings;
  Settings.Seed = Load.Seed;
  Settings.DataCentres = 1;
  Settings.WorkersPerDataCentre = 3 * Load.Racks;
  Settings.WorkersPerRack = 3;
  Settings.RemoteFactor = Load.RemoteFactor;
  Settings.DataWaits = Policy;
  if (std::getenv("SPEED"))
    Settings.WorkerSpeed = 1;
  test::PoolSimulation Simulation(Settings);
  Simulation.run(2s);
  std::mt19937_64 Random(Load.Seed);
  std::uniform_real_distribution<double> Share(0, 1);
  std::vector<std::pair<JobKey, bool>> Keys;
  std::poisson_distribution<int> Arrivals(Load.JobsPerSecond / 100);
  for (int Job = 0, Due = 0; Job < Jobs; ++Job, --Due) {
    for (; Due == 0; Due = Arrivals(Random))
      Simulation.run(10ms);
    bool IsHot = Share(Random) < Load.HotShare;
    auto Rack = static_cast<std::size_t>(Share(Random) * static_cast<double>(Load.Racks));
    test::SubmittedData Data{IsHot         ? "r0"
                             : Load.IsEven ? "r" + std::to_string(Rack)
                                           : "",
                             1 + Load.DeclaredError * (2 * Share(Random) - 1)};
    double Run =
        RunMilliseconds * (0.7 + 0.6 * Share(Random)) * (Data.Rack.empty() ? Load.OthersFactor : 1);
    Keys.emplace_back(Simulation.submit(1, Run, "", 2, Run * Data.DeclaredShare, Data.Rack),
                      !Data.Rack.empty());
    if (Load.RackDies && Job == Jobs / 2)
      for (std::size_t Worker = 0; Worker < 3; ++Worker)
        Simulation.worker(Worker).faults().IsUnhealthy = true;
  }
  Simulation.run(5s);
  Result Found;
  double Count = 0;
  for (auto [Key, HasData] : Keys) {
    auto Answer = Simulation.answerOf(Key);
    Found.Late += Answer && Answer->Verdict == kernel::JobVerdict::Completed && !Answer->IsLate
                      ? 0
                      : 1.0 / Jobs;
    if (!HasData || !Answer)
      continue;
    Found.Mean += core::toMilliseconds(Simulation.latencyOf(Key));
    Count += 1;
  }
  Found.Mean /= std::max(1.0, Count);
  Found.Violations = Simulation.violations().size();
  return Found;
}

} // namespace

BOOST_AUTO_TEST_CASE(Explore) {
  struct Each {
    int Kind;
    double Others;
    int Rate;
  };
  for (double Factor : {1.5, 2.0, 3.0})
    for (auto [Kind, Others, Rate] : {Each{0, 1, 40},
                                      {0, 1, 60},
                                      {0, 1, 80},
                                      {0, 4, 20},
                                      {0, 4, 30},
                                      {0, 4, 40},
                                      {0, 4, 50},
                                      {1, 1, 60},
                                      {1, 1, 80},
                                      {1, 1, 100},
                                      {2, 1, 60},
                                      {2, 4, 30},
                                      {3, 1, 30},
                                      {3, 1, 45}}) {
      DataLoad Load;
      Load.RemoteFactor = Factor;
      Load.OthersFactor = Others;
      Load.JobsPerSecond = Rate;
      if (Kind == 1) {
        Load.HotShare = 0;
        Load.IsEven = true;
      }
      if (Kind == 2)
        Load.DeclaredError = 0.4;
      if (Kind == 3)
        Load.RackDies = true;
      const char *Names[] = {"hot", "even", "off", "dies"};
      std::cout << "factor " << Factor << " " << Names[Kind] << " others " << Others << " rate "
                << Rate;
      auto Print = [&](const char *Name, const kernel::DataWaitPolicy *Policy) {
        double Mean = 0, Late = 0;
        for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
          Load.Seed = Seed;
          auto Each = play(Load, Policy);
          if (Each.Violations)
            std::cout << "VIOLATION ";
          Mean += Each.Mean / 3;
          Late += Each.Late / 3;
        }
        std::cout << " | " << Name << " " << std::round(Mean * 10) / 10 << " "
                  << std::round(Late * 1000) / 10 << "%";
      };
      Print("today", nullptr);
      for (auto Fixed : {0, 10, 25, 50, 100, 200}) {
        FixedWait Policy{std::chrono::milliseconds(Fixed)};
        Print(std::to_string(Fixed).c_str(), &Policy);
      }
      Print("gain", &ExpectedGain);
      std::cout << std::endl;
    }
}
