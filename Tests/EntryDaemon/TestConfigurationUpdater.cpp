#include "Libraries/LibConfiguration/VersionStore.h"
#include "Services/EntryDaemon/ConfigurationUpdater.h"
#include "Services/EntryDaemon/StatusReport.h"
#include "Tests/LibConfiguration/FakeStore.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::configuration;
using namespace cornellift::entry;
using nlohmann::json;

namespace {

core::TimePoint testDeadline() { return core::MonotonicClock::now() + std::chrono::seconds(20); }

/// Simulates peers that all have the same configuration head.
class FakePeers : public PeerNetwork {
public:
  std::atomic<bool> Relay{false};

  void set(std::string Text, std::uint64_t Version) {
    std::lock_guard Guard(Mutex_);
    Text_ = std::move(Text);
    Version_ = Version;
  }

  void setDelta(HeadDelta Delta) {
    std::lock_guard Guard(Mutex_);
    Delta_ = std::move(Delta);
  }

  bool isRelay() const override { return Relay; }
  std::optional<Fetched> fetchConfiguration(std::uint64_t HaveVersion, Form Wanted) override {
    std::lock_guard Guard(Mutex_);
    if (Delta_ && Wanted == Form::WholeOrChanges)
      return *Delta_;
    ++WholeFetches;
    if (Version_ > HaveVersion)
      return Text_;
    return core::fail(core::ErrorKind::NotFound, "nothing newer");
  }
  void announceVersion(std::uint64_t Version, Reach) override { Announced = Version; }
  std::vector<MemberStatus> members() const override { return {}; }
  std::optional<ForwardedResponse> forward(std::string_view, kernel::Incarnation,
                                           const ForwardedRequest &, ForwardFailure &) override {
    return std::nullopt;
  }

  std::atomic<std::uint64_t> Announced{0};
  std::atomic<int> WholeFetches{0};

private:
  std::mutex Mutex_;
  std::string Text_;
  std::uint64_t Version_ = 0;
  std::optional<HeadDelta> Delta_;
};

struct Fixture {
  Fixture()
      : Updater(Store, [this](const std::shared_ptr<const kernel::KernelConfiguration> &Next) {
          std::lock_guard Guard(Mutex);
          Seen.push_back(Next->Version);
          Changed.notify_all();
        }) {
    Updater.setPeers(Peers);
    patch(0, json::parse(R"({"services": {}, "teams": {}, "endpoints": {}})"));
  }
  ~Fixture() {
    // Makes a pending watch return.
    Store.setDown(true);
    Updater.stop();
  }

  /// Creates the next version in the store and returns its head.
  std::string patch(std::uint64_t Base, const json &Patch) {
    auto Outcome =
        Versions.apply({Base, "p" + std::to_string(Base), "ada", "test", Patch}, testDeadline());
    BOOST_TEST_REQUIRE(std::holds_alternative<Applied>(Outcome));
    return Versions.readHead(testDeadline())->Content.text();
  }

  bool awaitVersion(std::uint64_t Version) {
    std::unique_lock Guard(Mutex);
    std::chrono::steady_clock::time_point Until(testDeadline().time_since_epoch());
    return Changed.wait_until(Guard, Until,
                              [&] { return !Seen.empty() && Seen.back() == Version; });
  }

  tests::FakeStore Store;
  VersionStore Versions{Store};
  FakePeers Peers;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::uint64_t> Seen;
  ConfigurationUpdater Updater;
};

const json OneTeam = {{"teams", {{"counter", json::object()}}}};

} // namespace

// Guards against replacing the configuration in force by an older version.
BOOST_FIXTURE_TEST_CASE(LowerVersionsAreRefused, Fixture) {
  auto First = Store.get(HeadKey, testDeadline())->Value;
  auto Second = patch(1, OneTeam);
  BOOST_TEST(Updater.updateIfNewer(Second));
  BOOST_TEST(!Updater.updateIfNewer(First));
  BOOST_TEST(!Updater.updateIfNewer(Second));
  BOOST_TEST(!Updater.updateIfNewer("{}"));
  BOOST_TEST(Updater.version() == 2U);
  BOOST_TEST(Updater.headText() == Second);
  BOOST_TEST((Seen == std::vector<std::uint64_t>{2}));
}

// Guards against a new process that starts with a lower version than the store or a peer has.
BOOST_FIXTURE_TEST_CASE(StartUsesTheHighestVersionOfStoreAndPeers, Fixture) {
  auto First = Store.get(HeadKey, testDeadline())->Value;
  json Newer = json::parse(First);
  Newer["version"] = Newer["change"]["version"] = 7;
  Peers.set(Newer.dump(), 7);
  BOOST_TEST(!Updater.isReady());
  BOOST_TEST(Updater.start());
  BOOST_TEST(awaitVersion(7));
  BOOST_TEST((Seen == std::vector<std::uint64_t>{7}));
}

// Guards against a process that cannot start, or misses changes, while the store is down.
BOOST_FIXTURE_TEST_CASE(PeersProvideTheConfigurationWhileTheStoreIsDown, Fixture) {
  auto First = Store.get(HeadKey, testDeadline())->Value;
  auto Second = patch(1, OneTeam);
  Store.setDown(true);
  Peers.Relay = true;
  BOOST_TEST(Updater.start());
  Peers.set(First, 1);
  BOOST_TEST(awaitVersion(1));
  Peers.set(Second, 2);
  Updater.notifyNewer(2);
  BOOST_TEST(awaitVersion(2));
  BOOST_TEST(!Updater.isStoreReachable());
}

