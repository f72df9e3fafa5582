#include "Kernel/Identifiers.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift::kernel;

BOOST_AUTO_TEST_CASE(TextFormIsReversible) {
  JobId Job{{0x8f3a}, 42};
  auto Text = formatJobId("ikeja-1", Job);
  BOOST_TEST(Text == "ikeja-1.0000000000008f3a.42");
  auto Parsed = parseJobId(Text);
  BOOST_REQUIRE(Parsed);
  BOOST_TEST(Parsed->EntryVm == "ikeja-1");
  BOOST_TEST((Parsed->Job == Job));
}

// Guards against two text forms of one identifier, which would defeat the duplicate check.
BOOST_AUTO_TEST_CASE(OtherFormsAreRefused) {
  for (const char *Bad : {"", "a", "a.b", "a.8f3a.1", ".0000000000008f3a.1", "a.0000000000008f3a.",
                          "a.0000000000008f3a.1.2", "a b.0000000000008f3a.1",
                          "a.0000000000008f3a.99999999999999999999"})
    BOOST_TEST(!parseJobId(Bad), Bad);
}
