#include "Services/EntryDaemon/TransferCoding.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;

// Guards against a successor that treats outcomes as state when the reply to the seal was lost.
BOOST_AUTO_TEST_CASE(KindOfAPartIsPreservedByCoding) {
  kernel::KernelConfiguration Configuration;
  entry::IssuerNames Names("ikeja-1");
  for (auto Kind :
       {kernel::TransferPart::Content::State, kernel::TransferPart::Content::Outcomes}) {
    kernel::TransferPart Part;
    Part.Sender = {7};
    Part.Receiver = {8};
    Part.Transfer = 3;
    Part.Kind = Kind;
    auto Received = entry::decodeTransfer(entry::encodeTransfer(Part, Configuration, Names),
                                          Configuration, Names);
    BOOST_REQUIRE(Received);
    BOOST_TEST((Received->Kind == Kind));
    BOOST_TEST(Received->Transfer == 3U);
  }
}
