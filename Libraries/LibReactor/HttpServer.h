#pragma once

#include "Libraries/LibReactor/Asio.h"
#include "Libraries/LibReactor/HttpExchange.h"
#include "Libraries/LibReactor/RequestParser.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cornellift::reactor {

/// Limits on the size of requests, on waiting times, and on what all clients together may make the
/// process hold.
struct HttpServerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 262144;                    ///< 16 MB at most.
  core::Duration HeaderTime = std::chrono::seconds(3); ///< To read a request, from its first byte.
  core::Duration IdleTime = std::chrono::seconds(15);  ///< Without a request on a connection.
  /// When all are taken, those that have been silent for longest are closed.
  std::size_t Connections = 1024;
  /// For connections, requests being read, their jobs and answers that were not taken yet. When it
  /// is used up, connections that hold most for longest are closed.
  std::size_t MemoryBytes = std::numeric_limits<std::size_t>::max();
};

/// How often limits were met, since the start.
struct HttpServerCounters {
  std::uint64_t ShedForMemory = 0;      ///< Connections closed to free memory.
  std::uint64_t ShedForConnections = 0; ///< Connections closed to accept others.
  std::uint64_t NotAccepted = 0;        ///< Closed at once: all others have open requests.
  std::uint64_t RefusedForMemory = 0;   ///< Requests for whose jobs there was no room.
};

class HttpSession;

/// HTTP/1.1 server on one address. It runs entirely on the reactor's thread.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  using BodyFilter = RequestParser::BodyFilter;

  /// Starts a server. Returns an empty pointer with Unavailable if the address cannot be bound.
  static std::shared_ptr<HttpServer> listen(asio::io_context &Reactor, const Tcp::endpoint &Address,
                                            Handler OnRequest);

  HttpServer(asio::io_context &Reactor, Handler OnRequest);
  ~HttpServer();

  /// Takes effect with the next request on each connection.
  void setLimits(const HttpServerLimits &Limits) { Limits_ = Limits; }
  const HttpServerLimits &limits() const { return Limits_; }

  /// Sets which requests have their bodies kept; without a filter all have. Other bodies are
  /// dropped as they arrive, except short ones.
  void setBodyFilter(BodyFilter TakesBody) { TakesBody_ = std::move(TakesBody); }

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

  /// Bytes that clients make the process hold.
  std::size_t memoryUsed() const { return MemoryUsed_; }

  const HttpServerCounters &counters() const { return Counters_; }

private:
  friend class HttpSession;

  void acceptNext();
  void accepted(Tcp::socket Socket);

  /// Changes what a session holds from Former to Changed bytes, and sheds other sessions if there
  /// is no room. Returns false if it needs more and the limit is exceeded even so.
  bool changeMemory(const HttpSession &Asking, std::size_t Former, std::size_t Changed);
  void releaseMemory(std::size_t Bytes) { MemoryUsed_ -= Bytes; }
  void shedForMemory(const HttpSession &Asking, std::size_t Limit);
  void shedForConnections();
  /// Logs the first time that a limit is met after a pause.
  void logLimitMet(std::string_view Limit);

  asio::io_context &Reactor_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  Handler OnRequest_;
  BodyFilter TakesBody_;
  HttpServerLimits Limits_;
  HttpServerCounters Counters_;
  std::unordered_set<HttpSession *> Sessions_; ///< Those that are not closed.
  std::size_t MemoryUsed_ = 0;
  std::vector<char> ReadBuffer_; ///< Shared by all sessions while they read.
  core::TimePoint LimitMetAt_;
  std::size_t OpenRequests_ = 0;
  bool IsDraining_ = false;
};

} // namespace cornellift::reactor
