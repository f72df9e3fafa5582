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

/// Limits of one server.
struct ServerLimits {
  std::size_t Connections = 512;      ///< Threads; each serves one connection at a time.
  std::size_t QueuedConnections = 64; ///< Waiting for a thread; further ones are rejected.
  std::size_t BodyBytes = 8ULL << 20; ///< Limit for the body of a request.
  core::Duration IdleTime = std::chrono::seconds(5);      ///< Between two requests.
  core::Duration TransferTime = std::chrono::seconds(10); ///< Limit for one request or response.
};

/// Paths of the certificate and key files in PEM format; plain HTTP when the certificate is empty.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
};

/// HTTP server on its own threads. Routes are matched by method and path prefix, in the order in
/// which they were added.
///
/// When all threads are busy, the connection that has been idle longest is closed, so that idle
/// connections cannot lock out new ones.
class HttpServer {
public:
  using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

  explicit HttpServer(ServerLimits Limits = {}, const TlsFiles &Tls = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Adds a route. Call before start().
  void route(std::string_view Method, std::string_view PathPrefix, Handler Handle);

  /// Sets the function that returns the body of an error response that the server itself generates,
  /// such as for an unknown path or a body that is too large. Call before start().
  void setErrorBody(std::function<std::string(int Status)> Body);

  /// Binds and starts serving; port 0 selects a free one. Returns false with Malformed when the TLS
  /// files cannot be read, and with Unavailable when the address cannot be bound.
  bool start(const std::string &Address, int Port);

  int port() const { return Port_; }

  /// Makes each response close its connection from now on.
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
