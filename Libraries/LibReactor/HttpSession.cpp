#include "Libraries/LibReactor/HttpSession.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

#include <poll.h>

#include <algorithm>
#include <utility>

namespace cornellift::reactor {
namespace {

/// How long an idle connection stays open during a drain, for a request that is already in transit.
constexpr core::Duration DrainIdleTimeout = std::chrono::milliseconds(1500);
/// Upper bound on the body of a request, whatever limit is configured: memory is reserved for the
/// length that a request states.
constexpr std::uint64_t MaximumRequestBytes = 16U << 20;
/// Interval between checks whether a client that has sent a further request before the reply has
/// closed the connection.
constexpr core::Duration CloseCheckInterval = std::chrono::milliseconds(50);

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
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  SessionExchange(std::shared_ptr<HttpSession> Session, Message Request)
      : Session_(std::move(Session)), Request_(std::move(Request)),
        ReceivedAt_(core::MonotonicClock::now()) {}

  HttpMethod method() const override {
    switch (Request_.method()) {
    case boost::beast::http::verb::get:
      return HttpMethod::Get;
    case boost::beast::http::verb::post:
      return HttpMethod::Post;
    case boost::beast::http::verb::delete_:
      return HttpMethod::Delete;
    default:
      return HttpMethod::Other;
    }
  }
  std::string_view target() const override {
    return {Request_.target().data(), Request_.target().size()};
  }
  std::string_view host() const override { return header("Host"); }
  std::string_view header(std::string_view Name) const override {
    auto Value = Request_[boost::beast::string_view(Name.data(), Name.size())];
    return {Value.data(), Value.size()};
  }
  std::string_view body() const override { return Request_.body(); }
  core::TimePoint receivedAt() const override { return ReceivedAt_; }

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
  }

private:
  std::shared_ptr<HttpSession> Session_;
  Message Request_;
  core::TimePoint ReceivedAt_;
  std::function<void()> DisconnectHandler_;
};

HttpSession::HttpSession(std::shared_ptr<HttpServer> Server, Tcp::socket Socket)
    : Server_(std::move(Server)), Socket_(std::move(Socket)), Timer_(Socket_.get_executor()) {
  Server_->Sessions_.insert(this);
}

HttpSession::~HttpSession() { Server_->Sessions_.erase(this); }

void HttpSession::start() {
  boost::system::error_code Ignored; // The connection works without the option, too.
  Socket_.set_option(Tcp::no_delay(true), Ignored);
  awaitRequest();
}

void HttpSession::drain() {
  if (Phase_ == Phase::Idle)
    armTimer(DrainIdleTimeout);
}

void HttpSession::awaitRequest() {
  Phase_ = Phase::Idle;
  armTimer(Server_->IsDraining_ ? DrainIdleTimeout : Server_->Limits_.IdleTime);
  if (Buffer_.size() > 0)
    return firstByteArrived({});
  Socket_.async_wait(Tcp::socket::wait_read,
                     [Self = shared_from_this()](boost::system::error_code Error) {
                       Self->firstByteArrived(Error);
                     });
}

void HttpSession::firstByteArrived(boost::system::error_code Error) {
  if (Phase_ != Phase::Idle)
    return;
  if (Error)
    return close();
  Phase_ = Phase::Reading;
  armTimer(Server_->Limits_.HeaderTime);
  readRequest();
}

void HttpSession::readRequest() {
  Parser_.emplace();
  Parser_->header_limit(Server_->Limits_.HeaderBytes);
  Parser_->body_limit(std::min(Server_->Limits_.BodyBytes, MaximumRequestBytes));
  boost::beast::http::async_read(
      Socket_, Buffer_, *Parser_,
      [Self = shared_from_this()](boost::system::error_code Error, std::size_t) {
        Self->requestRead(Error);
      });
}

void HttpSession::requestRead(boost::system::error_code Error) {
  if (Phase_ != Phase::Reading)
    return;
  namespace http = boost::beast::http;
  if (Error == http::error::body_limit)
    return refuse(413);
  if (Error == http::error::header_limit)
    return refuse(431);
  bool IsProtocolError = Error.category() == make_error_code(http::error::bad_method).category();
  if (Error && IsProtocolError && Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return refuse(400);
  // If this process was paused, the socket may hold a request whose client has disconnected and has
  // submitted its job to another process.
  if (Error || isClosedByPeer())
    return close();
  Phase_ = Phase::Answering;
  ++TimerGeneration_;
  Timer_.cancel();
  auto Request = Parser_->release();
  CloseAfterReply_ = !Request.keep_alive();
  auto Exchange = std::make_shared<SessionExchange>(shared_from_this(), std::move(Request));
  Exchange_ = Exchange;
  ++Server_->OpenRequests_;
  watchForClose();
  Server_->OnRequest_(std::move(Exchange));
}

void HttpSession::refuse(unsigned Status) {
  ++Server_->OpenRequests_;
  Phase_ = Phase::Answering;
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
  if (!isClosedByPeer())
    return checkForCloseLater();
  auto Exchange = Exchange_.lock();
  close();
  if (Exchange)
    Exchange->clientDisconnected();
}

void HttpSession::send(const HttpReply &Reply) {
  if (Phase_ != Phase::Answering)
    return;
  Phase_ = Phase::Writing;
  --Server_->OpenRequests_;
  CloseAfterReply_ = CloseAfterReply_ || Server_->IsDraining_;
  renderReply(Reply, CloseAfterReply_, Outgoing_);
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
  if (Phase_ == Phase::Answering)
    --Server_->OpenRequests_;
  Phase_ = Phase::Closed;
  Timer_.cancel();
  boost::system::error_code Ignored; // The connection is abandoned in any case.
  Socket_.close(Ignored);
}

} // namespace cornellift::reactor
