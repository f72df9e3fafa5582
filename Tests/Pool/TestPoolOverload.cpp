#include "Tests/Pool/EvenLoad.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;
using test::submitEvenly;

namespace {

/// An answer after three times the objective is of no use.
constexpr core::Duration Useful = 3 * test::Objective;
constexpr core::Duration ResendDelay = std::chrono::milliseconds(1300);

} // namespace

// Guards against jobs that are held although they cannot be served, and refusals without a time to
// come back, at five times the capacity.
BOOST_AUTO_TEST_CASE(OverloadIsAnsweredWhileTheAnswerIsOfUse) {
  test::PoolSimulation Simulation({});
  Simulation.run(2s);
  auto Keys = submitEvenly(Simulation, 5ms, 800);
  std::size_t Rejected = 0;
  for (auto Key : Keys) {
    auto Answer = Simulation.answerOf(Key);
    BOOST_REQUIRE(Answer);
    if (Answer->Verdict != kernel::JobVerdict::Rejected)
      continue;
    ++Rejected;
    BOOST_TEST(Answer->RetryAfterMilliseconds > 0);
    // A job that was given up is sent again after a while.
    auto Attempts = Simulation.attemptsOf(Key);
    BOOST_TEST((Simulation.latencyOf(Key) <= Attempts * Useful + (Attempts - 1) * ResendDelay),
               core::toMilliseconds(Simulation.latencyOf(Key))
                   << " ms after " << Attempts << " attempts: " << Answer->Why);
  }
  BOOST_TEST(Rejected > 400U);
  BOOST_TEST(Simulation.violations().empty());
}
