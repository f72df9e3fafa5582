#include "Tests/Pool/EvenLoad.h"

namespace cornellift::test {

std::vector<kernel::JobKey> submitEvenly(PoolSimulation &Simulation, core::Duration Interval,
                                         int Jobs) {
  std::vector<kernel::JobKey> Keys;
  Keys.reserve(static_cast<std::size_t>(Jobs));
  for (int Job = 0; Job < Jobs; ++Job) {
    Keys.push_back(Simulation.submit(2, RunMilliseconds, "", TaskCores));
    Simulation.run(Interval);
  }
  Simulation.run(std::chrono::seconds(5));
  return Keys;
}

double shareInTime(const PoolSimulation &Simulation, const std::vector<kernel::JobKey> &Keys) {
  double InTime = 0;
  for (auto Key : Keys) {
    auto Answer = Simulation.answerOf(Key);
    if (Answer && Answer->Verdict == JobVerdict::Completed &&
        Simulation.latencyOf(Key) <= Objective)
      InTime += 1;
  }
  return InTime / static_cast<double>(Keys.size());
}

} // namespace cornellift::test
