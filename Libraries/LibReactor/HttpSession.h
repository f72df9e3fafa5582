#pragma once

#include "Libraries/LibReactor/HttpServer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace cornellift::reactor {

class SessionExchange;

/// One client's connection to an HttpServer. It handles one request at a time. Pending operations
/// keep the object alive.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(std::shared_ptr<HttpServer> Server, Tcp::socket Socket);
  ~HttpSession();

  void start();

  /// Closes the connection after DrainIdleTimeout if it is idle; otherwise after the next reply.
  void drain();

private:
  friend class SessionExchange;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class Phase { Idle, Reading, Answering, Writing, Closed };

  void awaitRequest();
  void firstByteArrived(boost::system::error_code Error);
  void readRequest();
  void requestRead(boost::system::error_code Error);
  void refuse(unsigned Status);
  void watchForClose();
  void socketReadable();
  void checkForCloseLater();
  /// Returns whether the client has closed the connection.
  bool isClosedByPeer();
  void send(const HttpReply &Reply);
  void sent(boost::system::error_code Error);
  void armTimer(core::Duration Span);
  void close();

  std::shared_ptr<HttpServer> Server_;
  Tcp::socket Socket_;
  asio::steady_timer Timer_;
  Phase Phase_ = Phase::Idle;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::weak_ptr<SessionExchange> Exchange_;
  std::string Outgoing_;
  bool CloseAfterReply_ = false;
  std::uint64_t TimerGeneration_ = 0;
};

} // namespace cornellift::reactor
