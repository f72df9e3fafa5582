#include "Libraries/LibReactor/HttpClient.h"

#include <algorithm>
#include <utility>

namespace cornellift::reactor {

HttpClient::HttpClient(asio::io_context &Reactor, Tcp::endpoint Remote,
                       std::size_t MaximumConnections)
    : Reactor_(Reactor), Remote_(std::move(Remote)), MaximumConnections_(MaximumConnections) {}

void HttpClient::call(HttpRequest Request, CallDeadline Deadline, HttpResultHandler Handler) {
  if (Closed_)
    return failLater(std::move(Handler), "the client is closed");
  if (Deadline.next() <= core::MonotonicClock::now())
    return failLater(std::move(Handler), "the deadline had passed before the call");
  if (Waiting_.empty()) {
    if (auto Connection = idleConnection())
      return Connection->call(Request, Deadline, std::move(Handler));
  }
  Waiting_.push_back({std::move(Request), Deadline, std::move(Handler)});
  dispatchWaitingCalls();
}

void HttpClient::close() {
  Closed_ = true;
  for (auto &Call : std::exchange(Waiting_, {}))
    failLater(std::move(Call.Handler), "the client is closed");
  for (const auto &Connection : std::exchange(Connections_, {}))
    Connection->close("the client is closed");
}

void HttpClient::closeIdleConnections() {
  auto All = Connections_; // A copy, since each close removes an entry.
  for (const auto &Connection : All)
    if (Connection->state() == HttpConnection::State::Idle)
      Connection->close("a call on another connection to the server got no reply");
}

void HttpClient::failLater(HttpResultHandler Handler, std::string_view Cause) {
  asio::post(Reactor_, [Handler = std::move(Handler), Cause = std::string(Cause)] {
    Handler({std::nullopt, HttpFailure::NotSent, Cause});
  });
}

std::shared_ptr<HttpConnection> HttpClient::idleConnection() const {
  for (const auto &Connection : Connections_)
    if (Connection->state() == HttpConnection::State::Idle)
      return Connection;
  return nullptr;
}

std::size_t HttpClient::connectingCount() const {
  return static_cast<std::size_t>(
      std::count_if(Connections_.begin(), Connections_.end(), [](const auto &Connection) {
        return Connection->state() == HttpConnection::State::Connecting;
      }));
}

void HttpClient::failExpiredCalls() {
  auto Now = core::MonotonicClock::now();
  while (!Waiting_.empty() && Waiting_.front().Deadline.next() <= Now) {
    auto Handler = std::move(Waiting_.front().Handler);
    Waiting_.pop_front();
    Handler({std::nullopt, HttpFailure::NotSent, "timeout while waiting for a connection"});
  }
}

void HttpClient::dispatchWaitingCalls() {
  while (!Waiting_.empty()) {
    auto Connection = idleConnection();
    if (!Connection)
      break;
    auto Next = std::move(Waiting_.front());
    Waiting_.pop_front();
    Connection->call(Next.Request, Next.Deadline, std::move(Next.Handler));
  }
  while (!Closed_ && connectingCount() < Waiting_.size() &&
         Connections_.size() < MaximumConnections_)
    open(Waiting_[connectingCount()].Deadline.next());
}

void HttpClient::open(core::TimePoint Deadline) {
  auto Connection = std::make_shared<HttpConnection>(
      Reactor_, Remote_, [Weak = weak_from_this()](const std::shared_ptr<HttpConnection> &Changed) {
        if (auto Self = Weak.lock())
          Self->connectionChanged(Changed);
      });
  Connections_.push_back(Connection);
  ++ConnectionsMade_;
  Connection->open(Deadline);
}

void HttpClient::connectionChanged(const std::shared_ptr<HttpConnection> &Connection) {
  if (Closed_)
    return;
  if (Connection->state() != HttpConnection::State::Closed)
    return dispatchWaitingCalls();
  std::erase(Connections_, Connection);
  if (Connection->hasTimedOut())
    closeIdleConnections();
  failExpiredCalls();
  // Each failed connection attempt fails one call, so that an unreachable server isn't retried in a
  // loop; the caller decides whether to retry.
  if (!Connection->wasOpened() && !Waiting_.empty()) {
    auto Next = std::move(Waiting_.front());
    Waiting_.pop_front();
    Next.Handler({std::nullopt, HttpFailure::NotSent, "the connection could not be established"});
  }
  dispatchWaitingCalls();
}

} // namespace cornellift::reactor
