#include "Libraries/LibCore/Ring.h"

#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using cornellift::core::Ring;

// Guards against unbounded growth when the consumer is slower than its producers.
BOOST_AUTO_TEST_CASE(FullRingRefuses) {
  Ring<int> Small(2);
  BOOST_TEST(Small.tryPush(1));
  BOOST_TEST(Small.tryPush(2));
  BOOST_TEST(!Small.tryPush(3));
}

// Guards against losing entries at a planned stop, and against consumers that never end.
BOOST_AUTO_TEST_CASE(ConsumersDrainAClosedQueueThenEnd) {
  Ring<int> Entries(8);
  for (int Value : {1, 2, 3})
    Entries.push(Value);
  Entries.close();
  BOOST_TEST(!Entries.tryPush(4));
  std::atomic<int> Sum{0};
  std::vector<std::thread> Consumers;
  Consumers.reserve(3);
  for (int Consumer = 0; Consumer < 3; ++Consumer)
    Consumers.emplace_back([&] {
      while (auto Value = Entries.pop())
        Sum += *Value;
    });
  for (auto &Consumer : Consumers)
    Consumer.join();
  BOOST_TEST(Sum == 6);
}
