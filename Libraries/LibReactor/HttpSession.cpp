#include "Libraries/LibReactor/HttpSession.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <poll.h>

#include <algorithm>
#include <utility>

namespace cornellift::reactor {
namespace {

/// How long an idle connection stays open during a drain, for a request that is already in transit.
constexpr core::Duration DrainIdleTimeout = std::chrono::milliseconds(1500);
/// Upper bound on the body of a request, whatever limit is configured.
constexpr std::uint64_t MaximumRequestBytes = 16U << 20;
/// Interval between checks whether a client that has sent a further request before the reply has
/// closed the connection.
constexpr core::Duration CloseCheckInterval = std::chrono::milliseconds(50);

/// How long a client may take its answer before its connection can be closed to make room.
constexpr core::Duration AnswerTakingTime = std::chrono::seconds(1);
/// Counted for each connection: the session, its timer and its descriptor.
constexpr std::size_t ConnectionBytes = 4096;
/// Capacity of the buffer for replies that a session keeps from one reply to the next.
constexpr std::size_t KeptCapacity = 1024;
/// Replies below this status show that the client's request was served.
constexpr unsigned FirstStatusNotServed = 300;

/// Tells the client of a connection that is closed to make room: its request has not run.
constexpr std::string_view ShedReply = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                                       "Connection: close\r\nContent-Length: 0\r\n\r\n";

/// Asks a client for the body that it holds back until then.
constexpr std::string_view ContinueReply = "HTTP/1.1 100 Continue\r\n\r\n";

void renderReply(const HttpReply &Reply, bool Close, std::string &Out) {
  Out.clear();
  auto Reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(Reply.Status));
  Out.append("HTTP/1.1 ").append(std::to_string(Reply.Status)).append(" ");
  Out.append(Reason.data(), Reason.size());
  Out.append("\r\n");
  for (const auto &[Name, Value] : Reply.Headers)
    Out.append(Name).append(": ").append(Value).append("\r\n");
  if (!Reply.Body.empty())
    Out.append("Content-Type: application/json\r\n");
  if (Close)
    Out.append("Connection: close\r\n");
  Out.append("Content-Length: ").append(std::to_string(Reply.Body.size())).append("\r\n\r\n");
  Out.append(Reply.Body);
}

} // namespace

/// The exchange for a session's current request. It may outlive the connection.
class SessionExchange final : public HttpExchange {
public:
  SessionExchange(std::shared_ptr<HttpSession> Session, ReceivedRequest Request)
      : Session_(std::move(Session)), Request_(std::move(Request)),
        ReceivedAt_(core::MonotonicClock::now()) {}

  HttpMethod method() const override { return Request_.method(); }
  std::string_view target() const override { return Request_.target(); }
  std::string_view host() const override { return header("Host"); }
  std::string_view header(std::string_view Name) const override { return Request_.header(Name); }
  std::string_view body() const override { return Request_.body(); }
  bool isBodyDropped() const override { return Request_.isBodyDropped(); }
  core::TimePoint receivedAt() const override { return ReceivedAt_; }

  bool replaceBody(std::size_t Bytes) override {
    Request_.releaseBody();
    return !Session_ || Session_->holdJob(Request_.memory() + Bytes);
  }

  void reply(const HttpReply &Reply) override {
    DisconnectHandler_ = nullptr;
    if (auto Session = std::exchange(Session_, nullptr))
      Session->send(Reply);
  }

  void setDisconnectHandler(std::function<void()> Handler) override {
    DisconnectHandler_ = std::move(Handler);
  }

  void clientDisconnected() {
    Session_ = nullptr;
    if (auto Handler = std::exchange(DisconnectHandler_, nullptr))
      Handler();
    Request_ = {}; // Whoever keeps the exchange holds memory that no session counts any more.
  }

private:
  std::shared_ptr<HttpSession> Session_;
  ReceivedRequest Request_;
  core::TimePoint ReceivedAt_;
  std::function<void()> DisconnectHandler_;
};

HttpSession::HttpSession(std::shared_ptr<HttpServer> Server, Tcp::socket Socket)
    : Server_(std::move(Server)), Socket_(std::move(Socket)), Timer_(Socket_.get_executor()) {
  Server_->Sessions_.insert(this);
}

HttpSession::~HttpSession() { leave(); }

void HttpSession::start() {
  boost::system::error_code Error;
  Socket_.non_blocking(true, Error); // For readable().
  if (Error || !holdMemory(0))
    return close();
  Socket_.set_option(Tcp::no_delay(true), Error); // The connection works without it, too.
  awaitRequest();
}

