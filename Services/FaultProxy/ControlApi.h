#pragma once

#include "Services/FaultProxy/Link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <httplib.h>
#include <nlohmann/json_fwd.hpp>

namespace cornellift::fault {

/// The control interface of the proxy over HTTP. Every request is executed on the I/O thread before
/// it is answered, so that a fault is in effect when the caller receives the reply.
class ControlApi {
public:
  ControlApi(boost::asio::io_context &Context, std::map<std::string, std::shared_ptr<Link>> Links);

  /// Adds GET /links, and POST /links/NAME/{rule,admission,delay,open,heal}. NAME may end in `*`.
  void registerRoutes(httplib::Server &Server);

private:
  using Change = std::function<bool(Link &, const nlohmann::json &)>;

  void addChange(httplib::Server &Server, const std::string &Verb, Change Apply);
  bool applyToMatching(const std::string &Pattern, const nlohmann::json &Body, const Change &Apply);

  boost::asio::io_context &Context_;
  std::map<std::string, std::shared_ptr<Link>> Links_;
  std::uint64_t NextRule_ = 1;
};

} // namespace cornellift::fault
