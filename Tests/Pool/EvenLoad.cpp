#include "Tests/Pool/EvenLoad.h"

namespace cornellift::test {

std::vector<kernel::JobKey> submitEvenly(PoolWorld &World, core::Duration Interval, int Jobs) {
  std::vector<kernel::JobKey> Keys;
  Keys.reserve(static_cast<std::size_t>(Jobs));
  for (int Job = 0; Job < Jobs; ++Job) {
    Keys.push_back(World.submit(2, RunMilliseconds, "", TaskCores));
    World.run(Interval);
  }
  World.run(std::chrono::seconds(5));
  return Keys;
}

double shareInTime(const PoolWorld &World, const std::vector<kernel::JobKey> &Keys) {
  double InTime = 0;
  for (auto Key : Keys) {
    auto Answer = World.answerOf(Key);
    if (Answer && Answer->Verdict == JobVerdict::Completed && World.latencyOf(Key) <= Objective)
      InTime += 1;
  }
  return InTime / static_cast<double>(Keys.size());
}

} // namespace cornellift::test
