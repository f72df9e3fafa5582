#pragma once

#include "Libraries/LibReactor/HttpConnection.h"

#include <deque>
#include <memory>
#include <vector>

namespace cornellift::reactor {

/// Calls to one address over a bounded set of keep-alive connections. Calls beyond the bound wait
/// for a connection until their deadline.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
  HttpClient(asio::io_context &Reactor, Tcp::endpoint Remote, std::size_t MaximumConnections);

  /// The handler is called exactly once, at the deadline at the latest, and never before call() or
  /// close() has returned.
  void call(HttpRequest Request, core::TimePoint Deadline, HttpResultHandler Handler);

  /// Drops all connections; open calls fail.
  void close();

  /// Connections made so far.
  std::uint64_t connectionsMade() const { return ConnectionsMade_; }

private:
  struct WaitingCall {
    HttpRequest Request;
    core::TimePoint Deadline;
    HttpResultHandler Handler;
  };

  void failLater(HttpResultHandler Handler);
  void dispatchWaitingCalls();
  void connectionChanged(const std::shared_ptr<HttpConnection> &Connection);
  void open(core::TimePoint Deadline);
  void failExpiredCalls();
  std::shared_ptr<HttpConnection> idleConnection() const;
  std::size_t connectingCount() const;

  asio::io_context &Reactor_;
  Tcp::endpoint Remote_;
  std::size_t MaximumConnections_;
  std::vector<std::shared_ptr<HttpConnection>> Connections_;
  std::deque<WaitingCall> Waiting_;
  std::uint64_t ConnectionsMade_ = 0;
  bool Closed_ = false;
};

} // namespace cornellift::reactor
