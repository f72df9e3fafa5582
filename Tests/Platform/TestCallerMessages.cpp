#include "Kernel/Pool/SubmittedJob.h"
#include "Libraries/LibCore/Reason.h"
#include "platform/CallerMessages.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;

namespace {

std::optional<kernel::SubmittedJob> parse(std::string_view Body) {
  return platform::CallerMessages().parseJob(Body);
}

bool isAccepted(std::string_view Body) {
  auto Job = parse(Body);
  return Job && kernel::checkJob(*Job);
}

} // namespace

BOOST_AUTO_TEST_CASE(JobFieldsAreDecoded) {
  auto Job = parse(R"({"spec":"s","bestEffort":true,"phases":[
      {"count":3,"cpu":1500,"memMb":20,"gpus":1,"estRuntimeMs":120},
      {"count":2,"cpu":100,"memMb":5,"after":[0],"constraints":"type-a","affinity":"rack-4",
       "antiAffinity":2}],"somethingNew":{"x":1}})");
  BOOST_REQUIRE(Job);
  BOOST_TEST(Job->Specification == "s");
  BOOST_TEST(Job->IsAwaited);
  BOOST_TEST(Job->Unsupported.empty());
  BOOST_REQUIRE(Job->Steps.size() == 2U);
  BOOST_TEST(Job->Steps[0].Count == 3U);
  BOOST_TEST(Job->Steps[0].Need.Processors == 1.5);
  BOOST_TEST(Job->Steps[0].Need.MemoryMegabytes == 20);
  BOOST_TEST(Job->Steps[0].Need.Accelerators == 1);
  BOOST_TEST(Job->Steps[0].DeclaredMilliseconds == 120);
  BOOST_REQUIRE(Job->Steps[1].After.size() == 1U);
  BOOST_TEST(Job->Steps[1].RequiredLabel == "type-a");
  BOOST_TEST(Job->Steps[1].DataRack == "rack-4");
  BOOST_TEST(Job->Steps[1].MaximumPerWorker == 2U);
  BOOST_TEST(kernel::checkJob(*Job));
}

// Guards against accepting a job that needs a feature that is not supported.
BOOST_AUTO_TEST_CASE(UnsupportedFeaturesAreReported) {
  for (const char *Field :
       {"\"gang\":true", "\"longRunning\":true", "\"fills\":true", "\"repeatCount\":3"}) {
    BOOST_TEST_CONTEXT(Field) {
      auto Job = parse(std::string(R"({"bestEffort":true,"phases":[{"count":1,)") + Field + "}]}");
      BOOST_REQUIRE(Job);
      BOOST_TEST(!Job->Unsupported.empty());
    }
  }
  BOOST_TEST(!parse(R"({"phases":[{"count":1}]})")->IsAwaited);
}

// Guards against accepting a job that would exhaust the memory of the process or wait forever.
BOOST_AUTO_TEST_CASE(InvalidJobsAreRejectedWithAMessage) {
  for (const char *Body :
       {"", "[]", "{", R"({"phases":3})", R"({"phases":[]})", R"({"phases":[1]})",
        R"({"phases":[{"count":0}]})", R"({"phases":[{"count":-1}]})",
        R"({"phases":[{"count":4294967295}]})", R"({"phases":[{"count":1e300}]})",
        R"({"phases":[{"count":9000},{"count":9000}]})", R"({"phases":[{"cpu":-1}]})",
        R"({"phases":[{"after":[0]}]})", R"({"phases":[{"after":[1]},{"count":1}]})"}) {
    BOOST_TEST_CONTEXT(Body) {
      BOOST_TEST(!isAccepted(Body));
      BOOST_TEST((core::lastReason().Kind == core::ErrorKind::Malformed));
      BOOST_TEST(!core::lastReason().Message.empty());
    }
  }
  BOOST_TEST(isAccepted(R"({"phases":[{"count":10000}]})"));
}

// Guards against a job whose text the manager cannot read: it blocked the link of its VM to the
// manager, so that no later job of that VM was served.
BOOST_AUTO_TEST_CASE(JobsWithTextThatIsNotUtf8AreRejected) {
  for (const char *Field : {"spec", "constraints", "affinity"})
    for (const char *Odd : {"\xff\xfe", "\xed\xa0\x80", "\\udc00"})
      BOOST_TEST_CONTEXT(Field << " " << Odd) {
        auto Member = std::string("\"") + Field + "\":\"" + Odd + "\"";
        BOOST_TEST(
            !parse("{" + Member + R"(,"bestEffort":true,"phases":[{"count":1,)" + Member + "}]}"));
        BOOST_TEST(!core::lastReason().Message.empty());
      }
}
