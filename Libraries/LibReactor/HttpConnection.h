#pragma once

#include "Libraries/LibReactor/Asio.h"
#include "Libraries/LibReactor/BoundedBody.h"
#include "Libraries/LibReactor/CallDeadline.h"
#include "Libraries/LibReactor/HttpResult.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cornellift::reactor {

/// A keep-alive client connection that carries one call at a time. Pending operations keep the
/// object alive. A read is always pending, so that a close by the server is detected while the
/// connection is idle. The connection is reset when it ends, so that nothing of a call arrives
/// after the call was given up; a reply that was read is complete by then.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  enum class State { Connecting, Idle, Busy, Closed };

  /// Called when the connection has become idle or closed.
  using StateHandler = std::function<void(const std::shared_ptr<HttpConnection> &)>;

  HttpConnection(asio::io_context &Reactor, Tcp::endpoint Remote, StateHandler OnChange);
  ~HttpConnection();

  /// Connects, until the deadline at most. Calls OnChange when it has succeeded or failed.
  void open(core::TimePoint Deadline);

  /// Sends a request. The connection must be idle. The handler is called exactly once, at the last
  /// deadline at the latest. A call that is aborted closes the connection. A call whose deadline
  /// has passed fails with NotSent, and the connection stays idle.
  void call(const HttpRequest &Request, CallDeadline Deadline, HttpResultHandler Handler);

  /// Closes the connection; a pending call fails with NoReply.
  void close(const std::string &Cause);

  State state() const { return State_; }

  /// Returns whether the connection was ever established.
  bool wasOpened() const { return WasOpened_; }

  /// Returns whether the connection was closed because a call on it got no reply in time.
  bool hasTimedOut() const { return HasTimedOut_; }

private:
  /// Upper bound on the body of a reply. The largest replies are pages of the platform's store.
  static constexpr std::uint64_t MaximumReplyBytes = 16U << 20;
  using Parser = boost::beast::http::response_parser<BoundedBody<MaximumReplyBytes>>;

  /// Writes as much of the request as the socket takes at once.
  void writePart();
  void writable(boost::system::error_code Error);
  bool isWritten() const { return Written_ == Outgoing_.size(); }
  void readNext();
  void readPart();
  void partRead(boost::system::error_code Error);
  void readDone(boost::system::error_code Error);
  void armTimer(CallDeadline Deadline);
  void timerExpired();
  void finishCall(HttpResult Result);
  void setState(State Next);

  Tcp::socket Socket_;
  asio::steady_timer Timer_;
  Tcp::endpoint Remote_;
  StateHandler OnChange_;
  State State_ = State::Connecting;
  bool WasOpened_ = false;
  bool HasTimedOut_ = false;
  core::TimePoint OpenedAt_; ///< When the connection was established.
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::string Outgoing_;
  std::size_t Written_ = 0; ///< Bytes of Outgoing_ that the socket has taken.
  HttpResultHandler Handler_;
  CallDeadline Deadline_{core::TimePoint()}; ///< Of the connection attempt or the call.
  std::uint64_t TimerGeneration_ = 0; ///< Identifies the current timer; earlier ones are ignored.
};

} // namespace cornellift::reactor
