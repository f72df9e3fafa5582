#include "Libraries/LibReactor/HttpConnection.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include <string_view>
#include <utility>

namespace cornellift::reactor {
namespace {

std::string_view methodName(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Post:
    return "POST ";
  case HttpMethod::Delete:
    return "DELETE ";
  case HttpMethod::Get:
  case HttpMethod::Other:
    return "GET ";
  }
  return "GET ";
}

/// Renders the request into one buffer, so that it is written with one system call.
void renderRequest(const HttpRequest &Request, const Tcp::endpoint &Remote, std::string &Out) {
  Out.clear();
  Out.append(methodName(Request.Method)).append(Request.Target).append(" HTTP/1.1\r\nHost: ");
  Out.append(formatAddress(Remote)).append("\r\n");
  for (const auto &[Name, Value] : Request.Headers)
    Out.append(Name).append(": ").append(Value).append("\r\n");
  if (Request.Method == HttpMethod::Post || !Request.Body.empty())
    Out.append("Content-Type: application/json\r\nContent-Length: ")
        .append(std::to_string(Request.Body.size()))
        .append("\r\n");
  Out.append("\r\n").append(Request.Body);
}

} // namespace

HttpConnection::HttpConnection(asio::io_context &Reactor, Tcp::endpoint Remote,
                               StateHandler OnChange)
    : Socket_(Reactor), Timer_(Reactor), Remote_(std::move(Remote)),
      OnChange_(std::move(OnChange)) {}

HttpConnection::~HttpConnection() {
  // The socket's own destructor would turn the reset off.
  boost::system::error_code Ignored; // The connection is abandoned in any case.
  Socket_.close(Ignored);
}

void HttpConnection::open(core::TimePoint Deadline) {
  armTimer(Deadline);
  Socket_.async_connect(Remote_, [Self = shared_from_this()](boost::system::error_code Error) {
    if (Self->State_ != State::Connecting)
      return;
    ++Self->TimerGeneration_;
    // Every end of the connection resets it, also that of the process. Otherwise bytes of a call
    // that was given up would arrive whenever a partition ends.
    if (!Error)
      Self->Socket_.set_option(asio::socket_base::linger(true, 0), Error);
    if (!Error)
      Self->Socket_.non_blocking(true, Error); // For writePart().
    if (Error)
      return Self->close(Error.message());
    boost::system::error_code Ignored; // The connection works without the option, too.
    Self->Socket_.set_option(Tcp::no_delay(true), Ignored);
    Self->WasOpened_ = true;
    Self->OpenedAt_ = core::MonotonicClock::now();
    Self->readNext();
    Self->setState(State::Idle);
  });
}

void HttpConnection::call(const HttpRequest &Request, CallDeadline Deadline,
                          HttpResultHandler Handler) {
  renderRequest(Request, Remote_, Outgoing_);
  // The process may have been paused since the call was made.
  if (core::MonotonicClock::now() >= Deadline.next())
    return asio::post(Socket_.get_executor(), [Handler = std::move(Handler)] {
      Handler({std::nullopt, HttpFailure::NotSent, "timeout before the request was sent"});
    });
  State_ = State::Busy;
  Handler_ = std::move(Handler);
  armTimer(Deadline);
  Written_ = 0;
  writePart();
}

void HttpConnection::writePart() {
  boost::system::error_code Error;
  auto Rest = std::string_view(Outgoing_).substr(Written_);
  Written_ += Socket_.write_some(asio::buffer(Rest), Error);
  if (Error && Error != asio::error::would_block)
    // Posted, so that no handler is called from within call().
    return asio::post(Socket_.get_executor(),
                      [Self = shared_from_this(), Error] { Self->close(Error.message()); });
  if (!isWritten())
    Socket_.async_wait(Tcp::socket::wait_write,
                       [Self = shared_from_this()](boost::system::error_code Failure) {
                         Self->writable(Failure);
                       });
}

