#pragma once

#include "Libraries/LibHttp/HttpServer.h"
#include "Services/EndpointStandIn/StandInControls.h"
#include "Services/EndpointStandIn/StandInEndpoint.h"

#include <string>

namespace cornellift::standin {

/// One endpoint with its HTTP server: the endpoint interface of docs/API.md and POST /control/.
class StandInApi {
public:
  /// Connections is the number served at once; further ones wait.
  StandInApi(EndpointOptions Options, std::size_t Connections, StandInLog &Log);

  /// Returns false with Unavailable when the port cannot be bound; port 0 selects a free
  /// one.
  bool start(const std::string &Address, int Port) { return Server_.start(Address, Port); }

  int port() const { return Server_.port(); }

  /// Refuses new starts from this call on.
  void leave() { Endpoint_.leave(); }

  /// Waits for the running tasks to end, then stops the server.
  void stop();

private:
  void addRoutes();
  void answer(httplib::Response &Response, const Answer &Content);

  StandInControls Controls_;
  StandInEndpoint Endpoint_;
  http::HttpServer Server_;
};

} // namespace cornellift::standin
