#include "Libraries/LibCore/Ring.h"

#include <atomic>
#include <chrono>
#include <future>
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

// Guards against a consumer that waits forever: the ring was full when it was closed, so that no
// end could be put into it, and the last entry went to another consumer.
BOOST_AUTO_TEST_CASE(NoConsumerOfAFullRingOutwaitsItsClosing) {
  constexpr int Rounds = 60000; // The moment is short: a consumer is about to wait.
  constexpr std::size_t ConsumerCount = 2;
  int Stuck = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    Ring<int> Full(1);
    std::atomic<std::size_t> Begun{0};
    std::vector<std::future<void>> Consumers;
    Consumers.reserve(ConsumerCount);
    while (Consumers.size() < ConsumerCount)
      Consumers.push_back(std::async(std::launch::async, [&] {
        ++Begun;
        while (Full.pop()) {
        }
      }));
    while (Begun < ConsumerCount)
      std::this_thread::yield();
    Full.tryPush(1);
    Full.close();
    for (const auto &Consumer : Consumers)
      if (Consumer.wait_for(std::chrono::milliseconds(500)) != std::future_status::ready) {
        ++Stuck;
        Full.push(0); // Lets it end.
      }
  }
  BOOST_TEST(Stuck == 0);
}
