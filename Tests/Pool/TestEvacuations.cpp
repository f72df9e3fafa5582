#include "Kernel/Pool/Evacuations.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;

namespace {
constexpr core::TimePoint Begin{1h};
} // namespace

// Guards against tasks that a process starts before it knows where it may.
BOOST_AUTO_TEST_CASE(NothingIsKnownBeforeTheKeysAreRead) {
  Evacuations Known;
  BOOST_TEST(!Known.isKnown());
  BOOST_TEST(Known.learn({0, {"ikeja"}}, Begin).empty()); // A peer that knows nothing itself.
  BOOST_TEST(!Known.isKnown());
  BOOST_TEST(Known.learn({5, {}}, Begin).empty());
  BOOST_TEST(Known.isKnown());
}

// Guards against an evacuation, or its end, that a peer undoes which has read the keys earlier.
BOOST_AUTO_TEST_CASE(TheHigherRevisionWins) {
  Evacuations Known;
  auto Changes = Known.learn({5, {"ikeja"}}, Begin);
  BOOST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(Changes.front().IsEvacuated);
  BOOST_TEST(Known.learn({4, {}}, Begin + 1s).empty());
  BOOST_TEST(Known.isEvacuated("ikeja"));
  Changes = Known.learn({9, {"yaba"}}, Begin + 2s);
  BOOST_TEST(Changes.size() == 2U);
  BOOST_TEST(!Known.isEvacuated("ikeja"));
  BOOST_TEST(Known.learn({5, {"ikeja"}}, Begin + 3s).empty());
  BOOST_TEST(!Known.isEvacuated("ikeja"));
  BOOST_TEST((Known.learnedAt() == Begin + 2s));
}

// Guards against a peer that does not know a new data centre yet and hides its evacuation.
BOOST_AUTO_TEST_CASE(StatesOfOneRevisionAreJoined) {
  Evacuations Known;
  Known.learn({5, {"ikeja"}}, Begin);
  BOOST_TEST(Known.learn({5, {"yaba"}}, Begin).size() == 1U);
  BOOST_TEST(Known.isEvacuated("ikeja"));
  BOOST_TEST(Known.isEvacuated("yaba"));
}
