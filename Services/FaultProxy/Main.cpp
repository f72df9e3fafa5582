#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Settings.h"
#include "Services/FaultProxy/ControlApi.h"

#include <charconv>
#include <iostream>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

namespace {

using namespace cornellift;
using Tcp = boost::asio::ip::tcp;

constexpr const char *Program = "cornellift-fault-proxy";

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return core::fail(core::ErrorKind::Malformed, "\"" + std::string(Text) + "\" is not a port");
  return Port;
}

/// Parses NAME=LISTEN_PORT:TARGET_PORT; both sides are on the loopback address.
std::shared_ptr<fault::Link> makeLink(boost::asio::io_context &Context, std::string_view Text) {
  auto Equals = Text.find('=');
  auto Colon = Text.find(':', Equals == Text.npos ? 0 : Equals);
  if (Equals == Text.npos || Colon == Text.npos) {
    core::fail(core::ErrorKind::Malformed,
               "\"" + std::string(Text) + "\" is not a link; write NAME=LISTEN_PORT:TARGET_PORT");
    return nullptr;
  }
  auto Listen = parsePort(Text.substr(Equals + 1, Colon - Equals - 1));
  auto Target = parsePort(Text.substr(Colon + 1));
  if (!Listen || !Target)
    return nullptr;
  auto Loopback = boost::asio::ip::address_v4::loopback();
  auto Created = std::make_shared<fault::Link>(Context, std::string(Text.substr(0, Equals)),
                                               Tcp::endpoint(Loopback, *Target));
  return Created->listen(Tcp::endpoint(Loopback, *Listen)) ? Created : nullptr;
}

} // namespace

int main(int Count, char **Arguments) {
  const core::SettingSpec Specs[] = {
      {"control-port", "Port of the control interface on loopback, 0 for any",
       core::SettingType::Integer, "0", 0, 65535},
      {"links",
       "Comma-separated links NAME=LISTEN_PORT:TARGET_PORT; listen port 0 for any",
       core::SettingType::Text,
       {}},
  };
  std::span<const char *const> All(Arguments, static_cast<std::size_t>(Count));
  auto Options = core::Settings::parse(
      Program, "TCP proxy that injects faults on loopback connections", Specs, All);
  if (!Options)
    return core::reportBadUsage(Program);

  boost::asio::io_context Context;
  std::map<std::string, std::shared_ptr<fault::Link>> Links;
  for (const auto &Text : Options->list("links")) {
    auto Created = makeLink(Context, Text);
    if (!Created)
      return core::reportBadUsage(Program);
    Links.emplace(Created->name(), Created);
  }

  httplib::Server Server;
  fault::ControlApi Control(Context, Links);
  Control.registerRoutes(Server);
  int Port = static_cast<int>(Options->integer("control-port"));
  bool Bound = Port == 0 ? (Port = Server.bind_to_any_port("127.0.0.1")) > 0
                         : Server.bind_to_port("127.0.0.1", Port);
  if (!Bound) {
    core::fail(core::ErrorKind::Unavailable,
               "the control port is in use; give a free --control-port");
    return core::reportBadUsage(Program);
  }
  std::cout << "control_port=" << Port;
  for (const auto &[Name, Known] : Links)
    std::cout << ' ' << Name << '=' << Known->port();
  std::cout << std::endl;

  // The context runs until the control server has stopped, since its requests wait for the context.
  std::thread ControlThread([&Server, &Context] {
    Server.listen_after_bind();
    Context.stop();
  });
  auto KeepRunning = boost::asio::make_work_guard(Context);
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&Server](boost::system::error_code, int) { Server.stop(); });
  Context.run();
  ControlThread.join();
  return static_cast<int>(core::ExitStatus::Success);
}
