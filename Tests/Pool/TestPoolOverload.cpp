#include "Tests/Pool/EvenLoad.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;
using test::submitEvenly;

namespace {

/// Eight workers run two such tasks each, at 1.1 times the typical speed in the mean.
constexpr double JobsPerSecond = 8 * 2 * 1.1 / (2 * test::RunMilliseconds / 1000);
/// Share of the capacity that has to be of use in time.
constexpr double UsedShare = 0.8;
/// Answers after three times the objective are of no use.
constexpr core::Duration Useful = 3 * test::Objective;
constexpr core::Duration ResendDelay = std::chrono::milliseconds(1300);

} // namespace

// Guards against keeping jobs that cannot be served in time, against rejections without a retry
// time, and against capacity that is spent on jobs that are late, at more than twice the capacity.
BOOST_AUTO_TEST_CASE(OverloadIsAnsweredWhileTheAnswerIsOfUse) {
  test::PoolSimulation Simulation({});
  Simulation.run(2s);
  auto Begin = Simulation.now();
  auto Keys = submitEvenly(Simulation, 5ms, 800);
  double Seconds = core::toMilliseconds(Simulation.now() - 5s - Begin) / 1000;
  std::size_t Rejected = 0;
  for (auto Key : Keys) {
    auto Answer = Simulation.answerOf(Key);
    BOOST_REQUIRE(Answer);
    if (Answer->Verdict != kernel::JobVerdict::Rejected)
      continue;
    ++Rejected;
    BOOST_TEST(Answer->RetryAfterMilliseconds > 0);
    // Callers resubmit a job that was given up after a delay.
    auto Attempts = Simulation.attemptsOf(Key);
    BOOST_TEST((Simulation.latencyOf(Key) <= Attempts * Useful + (Attempts - 1) * ResendDelay),
               core::toMilliseconds(Simulation.latencyOf(Key))
                   << " ms after " << Attempts << " attempts: " << Answer->Why);
  }
  // Each job is either served or told to come back; none is kept until it is given up.
  BOOST_TEST(Rejected + Simulation.completed() == Keys.size());
  BOOST_TEST(test::shareInTime(Simulation, Keys) * static_cast<double>(Keys.size()) >=
             UsedShare * JobsPerSecond * Seconds);
  BOOST_TEST(Simulation.violations().empty());
}
