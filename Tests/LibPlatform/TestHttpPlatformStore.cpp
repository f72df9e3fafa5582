#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibPlatform/PlatformStore.h"
#include "Services/PlatformStandIn/StandInServer.h"

#include <future>
#include <thread>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornellift;
using namespace cornellift::platform;
using core::ErrorKind;

namespace {

core::TimePoint within(int Milliseconds) {
  return core::MonotonicClock::now() + std::chrono::milliseconds(Milliseconds);
}

struct Fixture {
  Fixture()
      : Server(16), Port(Server.bind(0)), Serving([this] { Server.serve(); }),
        Control("127.0.0.1", Port), Store(*PlatformStoreRegistry::instance().create(
                                        "http", "127.0.0.1:" + std::to_string(Port))) {}
  ~Fixture() {
    Server.stop();
    Serving.join();
  }

  void setFaults(const nlohmann::json &Faults) {
    BOOST_TEST_REQUIRE(Control.Put("/control/faults", Faults.dump(), "application/json")->status ==
                       200);
  }

  std::string listTag() { return Control.Get("/v1/vms")->get_header_value("ETag"); }

  standin::StandInServer Server;
  int Port;
  std::thread Serving;
  httplib::Client Control;
  std::unique_ptr<PlatformStore> Store;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(WritesAreConditional, Fixture) {
  BOOST_TEST(!Store->get("configuration/head", within(2000)));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::NotFound));
  BOOST_TEST((Store->compareAndSwap("configuration/head", "one", 0, within(2000)) ==
              SwapOutcome::Applied));
  BOOST_TEST((Store->compareAndSwap("configuration/head", "two", 0, within(2000)) ==
              SwapOutcome::Conflict));
  auto Found = Store->get("configuration/head", within(2000));
  BOOST_TEST_REQUIRE(Found.has_value());
  BOOST_TEST(Found->Value == "one");
  std::string Large(MaximumValueBytes, 'x');
  BOOST_TEST((Store->compareAndSwap("configuration/head", Large, Found->Revision, within(5000)) ==
              SwapOutcome::Applied));
  BOOST_TEST((Store->get("configuration/head", within(5000))->Value == Large));
  BOOST_TEST(Store->remove("configuration/head", within(2000)));
  BOOST_TEST(!Store->remove("configuration/head", within(2000)));
}

// Guards against reporting "not written" after a lost reply.
BOOST_FIXTURE_TEST_CASE(LostReplyIsUnknown, Fixture) {
  setFaults({{"swallow_writes", 1}});
  BOOST_TEST((Store->compareAndSwap("key", "one", 0, within(2000)) == SwapOutcome::Unknown));
  BOOST_TEST(Store->get("key", within(2000))->Value == "one");
  setFaults({{"down", true}});
  BOOST_TEST((Store->compareAndSwap("key", "two", 1, within(2000)) == SwapOutcome::Unknown));
  BOOST_TEST(!Store->get("key", within(2000)));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::Unavailable));
  setFaults({{"down", false}, {"slow_ms", 400}});
  BOOST_TEST((Store->compareAndSwap("key", "two", 1, within(100)) == SwapOutcome::Unknown));
}

// Guards against reporting "may have been written" when no connection was established.
BOOST_AUTO_TEST_CASE(RefusedConnectionWritesNothing) {
  // Nothing listens on the lowest port of the loopback address.
  auto Store = *PlatformStoreRegistry::instance().create("http", "127.0.0.1:1");
  BOOST_TEST((Store->compareAndSwap("key", "one", 0, within(2000)) == SwapOutcome::Refused));
  BOOST_TEST((Store->compareAndSwap("key", "one", 0, within(-1)) == SwapOutcome::Refused));
}

BOOST_FIXTURE_TEST_CASE(WatchReturnsTheChange, Fixture) {
  BOOST_TEST(!Store->watch("key", 0, within(2050)));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::Timeout));
  auto Waiting =
      std::async(std::launch::async, [this] { return Store->watch("key", 0, within(10'000)); });
  BOOST_TEST((Store->compareAndSwap("key", "one", 0, within(2000)) == SwapOutcome::Applied));
  auto Seen = Waiting.get();
  BOOST_TEST_REQUIRE(Seen.has_value());
  BOOST_TEST(Seen->Value == "one");
  BOOST_TEST(!Store->watch("key", Seen->Revision, within(2050)));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::Timeout));
  setFaults({{"slow_ms", 3000}});
  BOOST_TEST(!Store->watch("key", Seen->Revision, within(100)));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::Unavailable));
}

