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

/// Bounds on what a server reads and how long it waits.
struct HttpServerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 262144;
  core::Duration HeaderTime = std::chrono::seconds(3); ///< For a request, from its first byte.
  core::Duration IdleTime = std::chrono::seconds(15);  ///< Between requests.
  std::size_t Connections = 1024;                      ///< More are closed at once.
};

class HttpSession;

/// HTTP/1.1 server on one address. Everything happens on the reactor's thread.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Returns an empty pointer with Unavailable when the address cannot be bound.
  static std::shared_ptr<HttpServer> listen(asio::io_context &Reactor, const Tcp::endpoint &Address,
                                            Handler OnRequest);

  HttpServer(asio::io_context &Reactor, Handler OnRequest);
  ~HttpServer();

  /// In force from the next request of each connection on.
  void setLimits(const HttpServerLimits &Limits) { Limits_ = Limits; }
  const HttpServerLimits &limits() const { return Limits_; }

  /// From now on each reply asks its client to close the connection, and connections without a
  /// request are closed once they have been idle for a short while.
  void beginDrain();
  bool isDraining() const { return IsDraining_; }

  /// Stops listening.
  void stopListening();

  /// Where it listens, with the port that was taken.
  Tcp::endpoint address() const { return Acceptor_.local_endpoint(); }

  std::size_t connections() const { return Sessions_.size(); }

  /// Requests that have been read and not answered.
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
