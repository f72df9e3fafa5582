#include "Utilities/Operator/Explanation.h"

#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace cornellift::operators;

namespace {

std::string line(const std::string &Second, const std::string &Message, const std::string &Fields) {
  return R"({ "timestamp": "2026-05-18 17:55:)" + Second +
         R"(", "level": "INFO", "logger": "pool", )" + R"("message": ")" + Message +
         R"(", "context_map": { )" + Fields + " } }\n";
}

std::string explain(const std::string &Job, const std::string &First,
                    const std::string &Second = "") {
  Explanation Found(Job);
  std::istringstream FirstLog(First);
  Found.read(FirstLog, "first");
  std::istringstream SecondLog(Second);
  Found.read(SecondLog, "second");
  return Found.render();
}

bool isBefore(const std::string &Text, const std::string &Early, const std::string &Late) {
  auto At = Text.find(Early);
  return At != std::string::npos && Text.find(Late) > At && Text.find(Late) != std::string::npos;
}

} // namespace

// Guards against leaving out the lines of the process that ran the job.
BOOST_AUTO_TEST_CASE(LinesOfSeveralVmsAreShownInOrder) {
  auto Text = explain("a1",
                      line("01,000", "job received", R"("job": "a1")") +
                          line("01,400", "job answered", R"("job": "a1", "status": "504")"),
                      line("01,010", "task started", R"("job": "a1", "worker": "w")") +
                          line("01,020", "task started", R"("job": "b2", "worker": "w")"));
  BOOST_TEST(isBefore(Text, "job received", "task started"));
  BOOST_TEST(isBefore(Text, "second  task started", "status=504"));
  BOOST_TEST(Text.find("b2") == std::string::npos);
}

// Guards against leaving out the cause of a decision because its line names no job.
BOOST_AUTO_TEST_CASE(ContextLinesOfTheJobsWorkersAreShown) {
  auto Text = explain("a1", line("01,000", "task started", R"("job": "a1", "worker": "w1")") +
                                line("01,050", "worker does not answer", R"("worker": "w1")") +
                                line("01,060", "worker does not answer", R"("worker": "w2")") +
                                line("01,070", "the store does not answer", R"("reason": "x")") +
                                line("01,100", "job answered", R"("job": "a1")"));
  BOOST_TEST(Text.find("worker=w1\n") != std::string::npos);
  BOOST_TEST(Text.find("w2") == std::string::npos);
  BOOST_TEST(isBefore(Text, "the store does not answer", "job answered"));
}

// Guards against showing a buffered line at its writing time, after the events that it caused.
BOOST_AUTO_TEST_CASE(HeldLinesAreShownAtTheTimeOfTheirDecision) {
  auto Text =
      explain("a1", line("01,200", "moving a slow run", R"("job": "a1")") +
                        line("01,200", "task started",
                             R"("job": "a1", "held_ms": "150.0", "inputs": "worker=w1 run=1")") +
                        line("01,100", "worker does not answer", R"("worker": "w1")"));
  BOOST_TEST(isBefore(Text, "task started", "worker does not answer"));
  BOOST_TEST(isBefore(Text, "worker does not answer", "moving a slow run"));
}

// Guards against stopping at lines of the file that are not log lines.
BOOST_AUTO_TEST_CASE(OtherTextIsSkippedAndAPrefixNamesTheVm) {
  Explanation Found("a1");
  std::istringstream Log("no json\n{ \"timestamp\": 3\n\n  1.5 vm-7 " +
                         line("01,000", "job received", R"("job": "a1")"));
  Found.read(Log, "file");
  BOOST_TEST(Found.unparsedLineCount() == 2U);
  BOOST_TEST(Found.render().find("vm-7  job received") != std::string::npos);
  BOOST_TEST(!Explanation("b2").hasJobLines());
}