// Guards against a watch that reports "no change" although its key was removed.
BOOST_FIXTURE_TEST_CASE(WatchReportsTheRemoval, Fixture) {
  BOOST_TEST((Store->compareAndSwap("key", "one", 0, within(2000)) == SwapOutcome::Applied));
  auto Revision = Store->get("key", within(2000))->Revision;
  auto OutcomeOfWatch = [&] {
    auto Seen = Store->watch("key", Revision, within(10'000));
    return std::pair(Seen.has_value(), core::lastReason().Kind);
  };
  auto Waiting = std::async(std::launch::async, OutcomeOfWatch);
  while (nlohmann::json::parse(Control.Get("/control/counters")->body)["watches"] == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  BOOST_TEST(Store->remove("key", within(2000)));
  BOOST_TEST((Waiting.get() == std::pair(false, ErrorKind::NotFound)));
  // One that comes after the removal has missed it as well.
  BOOST_TEST((OutcomeOfWatch() == std::pair(false, ErrorKind::NotFound)));
  // One that has not seen the key waits for it.
  BOOST_TEST(!Store->watch("key", 0, within(2050)));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::Timeout));
}

BOOST_FIXTURE_TEST_CASE(VmListIsVisibleAfterTheLag, Fixture) {
  auto List = R"({"vms":[{"name":"a","address":"127.0.0.1:1","data_centre":"ikeja"},
                         {"name":"b","address":"127.0.0.1:2","data_centre":"yaba","state":"leaving"}]})";
  setFaults({{"vm_lag_ms", 3'600'000}});
  BOOST_TEST(Control.Put("/control/vms", List, "application/json")->status == 200);
  BOOST_TEST(Store->listVms(within(2000))->empty());
  setFaults({{"vm_lag_ms", 0}});
  auto Vms = Store->listVms(within(2000));
  BOOST_TEST_REQUIRE(Vms->size() == 2U);
  BOOST_TEST((Vms->at(1).State == VmState::Leaving));
  // Guards against a cached list that is lost after a 304 reply, or used after it has changed.
  auto Raw = [&] { return Control.Get("/v1/vms", {{"If-None-Match", listTag()}})->status; };
  BOOST_TEST(Raw() == 304);
  BOOST_TEST(Store->listVms(within(2000))->size() == 2U);
  BOOST_TEST(Control.Put("/control/vms", R"({"vms":[]})", "application/json")->status == 200);
  BOOST_TEST(Store->listVms(within(2000))->empty());
}

// Guards against entries that outlive the lease of a paused process.
BOOST_AUTO_TEST_CASE(EntriesAreRemovedWithTheirLease) {
  standin::KeyValueTable Table;
  auto Expired = Table.grantLease(core::Duration(0));
  BOOST_TEST(!Table.renewLease(Expired));
  BOOST_TEST(!Table.compareAndSwap("key", "one", 0, Expired));
  auto Held = Table.grantLease(std::chrono::seconds(1));
  BOOST_TEST_REQUIRE(Table.compareAndSwap("key", "one", 0, Held).has_value());
  auto Deadline = within(30'000);
  while (Table.get("key") && core::MonotonicClock::now() < Deadline)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  BOOST_TEST(!Table.get("key"));
}

// Guards against a watch that reports "no change" although the lease of its entry has lapsed, which
// no other request tells the table.
BOOST_AUTO_TEST_CASE(WatchReportsTheEndOfTheLease) {
  standin::KeyValueTable Table;
  auto Held = Table.grantLease(std::chrono::hours(1));
  auto Kept = Table.compareAndSwap("kept", "one", 0, Held);
  auto Short = Table.grantLease(std::chrono::milliseconds(300));
  auto Written = Table.compareAndSwap("key", "one", 0, Short);
  BOOST_TEST_REQUIRE((Kept && Written && Written->Applied));
  BOOST_TEST(!Table.watch("kept", Kept->Revision, within(50)));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::Timeout));
  BOOST_TEST(!Table.watch("key", Written->Revision, within(10'000)));
  BOOST_TEST((core::lastReason().Kind == ErrorKind::NotFound));
}
