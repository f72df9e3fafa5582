#include "Utilities/Replay/CostMeasurement.h"

#include "Kernel/Scheduling/PolicyScheduler.h"
#include "Utilities/Replay/Generators.h"
#include "Utilities/Replay/ReplayRun.h"
#include "Utilities/Replay/Report.h"

#include <array>
#include <malloc.h>
#include <numeric>
#include <ostream>

namespace cornellift::replay {
namespace {

constexpr std::array<std::uint32_t, 4> WorkerCounts{50, 350, 700, 1400};
/// Worker seconds of each run: larger fleets get shorter traces, so that each starts about the same
/// number of tasks.
constexpr double WorkerSeconds = 3000;

double bytesPerWaitingTask(std::uint64_t Seed) {
  constexpr std::uint32_t Jobs = 200;
  constexpr std::uint32_t TasksPerJob = 500;
  auto Configuration = std::make_shared<kernel::KernelConfiguration>();
  Configuration->Services.push_back(
      {"print", 1, {{"payslip", std::chrono::milliseconds(300), {}}}});
  Configuration->Teams.push_back({"team", 1, 0});
  kernel::EndpointConfiguration Endpoint;
  Endpoint.Name = "w0";
  Endpoint.Services.push_back(kernel::ServiceIndex{0});
  Configuration->Endpoints.push_back(Endpoint);
  auto Policy = kernel::makePolicyScheduler(Seed);
  core::TimePoint Now{std::chrono::hours(1)};
  Policy->applyConfiguration(Configuration, Now);
  kernel::JobSpec Spec;
  Spec.Tasks.resize(TasksPerJob);
  auto Before = mallinfo2().uordblks;
  for (std::uint64_t Job = 0; Job < Jobs; ++Job)
    Policy->admit({{1}, Job}, Spec, Now);
  auto After = mallinfo2().uordblks;
  return static_cast<double>(After - Before) / (Jobs * TasksPerJob);
}

} // namespace

void measureCost(std::uint64_t Seed, double Load, std::ostream &Output) {
  Output << "workers  tasks  decision_us_mean  decision_us_p99  decision_us_per_placement  "
            "scheduler_us_per_task\n";
  for (auto Workers : WorkerCounts) {
    GeneratorOptions Options;
    Options.Workers = Workers;
    Options.Seconds = WorkerSeconds / Workers;
    Options.Load = Load;
    Options.Seed = Seed;
    auto Input = generateTrace(Options);
    if (!Input)
      return;
    auto Result = ReplayRun(*Input, {}, std::nullopt).run();
    std::vector<double> Times;
    for (auto Nanoseconds : Result.Times.Next)
      Times.push_back(Nanoseconds / 1000.0);
    double Sum = std::accumulate(Times.begin(), Times.end(), 0.0);
    auto Placements = static_cast<double>(Result.Times.Placements);
    Output << Workers << "  " << Result.Tasks << "  " << Sum / static_cast<double>(Times.size())
           << "  " << quantile(Times, 0.99) << "  " << Sum / Placements << "  "
           << static_cast<double>(Result.Times.Total) / 1000 / Placements << '\n';
  }
  Output << "bytes per waiting task: " << bytesPerWaitingTask(Seed) << '\n';
}

} // namespace cornellift::replay
