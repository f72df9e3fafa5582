#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Settings.h"
#include "Services/FleetStandIn/FleetStandIn.h"

#include <csignal>
#include <span>

using namespace cornellift;

int main(int Count, char **Arguments) {
  constexpr std::string_view Program = "cornellift-fleet-stand-in";
  std::signal(SIGPIPE, SIG_IGN); // A write to a closed connection fails with an error instead.
  auto Settings = standin::StandInSettings::parse(
      std::span<const char *const>(Arguments, static_cast<std::size_t>(Count)));
  if (!Settings)
    return core::reportBadUsage(Program);
  core::configureLog("warn", "");
  auto StandIn = standin::FleetStandIn::make(*Settings);
  if (!StandIn)
    return core::reportBadUsage(Program);
  StandIn->run();
  return 0;
}
