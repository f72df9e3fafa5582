#include "Libraries/LibCore/MetricsRegistry.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace cornellift::core;

namespace {

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Guards against series of one metric overwriting each other.
BOOST_AUTO_TEST_CASE(LabelsDistinguishSeries) {
  MetricsRegistry Registry;
  Registry.counter("jobs_total", {{"route", "a"}, {"outcome", "done"}}).add(2);
  Registry.counter("jobs_total", {{"route", "b"}, {"outcome", "done"}}).add();
  Registry.counter("jobs_total", {{"route", "a"}, {"outcome", "done"}}).add();
  auto Text = Registry.renderText();
  BOOST_TEST(contains(Text, "# TYPE jobs_total counter\n"
                            "jobs_total{route=\"a\",outcome=\"done\"} 3\n"
                            "jobs_total{route=\"b\",outcome=\"done\"} 1\n"));
}

// Guards against a /metrics page that cannot be parsed because a label value, which may come from
// external input, contains special characters.
BOOST_AUTO_TEST_CASE(LabelValuesAreEscaped) {
  MetricsRegistry Registry;
  Registry.counter("jobs_total", {{"route", "a\"b\\c\nd"}}).add();
  BOOST_TEST(contains(Registry.renderText(), "jobs_total{route=\"a\\\"b\\\\c\\nd\"} 1\n"));
}

// Guards against losing samples below the first or above the last bin edge.
BOOST_AUTO_TEST_CASE(BucketsAreCumulativeAndComplete) {
  MetricsRegistry Registry;
  auto &Times = Registry.histogram("job_milliseconds", {{"outcome", "done"}});
  for (double Sample : {-1.0, 0.5, 7.0, 99999.0})
    Times.add(Sample);
  auto Text = Registry.renderText();
  BOOST_TEST(contains(Text, "# TYPE job_milliseconds histogram\n"));
  BOOST_TEST(contains(Text, "job_milliseconds_bucket{outcome=\"done\",le=\"1\"} 2\n"));
  BOOST_TEST(contains(Text, "job_milliseconds_bucket{outcome=\"done\",le=\"10\"} 3\n"));
  BOOST_TEST(contains(Text, "job_milliseconds_bucket{outcome=\"done\",le=\"10000\"} 3\n"));
  BOOST_TEST(contains(Text, "job_milliseconds_bucket{outcome=\"done\",le=\"+Inf\"} 4\n"));
  BOOST_TEST(contains(Text, "job_milliseconds_count{outcome=\"done\"} 4\n"));
}
