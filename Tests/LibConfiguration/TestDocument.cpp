#include "Libraries/LibConfiguration/Document.h"

#include "Libraries/LibCore/Reason.h"

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using configuration::Document;
using nlohmann::json;

namespace {

std::string readExample(const std::string &Name) {
  std::ifstream File(std::string(CORNELLIFT_EXAMPLES) + "/" + Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

json minimalDocument() {
  return json::parse(R"({
    "services": {"slips": {"kinds": {"reprint": {}}}},
    "teams": {"counter": {}, "head-office": {"quota_share": 3}},
    "endpoints": {"w1": {"address": "127.0.0.1:7101", "data_centre": "ikeja", "rack": "r1",
                         "services": ["slips"], "capacity": {"processors": 16, "memory_mb": 65536}}}
  })");
}

struct InvalidField {
  const char *Path;
  const char *Value; ///< JSON; empty removes the field.
  const char *Names; ///< What the message has to contain.
};

} // namespace

// Guards against shipping example configurations that cannot be loaded.
BOOST_AUTO_TEST_CASE(ExamplesAreValid) {
  for (const auto &[Name, Endpoints] :
       {std::pair("slipworks.json", 50U), std::pair("alarcon.json", 50U),
        std::pair("demo.json", 12U)}) {
    auto Parsed = Document::parse(readExample(Name));
    BOOST_TEST_REQUIRE(Parsed.has_value(), Name << ": " << core::lastReason().Message);
    BOOST_TEST(Parsed->toKernelConfiguration(1).Endpoints.size() == Endpoints);
  }
}

// Guards against accepting an invalid value, which would then be misinterpreted.
BOOST_AUTO_TEST_CASE(BadFieldsAreRefusedByName) {
  const InvalidField Cases[] = {
      {"/colour", "1", "colour"},
      {"/services", "", "services"},
      {"/services/slips/kinds", "{}", "kinds"},
      {"/services/Slips", R"({"kinds": {"a": {}}})", "Slips"},
      {"/services/slips/message_cost_ms", "-1", "message_cost_ms"},
      {"/teams/counter/quota_share", "0", "quota_share"},
      {"/teams/counter/maximum_queued_tasks", "1.5", "maximum_queued_tasks"},
      {"/teams/counter/maximum_queued_tasks", "18446744073709551615", "maximum_queued_tasks"},
      {"/endpoints/w1/address", "\"worker:7101\"", "address"},
      {"/endpoints/w1/address", "\"127.0.0.1:70000\"", "address"},
      {"/endpoints/w1/services", R"(["quotes"])", "quotes"},
      {"/endpoints/w1/slots", "0", "slots"},
      {"/endpoints/w1/connections", "8", "connections"},
      {"/endpoints/w1/drained", "\"no\"", "drained"},
      {"/policy", R"({"placement": "../x"})", "placement"},
      {"/limits", R"({"maximum_tasks_per_job": 10001})", "maximum_tasks_per_job"},
  };
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.Path << " = " << Case.Value) {
      json Value = minimalDocument();
      if (*Case.Value == '\0')
        Value.erase(Case.Path + 1);
      else
        Value[json::json_pointer(Case.Path)] = json::parse(Case.Value);
      BOOST_TEST(!Document::fromJson(Value));
      BOOST_TEST((core::lastReason().Kind == core::ErrorKind::Malformed));
      BOOST_TEST(core::lastReason().Message.find(Case.Names) != std::string::npos,
                 core::lastReason().Message);
    }
  }
}

// Guards against two endpoints with one address, so that a worker's slots are counted twice.
BOOST_AUTO_TEST_CASE(SharedAddressIsRefused) {
  json Value = minimalDocument();
  Value["endpoints"]["w2"] = Value["endpoints"]["w1"];
  BOOST_TEST(!Document::fromJson(Value));
  BOOST_TEST(core::lastReason().Message.find("w1") != std::string::npos);
}

// Guards against texts that parsers interpret differently, and against exhausting the stack or
// memory.
BOOST_AUTO_TEST_CASE(HostileTextIsRefused) {
  std::string Twice = minimalDocument().dump();
  Twice.insert(Twice.find("\"counter\""), R"("counter":{"quota_share":9},)");
  const std::string Texts[] = {Twice,
                               "",
                               "{",
                               "null",
                               "[]",
                               "{\"services\":\"\xff\"}",
                               "1e999",
                               std::string(100000, '['),
                               std::string(600 << 10, ' ')};
  for (const auto &Text : Texts)
    BOOST_TEST(!Document::parse(Text), Text.substr(0, 40));
  BOOST_TEST((core::lastReason().Kind == core::ErrorKind::TooLarge));
}

// Guards against an index changing its meaning with a new version, which would assign learned run
// times and queues to another name.
BOOST_AUTO_TEST_CASE(SharedNamesKeepTheirIndex) {
  auto Before = Document::fromJson(minimalDocument())->toKernelConfiguration(1);
  json Changed = minimalDocument();
  Changed["teams"].erase("counter");
  Changed["teams"]["audit"] = json::object();
  Changed["services"]["slips"]["kinds"] = {{"branch-batch", json::object()}};
  Changed["endpoints"]["a0"] = Changed["endpoints"]["w1"];
  Changed["endpoints"].erase("w1");
  auto After = Document::fromJson(Changed)->toKernelConfiguration(2, &Before);
  BOOST_TEST(After.Version == 2U);
  BOOST_TEST_REQUIRE(After.Teams.size() == 3U);
  BOOST_TEST((After.Teams[0].Name == "counter" && After.Teams[0].Removed));
  BOOST_TEST((After.Teams[1].Name == "head-office" && !After.Teams[1].Removed));
  BOOST_TEST(After.Teams[2].Name == "audit");
  BOOST_TEST((After.Services[0].Kinds[0].Removed && !After.Services[0].Kinds[1].Removed));
  BOOST_TEST((After.Endpoints[0].Removed && After.Endpoints[0].Drained));
  auto Back = Document::fromJson(minimalDocument())->toKernelConfiguration(3, &After);
  BOOST_TEST((Back.Teams.size() == 3U && !Back.Teams[0].Removed && Back.Teams[2].Removed));
  BOOST_TEST((!Back.Endpoints[0].Removed && !Back.Endpoints[0].Drained));
}
