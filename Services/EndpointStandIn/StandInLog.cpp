#include "Services/EndpointStandIn/StandInLog.h"

#include "Libraries/LibCore/Time.h"

#include <nlohmann/json.hpp>

namespace cornellift::standin {

StandInLog::StandInLog(const std::string &Path) : Path_(Path) {
  if (!Path_.empty())
    File_.open(Path_, std::ios::app);
}

void StandInLog::write(std::string_view Event, std::string_view Task, std::string_view Endpoint,
                       std::string_view Boot) {
  if (Path_.empty())
    return;
  nlohmann::json Line = {{"event", Event},
                         {"task", Task},
                         {"endpoint", Endpoint},
                         {"boot", Boot},
                         {"time_ms", core::wallClockMilliseconds()}};
  auto Text = Line.dump() + "\n";
  std::lock_guard Guard(Mutex_);
  File_ << Text << std::flush;
}

} // namespace cornellift::standin
