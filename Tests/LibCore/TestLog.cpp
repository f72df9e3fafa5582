#include "Libraries/LibCore/Log.h"

#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

using namespace cornellift;

namespace {

/// Replaces standard output by a pipe for as long as it exists.
class CapturedOutput {
public:
  CapturedOutput() : Saved_(::dup(STDOUT_FILENO)) {
    BOOST_REQUIRE(::pipe(Ends_) == 0);
    ::dup2(Ends_[1], STDOUT_FILENO);
    ::fcntl(Ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~CapturedOutput() {
    ::dup2(Saved_, STDOUT_FILENO);
    for (int Descriptor : {Saved_, Ends_[0], Ends_[1]})
      ::close(Descriptor);
  }
  CapturedOutput(const CapturedOutput &) = delete;
  CapturedOutput &operator=(const CapturedOutput &) = delete;

  /// Reads all that was written so far.
  std::string read() const {
    std::string Text;
    char Part[4096];
    for (ssize_t Count = 0; (Count = ::read(Ends_[0], Part, sizeof Part)) > 0;)
      Text.append(Part, static_cast<std::size_t>(Count));
    return Text;
  }

private:
  int Saved_;
  int Ends_[2] = {-1, -1};
};

std::size_t countOf(const std::string &Text, const std::string &Word) {
  std::size_t Count = 0;
  for (auto At = Text.find(Word); At != std::string::npos; At = Text.find(Word, At + 1))
    ++Count;
  return Count;
}

} // namespace

// Guards against a process that stands still because the reader of its log has stalled, and against
// torn lines or lines that are dropped without a trace.
BOOST_AUTO_TEST_CASE(AStalledReaderHoldsNothingUp) {
  constexpr std::size_t Lines = 2000; // More than a pipe takes.
  CapturedOutput Output;
  core::configureLog("info", "-");
  for (std::size_t Line = 0; Line < Lines; ++Line)
    core::logLine(core::LogLevel::Information, "test", "a line",
                  {{"number", std::string(200, '1')}});
  auto Text = Output.read();
  auto Written = countOf(Text, "\"a line\"");
  BOOST_TEST(Written > 0U);
  BOOST_TEST(Written + core::unreadLogLines() >= Lines);
  BOOST_TEST(core::unreadLogLines() > 0U);
  core::logLine(core::LogLevel::Information, "test", "another line");
  Text += Output.read();
  BOOST_TEST(countOf(Text, "\"a line\"") + core::unreadLogLines() == Lines);
  BOOST_TEST(countOf(Text, "lines dropped because") == 1U);
  BOOST_TEST(Text.find("\"lines\": \"" + std::to_string(core::unreadLogLines()) + "\"") !=
             std::string::npos);
  BOOST_TEST(countOf(Text, "\"another line\"") == 1U);
  BOOST_TEST(countOf(Text, "\n") ==
             countOf(Text, "\"a line\"") + 2); // Each line is whole and ends.
}
