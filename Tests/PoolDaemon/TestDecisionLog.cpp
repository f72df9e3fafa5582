#include "Libraries/LibCore/Log.h"
#include "Services/PoolDaemon/DecisionLogWriter.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornellift;
using namespace std::chrono_literals;
using kernel::DecisionPriority;

namespace {

constexpr std::uint32_t RoutineLinesPerSecond = 100;
constexpr std::size_t SuppressedLineCapacity = 512;

/// The log of this test program.
class LogFile {
public:
  static LogFile &instance() {
    static LogFile Only;
    return Only;
  }

  /// The lines written since the last call.
  std::vector<nlohmann::json> newLines() {
    std::vector<nlohmann::json> Lines;
    std::ifstream In(Path_);
    In.seekg(Position_);
    for (std::string Text; std::getline(In, Text);) {
      Position_ += static_cast<std::streamoff>(Text.size()) + 1;
      Lines.push_back(nlohmann::json::parse(Text));
    }
    return Lines;
  }

private:
  LogFile() : Path_(std::filesystem::current_path() / "decision-log.jsonl") {
    std::filesystem::remove(Path_);
    core::configureLog("info", Path_.string());
  }

  std::filesystem::path Path_;
  std::streamoff Position_ = 0;
};

kernel::JobKey job(std::uint64_t Number) { return static_cast<kernel::JobKey>(Number); }

/// Writes the lines of one job: nine routine lines, and a notable one if the job fails.
void writeJob(pool::DecisionLogWriter &Writer, std::uint64_t Number, bool Fails) {
  for (std::int64_t Line = 0; Line < 9; ++Line)
    Writer.line(DecisionPriority::Routine, "task started", job(Number),
                {{"index", Line}, {"worker", std::string_view("w-1")}, {"expected_ms", 60.0}});
  if (Fails)
    Writer.line(DecisionPriority::Notable, "job ended without success in time", job(Number),
                {{"why", std::string_view("a task failed in every attempt")}});
}

} // namespace

// Guards against a log whose volume grows with the load, and against lines about failed requests
// that are crowded out by those about served ones. The load is five times the rate limit or more.
BOOST_AUTO_TEST_CASE(RoutineLinesAreRateLimitedAndFailuresKept) {
  auto &File = LogFile::instance();
  pool::DecisionLogWriter Writer(RoutineLinesPerSecond, SuppressedLineCapacity);
  constexpr std::uint64_t Jobs = 5000;
  // The rate limit of lines about failures is ten times that of routine lines, and suppressed lines
  // may use half of it: those of 40 jobs with nine lines each fit into a second.
  constexpr std::uint64_t JobsPerFailure = 125;
  auto Begin = core::MonotonicClock::now();
  for (std::uint64_t Number = 1; Number <= Jobs; ++Number)
    writeJob(Writer, Number, Number % JobsPerFailure == 0);
  auto Span = core::MonotonicClock::now() - Begin;
  BOOST_TEST_MESSAGE(Jobs * 9 << " lines offered in " << core::toMilliseconds(Span) << " ms");
  auto Seconds = static_cast<std::size_t>(Span / 1s) + 1;
  std::map<std::string, std::size_t> Written;
  std::set<std::string> Failed;
  for (const auto &Line : File.newLines()) {
    std::string Event = Line.at("message");
    ++Written[Event];
    if (Event == "job ended without success in time")
      Failed.insert(Line.at("context_map").at("job").get<std::string>());
  }
  BOOST_TEST(Failed.size() == Jobs / JobsPerFailure);
  // The suppressed lines of each failed job are written, so that the log shows its course.
  std::size_t Held = Jobs / JobsPerFailure * 9;
  BOOST_TEST(Written["task started"] >= Held);
  BOOST_TEST(Written["task started"] <= Held + Seconds * RoutineLinesPerSecond);
  BOOST_TEST(Writer.linesDropped() + Writer.linesWritten() >= Jobs * 9);
}

// Guards against lines that are suppressed unnoticed: their number is logged in the next second.
BOOST_AUTO_TEST_CASE(SuppressedLinesAreReported) {
  auto &File = LogFile::instance();
  pool::DecisionLogWriter Writer(RoutineLinesPerSecond, 0);
  for (std::uint64_t Number = 1; Number <= 100; ++Number)
    writeJob(Writer, Number, false);
  auto Dropped = Writer.linesDropped();
  BOOST_TEST(Dropped >= 900U - 2 * RoutineLinesPerSecond);
  std::this_thread::sleep_for(1100ms);
  writeJob(Writer, 101, false);
  std::uint64_t Reported = 0;
  for (const auto &Line : File.newLines())
    if (Line.at("message") == "lines left out")
      Reported += std::stoull(Line.at("context_map").at("routine").get<std::string>());
  BOOST_TEST(Reported == Dropped);
}

// Guards against a line that shows memory of the process: the length of a large number was taken
// for that of the text in a buffer that it did not fit into.
BOOST_AUTO_TEST_CASE(LargeNumbersAreWrittenWhole) {
  pool::DecisionLogWriter Writer(RoutineLinesPerSecond, SuppressedLineCapacity);
  LogFile::instance().newLines();
  for (double Value : {1e308, -1e308, 0.5}) {
    Writer.line(DecisionPriority::Notable, "large number", std::nullopt, {{"value", Value}});
    auto Lines = LogFile::instance().newLines();
    BOOST_REQUIRE(Lines.size() == 1U);
    auto Text = Lines.front()["context_map"]["value"].get<std::string>();
    BOOST_TEST(Text.find_first_not_of("-.0123456789") == std::string::npos, Text);
    BOOST_TEST(std::stod(Text) == Value);
  }
}
