#include "Libraries/LibCore/Log.h"

#include "Libraries/LibCore/NonBlockingWriter.h"

#include <memory>
#include <vector>

#include <unistd.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace cornellift::core {
namespace {

log4cxx::LevelPtr toLog4cxxLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Information:
    return log4cxx::Level::getInfo();
  case LogLevel::Warning:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

/// Writer of standard output or standard error; empty if the log goes to a file.
std::shared_ptr<NonBlockingWriter> &consoleWriter() {
  static std::shared_ptr<NonBlockingWriter> Writer;
  return Writer;
}

log4cxx::AppenderPtr makeAppender(std::string_view File) {
  auto Layout = std::make_shared<log4cxx::JSONLayout>();
  Layout->setLocationInfo(false);
  consoleWriter().reset();
  if (File.empty() || File == "-") {
    auto Appender = std::make_shared<log4cxx::ConsoleAppender>(Layout, LOG4CXX_STR("System.out"));
    consoleWriter() =
        std::make_shared<NonBlockingWriter>(File.empty() ? STDERR_FILENO : STDOUT_FILENO);
    Appender->setWriter(consoleWriter());
    return Appender;
  }
  LOG4CXX_DECODE_CHAR(Path, std::string(File));
  return std::make_shared<log4cxx::FileAppender>(Layout, Path, true);
}

void writeLine(LogLevel Level, std::string_view Component, std::string_view Message,
               std::span<const LogField> Fields) {
  auto Logger = log4cxx::Logger::getLogger(std::string(Component));
  auto Log4cxxLevel = toLog4cxxLevel(Level);
  if (!Logger->isEnabledFor(Log4cxxLevel))
    return;
  std::vector<std::unique_ptr<log4cxx::MDC>> Context;
  Context.reserve(Fields.size());
  for (const auto &[Key, Value] : Fields)
    Context.push_back(std::make_unique<log4cxx::MDC>(Key, Value));
  Logger->forcedLog(Log4cxxLevel, std::string(Message),
                    log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace

void configureLog(std::string_view Level, std::string_view File) {
  auto Root = log4cxx::Logger::getRootLogger();
  Root->removeAllAppenders();
  log4cxx::BasicConfigurator::configure(makeAppender(File));
  LOG4CXX_DECODE_CHAR(LevelName, std::string(Level));
  Root->setLevel(log4cxx::Level::toLevel(LevelName, log4cxx::Level::getInfo()));
}

void logLine(LogLevel Level, std::string_view Component, std::string_view Message,
             std::initializer_list<LogField> Fields) {
  logLine(Level, Component, Message, std::span(Fields.begin(), Fields.size()));
}

void logLine(LogLevel Level, std::string_view Component, std::string_view Message,
             std::span<const LogField> Fields) {
  const auto &Writer = consoleWriter();
  if (auto Dropped = Writer ? Writer->takeDropped() : 0; Dropped > 0) {
    const LogField Lines{"lines", std::to_string(Dropped)};
    writeLine(LogLevel::Warning, "log", "lines dropped because their reader was too slow",
              std::span(&Lines, 1));
  }
  writeLine(Level, Component, Message, Fields);
}

std::uint64_t unreadLogLines() { return consoleWriter() ? consoleWriter()->dropped() : 0; }

} // namespace cornellift::core
