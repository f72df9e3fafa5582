#include "Services/PoolDaemon/DecisionLogWriter.h"

#include "Libraries/LibCore/Log.h"

#include <string>
#include <utility>
#include <vector>

namespace cornellift::pool {
namespace {

std::string toText(const kernel::DecisionField &Field) {
  if (const auto *Integer = std::get_if<std::int64_t>(&Field.Value))
    return std::to_string(*Integer);
  if (const auto *Text = std::get_if<std::string_view>(&Field.Value))
    return std::string(*Text);
  char Buffer[32];
  auto Length = std::snprintf(Buffer, sizeof(Buffer), "%.1f", std::get<double>(Field.Value));
  return std::string(Buffer, static_cast<std::size_t>(Length));
}

core::LogLevel levelOf(kernel::DecisionWeight Weight) {
  return Weight == kernel::DecisionWeight::Notable ? core::LogLevel::Warning
                                                   : core::LogLevel::Information;
}

} // namespace

void DecisionLogWriter::renew(core::TimePoint Now) {
  RenewAt_ = Now + std::chrono::seconds(1);
  Left_ = LinesPerSecond_;
  auto Dropped = std::exchange(DroppedNow_, {});
  auto Sum = Dropped[0] + Dropped[1] + Dropped[2];
  if (Sum > 0)
    core::logLine(core::LogLevel::Information, "pool", "lines left out",
                  {{"routine", std::to_string(Dropped[0])},
                   {"notable", std::to_string(Dropped[1])},
                   {"belief", std::to_string(Dropped[2])}});
}

bool DecisionLogWriter::take(kernel::DecisionWeight Weight, core::TimePoint Now) {
  if (Now >= RenewAt_)
    renew(Now);
  auto Position = static_cast<std::size_t>(Weight);
  if (Left_[Position] == 0) {
    ++DroppedNow_[Position];
    ++Dropped_;
    return false;
  }
  --Left_[Position];
  ++Written_;
  return true;
}

void DecisionLogWriter::line(kernel::DecisionWeight Weight, std::string_view Event,
                             std::optional<kernel::JobKey> Job,
                             std::initializer_list<kernel::DecisionField> Fields) {
  if (!take(Weight, core::MonotonicClock::now()))
    return;
  std::vector<core::LogField> Texts;
  Texts.reserve(Fields.size() + 1);
  if (Job)
    Texts.emplace_back("job", kernel::formatJobKey(*Job));
  for (const auto &Field : Fields)
    Texts.emplace_back(std::string(Field.Name), toText(Field));
  core::logLine(levelOf(Weight), "pool", Event, Texts);
}

} // namespace cornellift::pool
