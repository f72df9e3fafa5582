#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Settings.h"
#include "Services/EntryDaemon/ConfigurationService.h"
#include "Services/EntryDaemon/Daemon.h"
#include "Services/EntryDaemon/DaemonSettings.h"
#include "Services/EntryDaemon/PeerComponent.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <span>

using namespace cornellift;

namespace {

/// The peers are added before the configuration, because it may be fetched from them.
void addPeers(entry::Daemon &Daemon, entry::ConfigurationService *Configuration) {
  auto Peers = std::make_unique<entry::PeerComponent>(
      Daemon, Configuration != nullptr ? &Configuration->store() : nullptr);
  if (Configuration != nullptr) {
    Configuration->setPeers(Peers->network());
    Peers->setConfiguration(&Configuration->source());
  }
  Daemon.addComponent(std::move(Peers));
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr std::string_view Program = "cornellift-entryd";
  // Threads inherit the mask, so that only sigwait() below receives these signals.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  auto Settings = entry::DaemonSettings::parse(
      std::span<const char *const>(Arguments, static_cast<std::size_t>(Count)));
  if (!Settings)
    return core::reportBadUsage(Program);
  core::configureLog(Settings->LogLevel, Settings->LogFile);
  entry::Daemon Daemon(std::move(*Settings));
  std::unique_ptr<entry::ConfigurationService> Configuration;
  if (Daemon.settings().ConfigurationFile.empty()) {
    Configuration = entry::ConfigurationService::make(Daemon);
    if (!Configuration)
      return core::reportBadUsage(Program);
  }
  if (!Daemon.settings().All.text("peer-address").empty())
    addPeers(Daemon, Configuration.get());
  if (Configuration)
    Daemon.addComponent(std::move(Configuration));
  if (!Daemon.start())
    return core::reportBadUsage(Program);
  std::cout << "listening on " << Daemon.settings().HttpAddress << ':' << Daemon.http().port()
            << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Daemon.stop();
  return 0;
}
