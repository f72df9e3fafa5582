#include "Services/PoolDaemon/ActiveConfiguration.h"

#include "Libraries/LibCore/Reason.h"

#include <utility>

namespace cornellift::pool {

ActiveConfiguration::ActiveConfiguration(const platform::StoreFormat &Format,
                                         kernel::DecisionLog &Log, ChangeHandler OnChange)
    : Format_(Format), Log_(Log), OnChange_(std::move(OnChange)) {}

void ActiveConfiguration::updateIfNewer(std::string_view Document, std::string_view Source) {
  if (Current_ && Document == Current_->Document)
    return;
  auto ParsedFrom = core::MonotonicClock::now();
  auto Parsed = Format_.parseConfiguration(Document);
  if (!Parsed) {
    Log_.line(kernel::DecisionPriority::StateChange, "configuration cannot be read", std::nullopt,
              {{"source", Source},
               {"in_force", static_cast<std::int64_t>(version())},
               {"reason", std::string_view(core::lastReason().Message)}});
    return;
  }
  if (Parsed->Version <= version())
    return;
  Log_.line(kernel::DecisionPriority::StateChange, "configuration in force", std::nullopt,
            {{"source", Source},
             {"version", static_cast<std::int64_t>(Parsed->Version)},
             {"former", static_cast<std::int64_t>(version())},
             {"bytes", static_cast<std::int64_t>(Document.size())},
             {"parse_ms", core::toMilliseconds(core::MonotonicClock::now() - ParsedFrom)},
             {"routes", static_cast<std::int64_t>(Parsed->Routes.size())}});
  Current_ = std::make_shared<const kernel::PoolConfiguration>(std::move(*Parsed));
  OnChange_(Current_);
}

} // namespace cornellift::pool