void HttpSession::drain() {
  if (Phase_ == Phase::Idle)
    armTimer(DrainIdleTimeout);
}

void HttpSession::awaitRequest() {
  Phase_ = Phase::Idle;
  WaitingSince_ = core::MonotonicClock::now();
  Unread_ = 0;
  holdMemory(Unparsed_.capacity());
  armTimer(Server_->IsDraining_ ? DrainIdleTimeout : Server_->Limits_.IdleTime);
  if (Unparsed_.empty())
    return awaitReadable();
  beginRequest();
  parse(std::exchange(Unparsed_, {}));
}

void HttpSession::awaitReadable() {
  Socket_.async_wait(
      Tcp::socket::wait_read,
      [Self = shared_from_this()](boost::system::error_code Error) { Self->readable(Error); });
}

void HttpSession::readable(boost::system::error_code Error) {
  if (Phase_ != Phase::Idle && Phase_ != Phase::Reading)
    return;
  // All sessions read into one buffer, so that a silent connection holds none.
  auto &Buffer = Server_->ReadBuffer_;
  std::size_t Length = Error ? 0 : Socket_.read_some(asio::buffer(Buffer), Error);
  if (Error == asio::error::would_block)
    return awaitReadable();
  if (Error)
    return close();
  if (Phase_ == Phase::Idle)
    beginRequest();
  std::string_view Received(Buffer.data(), Length);
  if (Unparsed_.empty())
    return parse(Received);
  Unparsed_.append(Received);
  parse(std::exchange(Unparsed_, {}));
}

void HttpSession::beginRequest() {
  Phase_ = Phase::Reading;
  IsContinueSent_ = false;
  WaitingSince_ = core::MonotonicClock::now();
  armTimer(Server_->Limits_.HeaderTime);
  Parser_.emplace(Server_->Limits_.HeaderBytes,
                  std::min(Server_->Limits_.BodyBytes, MaximumRequestBytes), Server_->TakesBody_);
}

void HttpSession::parse(std::string_view Received) {
  namespace http = boost::beast::http;
  boost::system::error_code Error;
  for (std::size_t Taken = 1; Taken > 0 && !Received.empty() && !Error && !Parser_->is_done();) {
    Taken = Parser_->put(asio::buffer(Received), Error);
    Received.remove_prefix(Taken);
  }
  if (Error && Error != http::error::need_more)
    return requestFailed(Error);
  // A line of a chunk may be of any length.
  if (!Parser_->is_done() && Received.size() > Server_->Limits_.HeaderBytes)
    return requestFailed(http::error::header_limit);
  Unparsed_.assign(Received);
  if (!holdMemory(Parser_->request().memory() + Unparsed_.capacity())) {
    ++Server_->Counters_.ShedForMemory;
    return shed();
  }
  if (Parser_->is_done())
    return requestRead();
  if (!IsContinueSent_ && Parser_->awaitsContinue())
    sendContinue();
  if (Phase_ == Phase::Reading)
    awaitReadable();
}

void HttpSession::sendContinue() {
  IsContinueSent_ = true;
  boost::system::error_code Error;
  auto Length = Socket_.write_some(asio::buffer(ContinueReply), Error);
  // A client that does not take it sends its body after a while; a part of it would garble the
  // reply.
  if (Length > 0 && Length < ContinueReply.size())
    close();
}

void HttpSession::requestFailed(boost::system::error_code Error) {
  namespace http = boost::beast::http;
  Unparsed_ = {};
  if (Error == http::error::body_limit)
    return refuse(413);
  if (Error == http::error::header_limit)
    return refuse(431);
  refuse(400);
}

void HttpSession::requestRead() {
  // If this process was paused, the socket may hold a request whose client has disconnected and has
  // submitted its job to another process.
  if (isClosedByPeer())
    return close();
  Phase_ = Phase::Answering;
  ++TimerGeneration_;
  Timer_.cancel();
  auto Request = Parser_->release();
  Parser_.reset();
  CloseAfterReply_ = !Request.keepAlive();
  auto Exchange = std::make_shared<SessionExchange>(shared_from_this(), std::move(Request));
  Exchange_ = Exchange;
  ++Server_->OpenRequests_;
  watchForClose();
  Server_->OnRequest_(std::move(Exchange));
}

bool HttpSession::holdMemory(std::size_t Bytes) {
  auto Former = std::exchange(Memory_, ConnectionBytes + Bytes + Unread_);
  return Server_->changeMemory(*this, Former, Memory_);
}

bool HttpSession::holdJob(std::size_t Bytes) {
  bool HasRoom = holdMemory(Bytes + Unparsed_.capacity());
  Server_->Counters_.RefusedForMemory += HasRoom ? 0 : 1;
  return HasRoom;
}

