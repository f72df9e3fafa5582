#pragma once

#include "Libraries/LibReactor/HttpServer.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

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

  /// Returns whether the connection may be closed to make room for others: a request that was read
  /// completely is always answered, and its client has some time to take the answer.
  bool isSheddable(core::TimePoint Now) const;
  /// Returns whether a request of this client was served.
  bool isProven() const { return IsProven_; }
  /// Since when it is idle, or its request is being read, or its client takes the answer.
  core::TimePoint waitingSince() const { return WaitingSince_; }
  std::size_t memory() const { return Memory_; }

  /// Closes the connection at once. A request whose header was read is refused as not run if its
  /// client takes the refusal without delay.
  void shed();

private:
  friend class SessionExchange;
  enum class Phase { Idle, Reading, Answering, Writing, Closed };

  void awaitRequest();
  void awaitReadable();
  void readable(boost::system::error_code Error);
  void beginRequest();
  void parse(std::string_view Received);
  /// Asks for the body if the client waits for that.
  void sendContinue();
  void requestRead();
  void requestFailed(boost::system::error_code Error);
  void refuse(unsigned Status);
  /// Counts that many bytes as held for this client, besides the connection itself. Returns false
  /// if these are more and exceed the server's limit; the caller frees them then, or refuses the
  /// request.
  bool holdMemory(std::size_t Bytes);
  /// The same for the job that takes the place of the request's body.
  bool holdJob(std::size_t Bytes);
  void watchForClose();
  void socketReadable();
  void checkForCloseLater();
  /// Counts what a client has sent ahead, which the system holds for the process.
  void countUnread();
  /// Returns whether the client has closed the connection.
  bool isClosedByPeer();
  void send(const HttpReply &Reply);
  void sent(boost::system::error_code Error);
  void armTimer(core::Duration Span);
  void close();
  /// Ends what the server counts and holds for this session.
  void leave();

  std::shared_ptr<HttpServer> Server_;
  Tcp::socket Socket_;
  asio::steady_timer Timer_;
  Phase Phase_ = Phase::Idle;
  core::TimePoint WaitingSince_;
  std::string Unparsed_; ///< Received, but too short for the parser, or behind the request.
  std::optional<RequestParser> Parser_;
  std::weak_ptr<SessionExchange> Exchange_;
  std::string Outgoing_;
  std::size_t Memory_ = 0;      ///< Bytes counted by the server for this client.
  std::size_t Unread_ = 0;      ///< Of these, sent ahead and not read yet.
  bool IsContinueSent_ = false; ///< For the request that is being read.
  bool CloseAfterReply_ = false;
  bool IsProven_ = false;
  std::uint64_t TimerGeneration_ = 0;
};

} // namespace cornellift::reactor
