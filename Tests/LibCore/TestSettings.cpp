#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Settings.h"

#include <cstdlib>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cornellift::core;

namespace {

std::optional<Settings> parse(std::vector<const char *> Arguments) {
  static const SettingSpec Specs[] = {
      {"http-port", "Port in 1 to 65535", SettingType::Integer, "8080", 1, 65535},
      {"data-centre", "Name of the data centre", SettingType::Text, "ikeja"},
      {"verbose", "More lines", SettingType::Flag, {}},
  };
  Arguments.insert(Arguments.begin(), "program");
  return Settings::parse("program", "Test", Specs, Arguments);
}

} // namespace

BOOST_AUTO_TEST_CASE(FlagWinsOverEnvironmentAndDefault) {
  setenv("CORNELLIFT_HTTP_PORT", "9000", 1);
  BOOST_TEST(parse({})->integer("http-port") == 9000);
  BOOST_TEST(parse({"--http-port", "9001"})->integer("http-port") == 9001);
  unsetenv("CORNELLIFT_HTTP_PORT");
  BOOST_TEST(parse({})->integer("http-port") == 8080);
  BOOST_TEST(parse({"--verbose"})->flag("verbose"));
}

// Guards against a daemon that starts with a setting that it has misparsed.
BOOST_AUTO_TEST_CASE(InvalidValuesAreRejectedWithARemedy) {
  for (const char *Bad : {"0", "65536", "80x", "", "1e3", "nan"}) {
    BOOST_TEST_CONTEXT(Bad) {
      BOOST_TEST(!parse({"--http-port", Bad}));
      BOOST_TEST((lastReason().Kind == ErrorKind::Malformed));
      BOOST_TEST(lastReason().Message.find("give") != std::string::npos);
    }
  }
  BOOST_TEST(!parse({"--no-such-flag", "1"}));
}

// Guards against reporting only the first invalid value, which takes one start to correct each.
BOOST_AUTO_TEST_CASE(AllWrongValuesAreNamedAtOnce) {
  BOOST_TEST(!parse({"--http-port", "0", "--verbose=perhaps"}));
  BOOST_TEST(lastReason().Message.find("--http-port") != std::string::npos);
  BOOST_TEST(lastReason().Message.find("--verbose") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(EffectiveSettingsArePrintedInFileFormat) {
  BOOST_TEST(parse({"--http-port", "9001"})->format() ==
             "data-centre=ikeja\nhttp-port=9001\nverbose=false\n");
}