void HttpConnection::writable(boost::system::error_code Error) {
  if (State_ != State::Busy || isWritten())
    return;
  if (Error)
    return close(Error.message());
  // An asynchronous write would go on after a pause of the process before the timer is handled.
  if (core::MonotonicClock::now() >= Deadline_.next())
    return timerExpired();
  writePart();
}

void HttpConnection::close(const std::string &Cause) {
  if (State_ == State::Closed)
    return;
  bool WasBusy = State_ == State::Busy;
  State_ = State::Closed;
  Timer_.cancel();
  boost::system::error_code Ignored; // The connection is abandoned in any case.
  Socket_.close(Ignored);
  // Posted, so that the handler isn't called from within the owner's call of close().
  if (WasBusy)
    asio::post(Socket_.get_executor(), [Self = shared_from_this(), Cause] {
      Self->finishCall({std::nullopt, HttpFailure::NoReply, Cause});
    });
  if (auto OnChange = std::exchange(OnChange_, nullptr))
    OnChange(shared_from_this());
}

void HttpConnection::readNext() {
  Parser_.emplace();
  Parser_->body_limit(MaximumReplyBytes); // For replies that do not state their length.
  Parser_->eager(true);                   // Parses a reply of one part, head and body, in one step.
  readPart();
}

void HttpConnection::readPart() {
  boost::beast::http::async_read_some(
      Socket_, Buffer_, *Parser_,
      [Self = shared_from_this()](boost::system::error_code Error, std::size_t) {
        Self->partRead(Error);
      });
}

void HttpConnection::partRead(boost::system::error_code Error) {
  if (Error || Parser_->is_done() || State_ == State::Closed)
    return readDone(Error);
  Deadline_.partReceived(core::MonotonicClock::now());
  readPart();
}

void HttpConnection::readDone(boost::system::error_code Error) {
  if (State_ == State::Closed)
    return;
  if (Error || State_ != State::Busy)
    return close(Error ? Error.message() : "received a reply without a request");
  auto Message = Parser_->release();
  HttpReply Reply{Message.result_int(), std::move(Message.body()), {}};
  for (const auto &Field : Message)
    Reply.Headers.emplace_back(std::string(Field.name_string()), std::string(Field.value()));
  ++TimerGeneration_;
  Timer_.cancel();
  // After an early reply, the server would read the next request as the rest of this one.
  bool KeepAlive = Message.keep_alive() && isWritten();
  auto Self = shared_from_this();
  if (KeepAlive) {
    State_ = State::Idle;
    readNext();
  }
  finishCall({std::move(Reply), HttpFailure::NoReply, {}});
  if (!KeepAlive)
    return close("the connection ends with the reply");
  if (State_ == State::Idle)
    setState(State::Idle);
}

void HttpConnection::armTimer(CallDeadline Deadline) {
  Deadline_ = Deadline;
  auto Generation = ++TimerGeneration_;
  Timer_.expires_at(timerDeadline(Deadline.next()));
  Timer_.async_wait([Self = shared_from_this(), Generation](boost::system::error_code Error) {
    if (!Error && Generation == Self->TimerGeneration_)
      Self->timerExpired();
  });
}

void HttpConnection::timerExpired() {
  auto Now = core::MonotonicClock::now();
  // Parts of the reply have moved the deadline on; setting the timer for each would cost more.
  if (Now < Deadline_.next())
    return armTimer(Deadline_);
  if (!WasOpened_)
    return close("timeout while connecting");
  HasTimedOut_ = true;
  // The age tells a connection that has gone silent from a server that does not answer.
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - OpenedAt_);
  close("timeout while waiting for the reply on a connection that was opened " +
        std::to_string(Age.count()) + " ms ago");
}

void HttpConnection::finishCall(HttpResult Result) {
  if (auto Handler = std::exchange(Handler_, nullptr))
    Handler(std::move(Result));
}

void HttpConnection::setState(State Next) {
  State_ = Next;
  if (OnChange_)
    OnChange_(shared_from_this());
}

} // namespace cornellift::reactor
