#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace cornellift::core {

enum class LogLevel { Debug, Information, Warning, Error };

/// Key and value of a structured field of a log line.
using LogField = std::pair<std::string, std::string>;

/// Configures logging as JSON lines to standard error, or to File when it is not empty ("-" is
/// standard output). Call once, before other threads start. Level is one of "debug", "info", "warn"
/// and "error". Standard output and standard error never hold the process up: lines that their
/// reader does not take in time are dropped, and a line tells how many.
void configureLog(std::string_view Level, std::string_view File);

/// Number of lines that were dropped because their reader was too slow.
std::uint64_t unreadLogLines();

/// Writes one log line. Component is the logger's name; Fields are written under "context_map".
void logLine(LogLevel Level, std::string_view Component, std::string_view Message,
             std::span<const LogField> Fields);
void logLine(LogLevel Level, std::string_view Component, std::string_view Message,
             std::initializer_list<LogField> Fields = {});

} // namespace cornellift::core
