#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Settings.h"
#include "Services/PoolDaemon/DaemonSettings.h"
#include "Services/PoolDaemon/PoolDaemon.h"

#include <csignal>
#include <iostream>
#include <span>
#include <string_view>

using namespace cornellift;

int main(int Count, char **Arguments) {
  constexpr std::string_view Program = "cornellift-poold";
  // A reload signal must not end the process while it starts; it reads the settings then anyway.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN); // A write to a closed connection fails with an error instead.
  std::span<const char *const> Given(Arguments, static_cast<std::size_t>(Count));
  auto Settings = pool::DaemonSettings::parse(Given);
  if (!Settings)
    return core::reportBadUsage(Program);
  if (Settings->IsCheckOnly) {
    std::cout << Settings->Text;
    return static_cast<int>(core::ExitStatus::Success);
  }
  core::configureLog(Settings->LogLevel, "-");
  auto Daemon = pool::PoolDaemon::make(std::move(*Settings), Given);
  if (!Daemon)
    return core::reportBadUsage(Program);
  Daemon->run();
  return 0;
}
