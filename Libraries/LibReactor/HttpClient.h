#pragma once

#include "Libraries/LibReactor/HttpConnection.h"

#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace cornellift::reactor {

/// HTTP client for one server with a bounded pool of keep-alive connections. Calls for which no
/// connection is free wait for one until their deadline. When a call gets no reply in time, the
/// idle connections are closed, too: whatever made its connection silent may have affected all of
/// them, and each would hold up another call until its deadline.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
  HttpClient(asio::io_context &Reactor, Tcp::endpoint Remote, std::size_t MaximumConnections);

  /// Sends a request. The handler is called exactly once, at the last deadline at the latest, and
  /// never before call() or close() has returned. A call whose deadline has passed before it could
  /// be written fails with NotSent, also if the process was paused meanwhile.
  void call(HttpRequest Request, CallDeadline Deadline, HttpResultHandler Handler);

  /// Closes all connections; pending calls fail.
  void close();

  /// Closes the connections without a call, so that the next call opens a new one.
  void closeIdleConnections();

  /// Number of connections opened so far.
  std::uint64_t connectionsMade() const { return ConnectionsMade_; }

private:
  struct WaitingCall {
    HttpRequest Request;
    CallDeadline Deadline;
    HttpResultHandler Handler;
  };

  void failLater(HttpResultHandler Handler, std::string_view Cause);
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
