#include "Services/PoolDaemon/DecisionLogWriter.h"

#include "Libraries/LibCore/Log.h"

#include <array>
#include <charconv>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace cornellift::pool {
namespace {

/// Rate limit of each other priority, relative to that of routine lines.
constexpr std::uint32_t NonRoutineLimitFactor = 10;
constexpr int DecimalPlaces = 1;
/// Length of the largest number: its digits, a sign, a point and the decimal places.
constexpr std::size_t MaximumNumberLength =
    std::numeric_limits<double>::max_exponent10 + 3 + DecimalPlaces;

std::string toText(const kernel::DecisionField &Field) {
  if (const auto *Integer = std::get_if<std::int64_t>(&Field.Value))
    return std::to_string(*Integer);
  if (const auto *Text = std::get_if<std::string_view>(&Field.Value))
    return std::string(*Text);
  std::array<char, MaximumNumberLength> Buffer;
  auto Written = std::to_chars(Buffer.begin(), Buffer.end(), std::get<double>(Field.Value),
                               std::chars_format::fixed, DecimalPlaces);
  return std::string(Buffer.begin(), Written.ptr);
}

std::string toText(std::initializer_list<kernel::DecisionField> Fields) {
  std::string Text;
  for (const auto &Field : Fields)
    Text.append(Text.empty() ? "" : " ").append(Field.Name).append("=").append(toText(Field));
  return Text;
}

core::LogLevel levelOf(kernel::DecisionPriority Priority) {
  return Priority == kernel::DecisionPriority::Notable ? core::LogLevel::Warning
                                                       : core::LogLevel::Information;
}

} // namespace

void DecisionLogWriter::setRateLimit(std::uint32_t RoutineLinesPerSecond) {
  LinesPerSecond_ = {RoutineLinesPerSecond, NonRoutineLimitFactor * RoutineLinesPerSecond,
                     NonRoutineLimitFactor * RoutineLinesPerSecond};
}

void DecisionLogWriter::startInterval(core::TimePoint Now) {
  NextIntervalAt_ = Now + std::chrono::seconds(1);
  RemainingLines_ = LinesPerSecond_;
  auto Dropped = std::exchange(DroppedInInterval_, {});
  auto Sum = Dropped[0] + Dropped[1] + Dropped[2];
  if (Sum > 0)
    core::logLine(core::LogLevel::Information, "pool", "lines left out",
                  {{"routine", std::to_string(Dropped[0])},
                   {"notable", std::to_string(Dropped[1])},
                   {"belief", std::to_string(Dropped[2])}});
}

void DecisionLogWriter::writeSuppressed(kernel::JobKey Job, core::TimePoint Now) {
  // Half of the rate limit is kept for new lines about other jobs.
  auto Notable = static_cast<std::size_t>(kernel::DecisionPriority::Notable);
  if (RemainingLines_[Notable] < LinesPerSecond_[Notable] / 2)
    return;
  for (const auto &Line : SuppressedLines_.take(Job)) {
    if (!tryAcquire(kernel::DecisionPriority::Notable, Now))
      return;
    core::logLine(core::LogLevel::Information, "pool", Line.Event,
                  {{"job", kernel::formatJobKey(Job)},
                   {"held_ms", std::to_string(core::toMilliseconds(Now - Line.At))},
                   {"inputs", Line.Inputs}});
  }
}

bool DecisionLogWriter::tryAcquire(kernel::DecisionPriority Priority, core::TimePoint Now) {
  if (Now >= NextIntervalAt_)
    startInterval(Now);
  auto Position = static_cast<std::size_t>(Priority);
  if (RemainingLines_[Position] == 0) {
    ++DroppedInInterval_[Position];
    ++Dropped_;
    return false;
  }
  --RemainingLines_[Position];
  ++Written_;
  return true;
}

void DecisionLogWriter::line(kernel::DecisionPriority Priority, std::string_view Event,
                             std::optional<kernel::JobKey> Job,
                             std::initializer_list<kernel::DecisionField> Fields) {
  auto Now = core::MonotonicClock::now();
  if (!tryAcquire(Priority, Now)) {
    if (Job && Priority == kernel::DecisionPriority::Routine)
      SuppressedLines_.add(*Job, Event, toText(Fields), Now);
    return;
  }
  if (Job && Priority == kernel::DecisionPriority::Notable)
    writeSuppressed(*Job, Now);
  std::vector<core::LogField> Texts;
  Texts.reserve(Fields.size() + 1);
  if (Job)
    Texts.emplace_back("job", kernel::formatJobKey(*Job));
  for (const auto &Field : Fields)
    Texts.emplace_back(std::string(Field.Name), toText(Field));
  core::logLine(levelOf(Priority), "pool", Event, Texts);
}

} // namespace cornellift::pool
