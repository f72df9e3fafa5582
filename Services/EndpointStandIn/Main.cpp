#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Settings.h"
#include "Services/EndpointStandIn/StandInApi.h"

#include <charconv>
#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <span>
#include <thread>
#include <vector>

using namespace cornellift;

namespace {

const core::SettingSpec Specs[] = {
    {"address", "IP address to listen on", core::SettingType::Text, "127.0.0.1"},
    {"ports", "Ports, one endpoint each, separated by commas; 0 takes a free one",
     core::SettingType::Text, "9000"},
    {"slots", "Tasks that an endpoint runs at once", core::SettingType::Integer, "8", 1, 1000},
    {"connections", "Connections that an endpoint serves at once", core::SettingType::Integer, "64",
     1, 1000},
    {"speed", "Divides the run times", core::SettingType::Real, "1", 0.001, 1000},
    {"usage-lag-ms", "Age of the reported usage in milliseconds", core::SettingType::Integer,
     "1000", 0, 60000},
    {"task-log", "File that gets one JSON line per start and end", core::SettingType::Text, ""},
};

std::optional<int> parsePort(const std::string &Text) {
  int Port = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() || Port < 0 ||
      Port > 65535)
    return core::fail(core::ErrorKind::Malformed,
                      "--ports: \"" + Text + "\" is not a port; give numbers from 0 to 65535");
  return Port;
}

bool startEndpoints(const core::Settings &Settings, standin::StandInLog &Log,
                    std::vector<std::unique_ptr<standin::StandInApi>> &Endpoints) {
  const auto &Address = Settings.text("address");
  for (const auto &Text : Settings.list("ports")) {
    auto Port = parsePort(Text);
    if (!Port)
      return false;
    standin::EndpointOptions Options;
    Options.Name = Address;
    Options.Name.append(":").append(Text);
    Options.Slots = static_cast<std::uint32_t>(Settings.integer("slots"));
    Options.Speed = Settings.real("speed");
    Options.UsageLag = std::chrono::milliseconds(Settings.integer("usage-lag-ms"));
    auto Connections = static_cast<std::size_t>(Settings.integer("connections"));
    Endpoints.push_back(std::make_unique<standin::StandInApi>(Options, Connections, Log));
    if (!Endpoints.back()->start(Address, *Port))
      return false;
    std::cout << "listening on " << Address << ':' << Endpoints.back()->port() << std::endl;
  }
  return true;
}

/// How long leaving endpoints refuse starts before the process exits. Entry VMs send no more starts
/// after three seconds; the outcome of a start that the exit interrupts would be uncertain.
constexpr auto RefusalTime = std::chrono::seconds(3);

} // namespace

int main(int Count, char **Arguments) {
  constexpr std::string_view Program = "cornellift-endpoint-stand-in";
  // Threads inherit the mask, so that only sigwait() below receives these signals.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  auto Settings = core::Settings::parse(
      Program, "Endpoints of workers for tests; their tasks sleep as their payload states", Specs,
      std::span<const char *const>(Arguments, static_cast<std::size_t>(Count)));
  if (!Settings)
    return core::reportBadUsage(Program);
  standin::StandInLog Log(Settings->text("task-log"));
  if (!Log.isOpen()) {
    std::cerr << Program << ": cannot write to " << Settings->text("task-log")
              << "; give another --task-log" << std::endl;
    return static_cast<int>(core::ExitStatus::BadUsage);
  }
  std::vector<std::unique_ptr<standin::StandInApi>> Endpoints;
  if (!startEndpoints(*Settings, Log, Endpoints))
    return core::reportBadUsage(Program);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  for (auto &Endpoint : Endpoints)
    Endpoint->leave();
  std::this_thread::sleep_for(RefusalTime);
  for (auto &Endpoint : Endpoints)
    Endpoint->stop();
  return 0;
}
