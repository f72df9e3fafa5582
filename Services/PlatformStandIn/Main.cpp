#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Settings.h"
#include "Services/PlatformStandIn/StandInServer.h"

#include <csignal>
#include <iostream>
#include <string>
#include <thread>

using namespace cornellift;

namespace {

const core::SettingSpec Specs[] = {
    {"port", "Port on the loopback address; 0 takes a free one", core::SettingType::Integer, "0", 0,
     65535},
    {"threads", "Concurrent requests; a pending watch holds one", core::SettingType::Integer, "96",
     2, 512},
};

} // namespace

int main(int Count, char **Arguments) {
  auto Settings = core::Settings::parse("cornellift-platform-stand-in",
                                        "Key-value service and VM list for tests", Specs,
                                        std::span<const char *const>(Arguments, Count));
  if (!Settings)
    return core::reportBadUsage("cornellift-platform-stand-in");

  // Blocked in every thread, so that sigwait() below receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  standin::StandInServer Server(static_cast<std::size_t>(Settings->integer("threads")));
  int Port = Server.bind(static_cast<int>(Settings->integer("port")));
  if (Port < 0) {
    core::fail(core::ErrorKind::Unavailable, "the port is taken; choose another with --port");
    return core::reportBadUsage("cornellift-platform-stand-in");
  }
  std::cout << Port << std::endl;
  std::thread Serving([&Server] { Server.serve(); });
  int Received = 0;
  sigwait(&Signals, &Received);
  Server.stop();
  Serving.join();
  return static_cast<int>(core::ExitStatus::Success);
}
