#pragma once

#include "Libraries/LibReactor/Asio.h"
#include "Libraries/LibReactor/HttpExchange.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace cornellift::reactor {

/// Limits on the size of requests, on waiting times and on the number of connections.
struct HttpServerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 262144;                    ///< 16 MB at most.
  core::Duration HeaderTime = std::chrono::seconds(3); ///< To read a request, from its first byte.
  core::Duration IdleTime = std::chrono::seconds(15);  ///< Without a request on a connection.
  std::size_t Connections = 1024;                      ///< Further ones are closed at once.
};

class HttpSession;

/// HTTP/1.1 server on one address. It runs entirely on the reactor's thread.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Starts a server. Returns an empty pointer with Unavailable if the address cannot be bound.
  static std::shared_ptr<HttpServer> listen(asio::io_context &Reactor, const Tcp::endpoint &Address,
                                            Handler OnRequest);

  HttpServer(asio::io_context &Reactor, Handler OnRequest);
  ~HttpServer();

  /// Takes effect with the next request on each connection.
  void setLimits(const HttpServerLimits &Limits) { Limits_ = Limits; }
  const HttpServerLimits &limits() const { return Limits_; }

  /// Starts a graceful shutdown: each reply asks the client to close the connection, and
  /// connections that stay idle for a short time are closed.
  void beginDrain();
  bool isDraining() const { return IsDraining_; }

  /// Stops accepting connections; existing ones are kept.
  void stopListening();

  /// Address that the server listens on, with the actual port.
  Tcp::endpoint address() const { return Acceptor_.local_endpoint(); }

  std::size_t connections() const { return Sessions_.size(); }

  /// Number of requests that have been read and not yet answered.
  std::size_t openRequests() const { return OpenRequests_; }

private:
  friend class HttpSession;

  void acceptNext();
  void accepted(Tcp::socket Socket);

  asio::io_context &Reactor_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  Handler OnRequest_;
  HttpServerLimits Limits_;
  std::unordered_set<HttpSession *> Sessions_;
  std::size_t OpenRequests_ = 0;
  bool IsDraining_ = false;
};

} // namespace cornellift::reactor