bool HttpSession::isSheddable(core::TimePoint Now) const {
  if (Phase_ == Phase::Writing)
    return Now >= WaitingSince_ + AnswerTakingTime;
  return Phase_ != Phase::Answering && Phase_ != Phase::Closed;
}

void HttpSession::shed() {
  if (Phase_ == Phase::Reading && Parser_ && Parser_->is_header_done()) {
    boost::system::error_code Ignored; // The connection ends in any case.
    Socket_.write_some(asio::buffer(ShedReply), Ignored);
  }
  close();
}

void HttpSession::refuse(unsigned Status) {
  ++Server_->OpenRequests_;
  Phase_ = Phase::Answering;
  Parser_.reset();
  CloseAfterReply_ = true;
  send({Status, {}, {}});
}

void HttpSession::watchForClose() {
  Socket_.async_wait(Tcp::socket::wait_read,
                     [Self = shared_from_this()](boost::system::error_code Error) {
                       if (!Error)
                         Self->socketReadable();
                     });
}

void HttpSession::checkForCloseLater() {
  auto Generation = ++TimerGeneration_;
  Timer_.expires_after(CloseCheckInterval);
  Timer_.async_wait([Weak = weak_from_this(), Generation](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (!Error && Self && Generation == Self->TimerGeneration_)
      Self->socketReadable();
  });
}

bool HttpSession::isClosedByPeer() {
  // A close is reported even if there are bytes before it that were not read.
  pollfd Watched{Socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&Watched, 1, 0) > 0;
}

void HttpSession::socketReadable() {
  if (Phase_ != Phase::Answering)
    return;
  // A pipelined request has arrived; it is read after the reply, and keeps the socket readable.
  if (!isClosedByPeer()) {
    countUnread();
    return checkForCloseLater();
  }
  auto Exchange = Exchange_.lock();
  close();
  if (Exchange)
    Exchange->clientDisconnected();
}

void HttpSession::countUnread() {
  boost::system::error_code Error;
  auto Unread = Socket_.available(Error);
  if (Error || Unread == Unread_)
    return;
  auto Former = std::exchange(Memory_, Memory_ - Unread_ + Unread);
  Unread_ = Unread;
  Server_->changeMemory(*this, Former, Memory_);
}

void HttpSession::send(const HttpReply &Reply) {
  if (Phase_ != Phase::Answering)
    return;
  Phase_ = Phase::Writing;
  --Server_->OpenRequests_;
  CloseAfterReply_ = CloseAfterReply_ || Server_->IsDraining_;
  IsProven_ = IsProven_ || Reply.Status < FirstStatusNotServed;
  renderReply(Reply, CloseAfterReply_, Outgoing_);
  WaitingSince_ = core::MonotonicClock::now();
  holdMemory(Unparsed_.capacity() + Outgoing_.capacity());
  armTimer(Server_->Limits_.IdleTime);
  asio::async_write(Socket_, asio::buffer(Outgoing_),
                    [Self = shared_from_this()](boost::system::error_code Error, std::size_t) {
                      Self->sent(Error);
                    });
}

void HttpSession::sent(boost::system::error_code Error) {
  if (Phase_ != Phase::Writing)
    return;
  if (Error)
    return close();
  if (Outgoing_.capacity() > KeptCapacity)
    Outgoing_ = {};
  if (!CloseAfterReply_) {
    Socket_.cancel(Error); // Cancels the wait of watchForClose().
    return awaitRequest();
  }
  // Closing a socket with unread data would reset the connection and could lose the reply.
  Socket_.shutdown(Tcp::socket::shutdown_send, Error);
  close();
}

void HttpSession::armTimer(core::Duration Span) {
  auto Generation = ++TimerGeneration_;
  Timer_.expires_after(Span);
  Timer_.async_wait([Weak = weak_from_this(), Generation](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (!Error && Self && Generation == Self->TimerGeneration_)
      Self->close();
  });
}

void HttpSession::close() {
  leave();
  Timer_.cancel();
  boost::system::error_code Ignored; // The connection is abandoned in any case.
  Socket_.close(Ignored);
}

void HttpSession::leave() {
  if (Phase_ == Phase::Closed)
    return;
  if (Phase_ == Phase::Answering)
    --Server_->OpenRequests_;
  Phase_ = Phase::Closed;
  Server_->Sessions_.erase(this);
  Server_->releaseMemory(std::exchange(Memory_, 0));
  // Pending operations keep the object a little longer.
  Parser_.reset();
  Unparsed_ = {};
}

} // namespace cornellift::reactor