BOOST_FIXTURE_TEST_CASE(RelayWatchesTheStoreAndAnnouncesVersions, Fixture) {
  Peers.Relay = true;
  BOOST_TEST(Updater.start());
  BOOST_TEST(awaitVersion(1));
  patch(1, OneTeam);
  BOOST_TEST(awaitVersion(2));
  Store.setDown(true);
  Store.setDown(false);
  patch(2, {{"teams", {{"counter", nullptr}}}});
  BOOST_TEST(awaitVersion(3));
  auto GiveUp = testDeadline();
  while (Peers.Announced != 3U && core::MonotonicClock::now() < GiveUp)
    std::this_thread::yield();
  BOOST_TEST(Peers.Announced == 3U);
}

// Guards against a store that counts as unreachable, or is asked again and again, because its head
// was removed, and against a relay that doesn't see the head that is made after that.
BOOST_FIXTURE_TEST_CASE(RelayOutlastsTheRemovalOfTheHead, Fixture) {
  Peers.Relay = true;
  BOOST_TEST(Updater.start());
  BOOST_TEST(awaitVersion(1));
  auto Second = patch(1, OneTeam);
  BOOST_TEST(awaitVersion(2));
  // The updater's only call from here on is the watch after version 2, begun or about to begin.
  auto Before = Store.Calls.load();
  BOOST_TEST(Store.remove(HeadKey, testDeadline()));
  auto GiveUp = testDeadline();
  while (Store.Calls < Before + 2 && core::MonotonicClock::now() < GiveUp)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  BOOST_TEST(Store.Calls >= Before + 2);
  BOOST_TEST(Updater.isStoreReachable());
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  BOOST_TEST(Store.Calls <= Before + 3);
  json Newer = json::parse(Second);
  Newer["version"] = Newer["change"]["version"] = 3;
  BOOST_TEST((Store.compareAndSwap(HeadKey, Newer.dump(), 0, testDeadline()) ==
              platform::SwapOutcome::Applied));
  BOOST_TEST(awaitVersion(3));
}

// Guards against processes other than the relay that read the store for each change or watch it.
BOOST_FIXTURE_TEST_CASE(OtherProcessesFetchFromPeersOnly, Fixture) {
  BOOST_TEST(Updater.start());
  BOOST_TEST(awaitVersion(1));
  auto Second = patch(1, OneTeam);
  Store.Calls = 0;
  Peers.set(Second, 2);
  Updater.notifyNewer(2);
  BOOST_TEST(awaitVersion(2));
  BOOST_TEST(Store.Calls == 0);
}

// Guards against a document that differs from the store's after changes from a peer were applied.
// Changes are used only when the result has the expected digest; otherwise the whole head is
// fetched.
BOOST_FIXTURE_TEST_CASE(ChangesAreUsedOnlyWhenTheyLeadToTheHead, Fixture) {
  BOOST_TEST(Updater.start());
  BOOST_TEST(awaitVersion(1));
  auto Fetches = Peers.WholeFetches.load();
  patch(1, OneTeam);
  auto Third = patch(2, {{"teams", {{"counter", {{"quota_share", 3}}}}}});
  auto Record = [this](std::uint64_t Version) {
    return toJson(*Versions.readChange(Version, testDeadline())).dump();
  };
  Peers.setDelta({1, 3, {Record(2), Record(3)}, digestOf(Third)});
  Updater.notifyNewer(3);
  BOOST_TEST(awaitVersion(3));
  BOOST_TEST(Updater.headText() == Third);
  BOOST_TEST(Peers.WholeFetches == Fetches);
  auto Fourth = patch(3, {{"teams", {{"counter", nullptr}}}});
  Peers.set(Fourth, 4);
  Peers.setDelta({3, 4, {Record(4)}, digestOf(Third)});
  Updater.notifyNewer(4);
  BOOST_TEST(awaitVersion(4));
  BOOST_TEST(Updater.headText() == Fourth);
  BOOST_TEST(Peers.WholeFetches > Fetches);
  auto Known = Updater.changesSince(3);
  BOOST_TEST_REQUIRE(Known.has_value());
  BOOST_TEST((applyDelta(Third, *Known) == Fourth));
  // A wrong base version, and a missing change.
  BOOST_TEST(!applyDelta(Fourth, *Known));
  BOOST_TEST(!applyDelta(Third, {3, 5, {Record(4)}, Known->Digest}));
  BOOST_TEST(!Updater.changesSince(4));
  BOOST_TEST(!Updater.changesSince(9));
}

// Guards against all processes retrying the store at the same time.
BOOST_AUTO_TEST_CASE(BackoffIsBoundedAndRandom) {
  Backoff One(std::chrono::milliseconds(100), std::chrono::seconds(2), 1);
  Backoff Other(std::chrono::milliseconds(100), std::chrono::seconds(2), 2);
  int Equal = 0;
  for (int Attempt = 0; Attempt < 50; ++Attempt) {
    auto Wait = One.next();
    BOOST_TEST((Wait > core::Duration::zero() && Wait <= std::chrono::seconds(2)));
    Equal += Wait == Other.next() ? 1 : 0;
  }
  BOOST_TEST(Equal < 5);
}

// Guards against a status that omits a network partition or reports one that does not exist.
BOOST_AUTO_TEST_CASE(StatusNamesDataCentresThatAreCutOff) {
  std::vector<MemberStatus> Members = {{"ikeja-1", "ikeja", {1}, MemberState::Alive, 4},
                                       {"yaba-1", "yaba", {2}, MemberState::Unreachable, 3},
                                       {"yaba-2", "yaba", {3}, MemberState::Alive, 4},
                                       {"lekki-1", "lekki", {4}, MemberState::Unreachable, 3}};
  auto Status = statusReport("ikeja", Members);
  BOOST_TEST((Status["cut_off_data_centres"] == json{"lekki"}));
  BOOST_TEST(Status["members"].size() == 4U);
  BOOST_TEST(Status["members"][1]["version"] == 3);
}
