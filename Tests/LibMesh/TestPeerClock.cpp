#include "Libraries/LibMesh/PeerClock.h"

#include <cstdint>
#include <limits>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::mesh;
using namespace std::chrono_literals;

namespace {

/// A peer whose clock is ahead, and that acknowledges heartbeats after some time.
struct Peer {
  core::TimePoint Now{1h};
  core::Duration Ahead = 20h;

  std::uint64_t clockAt(core::TimePoint Time) const {
    return static_cast<std::uint64_t>((Time.time_since_epoch() + Ahead).count());
  }
  void acknowledgeAfter(core::Duration Delay) {
    auto SentAt = Now;
    Now += Delay;
    Clock.observe(SentAt, clockAt(Now), Now);
  }

  PeerClock Clock;
};

} // namespace

// Guards against a frame that counts as sent later than it was, whatever the heartbeats took.
BOOST_AUTO_TEST_CASE(AConvertedTimeIsNeverLaterThanTheTrueOne) {
  Peer Other;
  BOOST_TEST(!Other.Clock.isKnown());
  BOOST_TEST(!Other.Clock.toLocal(Other.clockAt(Other.Now)).has_value());
  for (auto Delay : {300ms, 40ms, 2ms, 250ms, 90ms}) {
    Other.acknowledgeAfter(Delay);
    BOOST_TEST((*Other.Clock.toLocal(Other.clockAt(Other.Now)) <= Other.Now));
  }
  // The error is the delay of the fastest acknowledgement.
  BOOST_TEST((*Other.Clock.toLocal(Other.clockAt(Other.Now)) == Other.Now - 2ms));
}

// Guards against an estimate that drifts away: a clock that runs faster would make frames look as
// if they had been sent later and later.
BOOST_AUTO_TEST_CASE(OldObservationsAreForgotten) {
  constexpr auto DriftInFourSeconds = 4ms; // 0.1%
  Peer Other;
  for (int Each = 0; Each < 1000; ++Each) {
    Other.acknowledgeAfter(1ms);
    Other.Now += 99ms;
    Other.Ahead += 100us;
    BOOST_TEST((*Other.Clock.toLocal(Other.clockAt(Other.Now)) <= Other.Now + DriftInFourSeconds));
  }
  Other.Now += 1h;
  Other.Ahead -= 1min;
  Other.acknowledgeAfter(1ms);
  BOOST_TEST((*Other.Clock.toLocal(Other.clockAt(Other.Now)) == Other.Now - 1ms));
}

// Guards against arithmetic overflow by a time that a peer should never send.
BOOST_AUTO_TEST_CASE(ImpossibleTimesAreIgnored) {
  constexpr auto Impossible = std::numeric_limits<std::uint64_t>::max();
  Peer Other;
  Other.Clock.observe(Other.Now, Impossible, Other.Now);
  BOOST_TEST(!Other.Clock.isKnown());
  Other.acknowledgeAfter(1ms);
  BOOST_TEST(!Other.Clock.toLocal(Impossible).has_value());
}
