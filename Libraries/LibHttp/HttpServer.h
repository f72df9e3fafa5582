#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <httplib.h>

namespace cornellift::http {

/// Bounds of one server.
struct ServerLimits {
  std::size_t Connections = 512;      ///< Threads; one serves one connection at a time.
  std::size_t QueuedConnections = 64; ///< Waiting for a thread; further ones are refused.
  std::size_t BodyBytes = 8ULL << 20;
  core::Duration IdleTime = std::chrono::seconds(5);      ///< Between two requests.
  core::Duration TransferTime = std::chrono::seconds(10); ///< Of one request or response.
};

/// Certificate and key files in PEM form; plain HTTP when the certificate is empty.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
};

/// HTTP server on its own threads. Routes are matched in the order in which they were added: method
/// and path prefix.
///
/// When all threads are taken, the connection that has been idle longest is closed, so that idle
/// connections cannot keep callers out.
class HttpServer {
public:
  using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

  explicit HttpServer(ServerLimits Limits = {}, const TlsFiles &Tls = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Adds a route. Call before start().
  void route(std::string_view Method, std::string_view PathPrefix, Handler Handle);

  /// Fills the body of responses that the server itself makes, such as for a body that is too large
  /// or an unknown path, given the HTTP status. Call before start().
  void setErrorBody(std::function<std::string(int Status)> Body);

  /// Binds and starts serving; port 0 takes a free one. Returns false with Unavailable when the
  /// address cannot be bound.
  bool start(const std::string &Address, int Port);

  int port() const { return Port_; }

  /// From now on each response closes its connection.
  void beginClosing();

  /// Stops accepting, lets running requests finish, and joins all threads.
  void stop();

private:
  class Listener;
  class PlainListener;
  class TlsListener;
  struct Route;

  void dispatch(const httplib::Request &Request, httplib::Response &Response) const;

  std::unique_ptr<Listener> Listener_;
  std::vector<Route> Routes_;
  std::function<std::string(int)> ErrorBody_;
  std::thread Thread_;
  int Port_ = 0;
};

} // namespace cornellift::http
