#include "Libraries/LibCore/Log.h"

#include <memory>
#include <vector>

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

log4cxx::AppenderPtr makeAppender(std::string_view File) {
  auto Layout = std::make_shared<log4cxx::JSONLayout>();
  Layout->setLocationInfo(false);
  if (File.empty())
    return std::make_shared<log4cxx::ConsoleAppender>(Layout, LOG4CXX_STR("System.err"));
  if (File == "-")
    return std::make_shared<log4cxx::ConsoleAppender>(Layout, LOG4CXX_STR("System.out"));
  LOG4CXX_DECODE_CHAR(Path, std::string(File));
  return std::make_shared<log4cxx::FileAppender>(Layout, Path, true);
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

} // namespace cornellift::core
