#include "DispatcherFixture.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;

// Guards against results that are missing or in the order of their arrival.
BOOST_AUTO_TEST_CASE(CompleteHasAllResultsInTaskOrder) {
  DispatcherFixture Test;
  auto Request = Test.submit(Test.newId(), DispatcherFixture::spec(3));
  auto Started = Test.take<StartTask>();
  BOOST_REQUIRE(Started.size() == 3);
  for (std::size_t Index : {2, 0, 1}) {
    BOOST_TEST(!Test.response(Request));
    Test.finish(Started[Index]);
  }
  auto Whole = Test.outcome<Complete>(Request);
  BOOST_REQUIRE(Whole);
  for (std::size_t Index = 0; Index < 3; ++Index)
    BOOST_TEST(*Whole->Results[Index] == "result " + std::to_string(Index));
}
