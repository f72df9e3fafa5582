#include "platform/StoreMessages.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using platform::StoreFailure;

namespace {

const platform::StoreMessages Messages;
constexpr std::size_t MaximumValueBytes = 100;

reactor::HttpResult reply(unsigned Status, std::string Body) {
  reactor::HttpResult Result;
  Result.Reply = reactor::HttpReply{Status, std::move(Body), {}};
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(PageValuesAreDecoded) {
  auto Page = Messages.parsePage(
      reply(200, R"({"at":12,"hasMore":true,"items":[{"key":"a/1","value":"aGk=","revision":9},
      {"key":"a/2","value":"not base64!","revision":10},{"value":"aGk="}]})"),
      MaximumValueBytes);
  BOOST_REQUIRE(Page.Content);
  BOOST_TEST(Page.Content->Revision == 12U);
  BOOST_TEST(Page.Content->HasMore);
  BOOST_REQUIRE(Page.Content->Items.size() == 2U);
  BOOST_TEST(Page.Content->Items[0].Value == "hi");
  BOOST_TEST(Page.Content->Items[1].Value.empty());
}

// Guards against long values of another writer that use up a reader's memory.
BOOST_AUTO_TEST_CASE(ValuesThatAreTooLongAreLeftOut) {
  std::string Fitting(132, 'A'); // 99 bytes in base64.
  std::string TooLong(136, 'A'); // 102 bytes in base64.
  auto Page = Messages.parsePage(
      reply(200, R"({"at":12,"items":[{"key":"a/1","revision":9,"value":")" + Fitting +
                     R"("},{"key":"a/2","revision":10,"value":")" + TooLong + R"("}]})"),
      MaximumValueBytes);
  BOOST_REQUIRE(Page.Content);
  BOOST_REQUIRE(Page.Content->Items.size() == 2U);
  BOOST_TEST(Page.Content->Items[0].Value.size() == 99U);
  BOOST_TEST(!Page.Content->Items[0].IsTooLong);
  BOOST_TEST(Page.Content->Items[1].Value.empty());
  BOOST_TEST(Page.Content->Items[1].IsTooLong);
  BOOST_TEST(Page.Content->Items[1].Revision == 10U);
}

BOOST_AUTO_TEST_CASE(EventsDistinguishRemovedKeys) {
  auto Events = Messages.parseEvents(
      reply(200, R"({"at":15,"events":[{"key":"a/1","revision":14,"deleted":true},
      {"key":"a/2","value":"aGk=","revision":15}]})"),
      MaximumValueBytes);
  BOOST_REQUIRE(Events.Content);
  BOOST_TEST(Events.Content->Revision == 15U);
  BOOST_REQUIRE(Events.Content->Events.size() == 2U);
  BOOST_TEST(Events.Content->Events[0].IsRemoved);
  BOOST_TEST(!Events.Content->Events[1].IsRemoved);
}

// Guards against a mirror that continues from a history that the store has dropped, and against a
// refused request that counts as an empty reply.
BOOST_AUTO_TEST_CASE(StatusCodesMapToFailures) {
  auto Failure = [](unsigned Status) {
    return Messages.parsePage(reply(Status, "{}"), MaximumValueBytes).Failure;
  };
  BOOST_TEST((Failure(410) == StoreFailure::Expired));
  BOOST_TEST((Failure(412) == StoreFailure::Conflict));
  BOOST_TEST((Failure(429) == StoreFailure::Refused));
  BOOST_TEST((Failure(503) == StoreFailure::Refused));
  BOOST_TEST((Failure(500) == StoreFailure::Unreachable));
  BOOST_TEST((Failure(200) == StoreFailure::Malformed));
  BOOST_TEST((Messages.parsePage({}, MaximumValueBytes).Failure == StoreFailure::Unreachable));
}

BOOST_AUTO_TEST_CASE(ConfigurationIsParsed) {
  auto Read = Messages.parseConfiguration(
      R"({"version":5,"routes":[{"name":"r","host":"h.example","prefix":"/a/","service":"s",
      "timeoutMs":2000,"targetLatencyMs":30,"stretch":1.5,"maxAttempts":3,"priority":1}],
      "services":[{"name":"s","maxConns":4}],"limits":{"maxBodyBytes":1000}})");
  BOOST_REQUIRE(Read);
  BOOST_TEST(Read->Version == 5U);
  const auto *Route = Read->find("h.example", "/a/b");
  BOOST_REQUIRE(Route);
  BOOST_TEST(Route->Policy.Stretch == 1.5);
  BOOST_TEST(Route->Policy.MaximumAttempts == 3U);
  BOOST_TEST((Route->Timeout == std::chrono::seconds(2)));
  BOOST_TEST(!Read->find("h.example", "/b"));
  BOOST_TEST(!Read->find("other.example", "/a/b"));
  BOOST_TEST(Read->Limits.BodyBytes == 1000U);
}

// Guards against a configuration that takes effect only in part.
BOOST_AUTO_TEST_CASE(InvalidConfigurationIsRejectedAsAWhole) {
  for (const char *Document :
       {"", "[]", "{}", R"({"version":-1,"routes":[]})", R"({"version":1,"routes":{}})",
        R"({"version":1,"routes":[{"name":"r"}]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","service":"s"},3]})"})
    BOOST_TEST_CONTEXT(Document) { BOOST_TEST(!Messages.parseConfiguration(Document)); }
}

// Guards against undefined behaviour in the conversion of numbers out of range.
BOOST_AUTO_TEST_CASE(OutOfRangeNumbersAreAccepted) {
  auto Read = Messages.parseConfiguration(
      R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","service":"s",
      "timeoutMs":1e300,"targetLatencyMs":-1e300,"priority":1e200}]})");
  BOOST_REQUIRE(Read);
  BOOST_TEST((Read->Routes[0].Timeout > std::chrono::hours(24)));
}

// Guards against a page of the store that is lost as a whole because one key of another writer has
// odd bytes.
BOOST_AUTO_TEST_CASE(AnOddKeyHidesNoOtherItem) {
  auto Page = Messages.parsePage(
      reply(200, "{\"at\":12,\"items\":[{\"key\":\"a/\xff\",\"value\":\"aGk=\",\"revision\":9},"
                 "{\"key\":\"a/2\",\"value\":\"aGk=\",\"revision\":10}]}"),
      MaximumValueBytes);
  BOOST_REQUIRE(Page.Content);
  BOOST_TEST(Page.Content->Items.back().Key == "a/2");
}

// Guards against a configuration whose routes' names cannot be passed on to other entry processes,
// and against one that is refused for a text that nobody uses.
BOOST_AUTO_TEST_CASE(RoutesNeedUtf8Names) {
  auto Configuration = [](const std::string &Name, const std::string &Note) {
    return R"({"version":4,"note":")" + Note + R"(","routes":[{"name":")" + Name +
           R"(","host":"h","prefix":"/p/","service":"s"}]})";
  };
  BOOST_TEST(Messages.parseConfiguration(Configuration("r", "\xff")).has_value());
  BOOST_TEST(!Messages.parseConfiguration(Configuration("\xff", "")));
  BOOST_TEST(!Messages.parseConfiguration(Configuration("\\udc00", "")));
}
