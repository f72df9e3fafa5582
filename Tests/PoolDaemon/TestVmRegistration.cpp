#include "Libraries/LibReactor/HttpServer.h"
#include "Services/PoolDaemon/VmRegistration.h"
#include "platform/StoreMessages.h"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

namespace {

/// Fake store that records its calls and holds the reply to the opening of a lease.
class HoldingStore {
public:
  explicit HoldingStore(store::asio::io_context &Reactor)
      : Server_(reactor::HttpServer::listen(
            Reactor, {store::asio::ip::address_v4::loopback(), 0},
            [this](const std::shared_ptr<reactor::HttpExchange> &Exchange) {
              Calls_.emplace_back(Exchange->target());
              if (Exchange->target() == "/v1/kv-lease")
                Held_ = Exchange;
              else
                Exchange->reply({200, R"({"at":5,"items":[],"hasMore":false,"revision":6})", {}});
            })) {}

  std::shared_ptr<store::StoreClient> connect(store::asio::io_context &Reactor) {
    return std::make_shared<store::StoreClient>(Reactor, Server_->address(), Format_);
  }
  bool holdsLease() const { return Held_ != nullptr; }
  void grantLease() { Held_->reply({200, R"({"lease":9,"ttlMs":10000})", {}}); }
  bool wasCalled(std::string_view Path) const {
    return std::any_of(Calls_.begin(), Calls_.end(), [&](const std::string &Target) {
      return Target.find(Path) != std::string::npos;
    });
  }

private:
  platform::StoreMessages Format_;
  std::vector<std::string> Calls_;
  std::shared_ptr<reactor::HttpExchange> Held_;
  std::shared_ptr<reactor::HttpServer> Server_;
};

} // namespace

// Guards against a VM that is listed again after it has left: a lease that was being opened when
// the process stopped was used to write its key.
BOOST_AUTO_TEST_CASE(AStoppedVmDoesNotRegister) {
  store::asio::io_context Reactor;
  HoldingStore Store(Reactor);
  auto Registration = std::make_shared<pool::VmRegistration>(
      Reactor, Store.connect(Reactor), mesh::PeerRecord{"vm-1", "127.0.0.1:9", "ikeja", 1},
      [](const mesh::PeerRecord &) {});
  Registration->start();
  for (int Round = 0; Round < 100 && !Store.holdsLease(); ++Round)
    Reactor.run_one_for(10ms);
  BOOST_REQUIRE(Store.holdsLease());
  Registration->stop();
  Store.grantLease();
  Reactor.run_for(200ms);
  BOOST_TEST(!Store.wasCalled("kv-txn"));
  BOOST_TEST(Store.wasCalled("kv-lease-end/9"));
}
