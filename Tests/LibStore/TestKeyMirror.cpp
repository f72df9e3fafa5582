#include "Libraries/LibReactor/HttpServer.h"
#include "Libraries/LibStore/KeyMirror.h"
#include "platform/StoreMessages.h"

#include <chrono>
#include <memory>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

// Guards against a crash that the soak found with seed 105: a paused process found the pause of a
// mirror over and, before that was handled, asked for a faster pace; the second wait then had
// nothing to do and called a null pointer.
BOOST_AUTO_TEST_CASE(AFasterPaceAfterThePauseIsOverIsHarmless) {
  store::asio::io_context Reactor;
  auto Server = reactor::HttpServer::listen(
      Reactor, {store::asio::ip::address_v4::loopback(), 0},
      [](const std::shared_ptr<reactor::HttpExchange> &Exchange) {
        Exchange->reply({200, R"({"at":5,"items":[],"events":[],"hasMore":false})", {}});
      });
  platform::StoreMessages Format;
  auto Client = std::make_shared<store::StoreClient>(Reactor, Server->address(), Format);
  auto Mirror = std::make_shared<store::KeyMirror>(Reactor, Client, "servers/",
                                                   store::MirrorPace{100ms, 200ms},
                                                   [](const store::KeyMirror::Items &) {});
  Mirror->start();
  while (!Mirror->isLoaded())
    Reactor.run_one_for(10ms);
  reactor::asio::steady_timer Earlier(Reactor, 50ms);
  Earlier.async_wait([&](boost::system::error_code) { Mirror->setPace({100ms, 10ms}); });
  std::this_thread::sleep_for(300ms); // Both waits end before either is handled.
  Reactor.run_for(100ms);
  BOOST_TEST(Mirror->isLoaded());
  BOOST_TEST(Client->counters().Watches >= 1U);
  Mirror->stop();
}
