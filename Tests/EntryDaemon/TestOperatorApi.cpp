#include "Services/EntryDaemon/OperatorApi.h"
#include "Services/EntryDaemon/StandalonePeerNetwork.h"
#include "Tests/LibConfiguration/FakeStore.h"
#include "Utilities/Operator/ChangeSender.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::entry;
using namespace cornellift::operators;
using core::ExitStatus;
using nlohmann::json;

namespace {

core::TimePoint testDeadline() { return core::MonotonicClock::now() + std::chrono::seconds(20); }

const std::string Keys[] = {"ada=ada-secret", "bola=bola-secret"};

struct Fixture {
  Fixture()
      : Updater(Store, [](const auto &) {}), Peers({"ikeja-1", "ikeja", {1}, {}, 0}, &Updater),
        Table(*KeyTable::parse(Keys)),
        Api("ikeja-1", "ikeja", Store, Updater, Table, [this] { ++Drains; }) {
    Updater.setPeers(Peers);
    Api.setPeers(Peers);
    Api.addRoutes(Server);
    BOOST_TEST_REQUIRE(Server.start("127.0.0.1", 0));
    Address = "127.0.0.1:" + std::to_string(Server.port());
    BOOST_TEST_REQUIRE((send(0, Empty).Status == ExitStatus::Success));
  }

  OperatorClient client(const std::string &Key = "ada-secret") const {
    return OperatorClient({{"127.0.0.1:1", Address}, Key, {}});
  }

  SentChange send(std::uint64_t Base, const json &Patch, const std::string &Key = "ada-secret") {
    auto Client = client(Key);
    return ChangeSender(Client, testDeadline())
        .send({Base, "p" + std::to_string(Base), "test", Patch});
  }

  json read(const std::string &Path) const { return client().read(Path, testDeadline())->Body; }

  const json Empty = json::parse(R"({"services": {}, "teams": {}, "endpoints": {}})");
  const json OneTeam = {{"teams", {{"counter", json::object()}}}};
  tests::FakeStore Store;
  ConfigurationUpdater Updater;
  StandalonePeerNetwork Peers;
  KeyTable Table;
  int Drains = 0;
  OperatorApi Api;
  http::HttpServer Server;
  std::string Address;
};

} // namespace

// Guards against requests with a wrong key that can read or change anything.
BOOST_FIXTURE_TEST_CASE(WrongKeyChangesNothing, Fixture) {
  for (const char *Key : {"", "ada", "ada-secres", "ada=ada-secret"}) {
    auto Sent = send(1, OneTeam, Key);
    BOOST_TEST((Sent.Status == ExitStatus::RequestFailed));
    BOOST_TEST(Sent.Answer["outcome"] == "not_applied");
    for (const char *Path : {"/v1/configuration", "/v1/audit", "/v1/status", "/v1/diff"})
      BOOST_TEST(client(Key).read(Path, testDeadline())->Status == 401);
    Delivery Failure{};
    BOOST_TEST(
        client(Key)
            .send(1, "POST", "/v1/drain", R"({"entry_vm":"ikeja-1"})", testDeadline(), Failure)
            ->Status == 401);
  }
  BOOST_TEST(Drains == 0);
  BOOST_TEST(Updater.version() == 1U);
}

// Guards against an applied change that the next read does not show, or that is recorded under the
// wrong operator's name.
BOOST_FIXTURE_TEST_CASE(ChangeIsInForceWithItsRecord, Fixture) {
  BOOST_TEST((send(1, OneTeam, "bola-secret").Status == ExitStatus::Success));
  BOOST_TEST(read("/v1/configuration")["version"] == 2);
  BOOST_TEST(read("/v1/audit?from=2&to=2")["records"][0]["who"] == "bola");
  BOOST_TEST(read("/v1/diff?from=1&to=2")["patch"] == OneTeam);
  BOOST_TEST(read("/v1/status")["members"][0]["version"] == 2);
  BOOST_TEST(client().read("/v1/audit?from=1&to=101", testDeadline())->Status == 400);
  BOOST_TEST(client().read("/v1/diff?from=1&to=9", testDeadline())->Status == 404);
}

// Guards against reporting an applied change as "not applied", and against applying it twice.
BOOST_FIXTURE_TEST_CASE(LostReplyEndsAsApplied, Fixture) {
  Store.LoseReply = [this](std::string_view Key) {
    Store.LoseReply = nullptr;
    return Key.starts_with("audit/");
  };
  BOOST_TEST((send(1, OneTeam).Status == ExitStatus::Success));
  BOOST_TEST((send(1, OneTeam).Status == ExitStatus::Success));
  BOOST_TEST(Updater.version() == 2U);
  auto Other = send(1, Empty);
  BOOST_TEST((Other.Status == ExitStatus::RequestFailed));
  BOOST_TEST(Other.Answer["version_in_force"] == 2);
}

// Guards against a definite outcome when the store does not reply or no entry VM can be reached.
BOOST_FIXTURE_TEST_CASE(UnknownOutcomesAreReportedAsUnknown, Fixture) {
  Store.setDown(true);
  OperatorClient Client({{Address}, "ada-secret", {}});
  auto ShortDeadline = core::MonotonicClock::now() + std::chrono::milliseconds(500);
  auto Sent = ChangeSender(Client, ShortDeadline).send({1, "p", "test", OneTeam});
  BOOST_TEST((Sent.Status == ExitStatus::OutcomeUnknown));
  OperatorClient Nobody({{"127.0.0.1:1"}, "ada-secret", {}});
  ShortDeadline = core::MonotonicClock::now() + std::chrono::milliseconds(500);
  BOOST_TEST((ChangeSender(Nobody, ShortDeadline).send({1, "p", "test", OneTeam}).Status ==
              ExitStatus::Unreachable));
}

// Guards against bodies that are rejected or parsed as form data because of the content type that
// curl sends by default.
BOOST_FIXTURE_TEST_CASE(ContentTypeOfABodyIsIgnored, Fixture) {
  json Teams = json::object();
  for (int Index = 0; Index < 900; ++Index)
    Teams["team-" + std::to_string(Index)] = json::object();
  json Request = {
      {"base_version", 1}, {"patch_id", "p"}, {"why", "w"}, {"patch", {{"teams", Teams}}}};
  httplib::Client Form("http://" + Address);
  Form.set_default_headers({{"X-Cornellift-Key", "ada-secret"}});
  auto Answer =
      Form.Patch("/v1/configuration", Request.dump(), "application/x-www-form-urlencoded");
  BOOST_TEST(Answer->status == 200, Answer->body);
}

// Guards against draining the wrong VM when a load balancer forwards the request.
BOOST_FIXTURE_TEST_CASE(DrainRequiresTheNameOfTheVm, Fixture) {
  Delivery Failure{};
  auto SendDrain = [&](const char *Body) {
    return client().send(1, "POST", "/v1/drain", Body, testDeadline(), Failure)->Status;
  };
  BOOST_TEST(SendDrain(R"({"entry_vm":"ikeja-2"})") == 400);
  BOOST_TEST(SendDrain("") == 400);
  BOOST_TEST(Drains == 0);
  BOOST_TEST(SendDrain(R"({"entry_vm":"ikeja-1"})") == 200);
  BOOST_TEST(Drains == 1);
}
