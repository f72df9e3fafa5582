#include "Libraries/LibCore/Reason.h"
#include "Services/EntryDaemon/JobParser.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;

namespace {

std::string withTasks(const std::string &Tasks) {
  return R"({"id":"v.0000000000000001.1","service":"s","kind":"k","tasks":)" + Tasks + "}";
}

} // namespace

BOOST_AUTO_TEST_CASE(CompleteJobIsParsed) {
  auto Job = entry::parseJob(
      withTasks(R"([{"payload":"a","run_ms":1.5},{"payload":{"x":1},"memory_mb":64}])"), 2);
  BOOST_REQUIRE(Job);
  BOOST_TEST(Job->Tasks.size() == 2);
  BOOST_TEST(Job->Payload->Tasks[0] == "a");
  BOOST_TEST(Job->Payload->Tasks[1] == R"({"x":1})");
  BOOST_TEST(Job->Tasks[0].DeclaredRunTime.count() == 1500);
  BOOST_TEST(Job->Tasks[1].Declared.MemoryMegabytes == 64);
}

// Guards against accepting an ambiguous or malformed job.
BOOST_AUTO_TEST_CASE(MalformedJobsAreRejected) {
  for (const std::string &Bad :
       {std::string(), std::string("[]"), std::string("{"), withTasks("[]"), withTasks("[1]"),
        withTasks(R"([{"payload":"a","color":1}])"), withTasks(R"([{"run_ms":-1}])"),
        withTasks(R"([{"run_ms":1e300}])"), withTasks(R"([{"processors":"4"}])"),
        withTasks("[{}],\"extra\":1"), withTasks("[{}],\"deadline_ms\":1.5"),
        withTasks("[{}],\"deadline_ms\":9223372036854775807"), withTasks("[{}],\"tasks\":[{}]"),
        withTasks("[{\"payload\":\"\xff\"}]"),
        withTasks("[{\"payload\":" + std::string(40, '[') + std::string(40, ']') + "}]")}) {
    BOOST_TEST_CONTEXT(Bad) {
      BOOST_TEST(!entry::parseJob(Bad, 10));
      BOOST_TEST((core::lastReason().Kind == core::ErrorKind::Malformed));
    }
  }
}

// Guards against unbounded memory use by one submission.
BOOST_AUTO_TEST_CASE(LargeJobsAreRefused) {
  for (const std::string &Bad :
       {withTasks("[{},{},{}]"), withTasks("[{\"payload\":\"" + std::string(65537, 'x') + "\"}]"),
        std::string(entry::MaximumBodyBytes + 1, ' ')}) {
    BOOST_TEST(!entry::parseJob(Bad, 2));
    BOOST_TEST((core::lastReason().Kind == core::ErrorKind::TooLarge));
  }
}

// Guards against a message that names a field that does not exist ("tasks[1].").
BOOST_AUTO_TEST_CASE(AMalformedTaskIsNamed) {
  BOOST_TEST(!entry::parseJob(withTasks("[{\"payload\":\"a\"},1]"), 10));
  BOOST_TEST(core::lastReason().Message.starts_with("tasks[1]: "), core::lastReason().Message);
}
