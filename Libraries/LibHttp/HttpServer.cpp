#include "Libraries/LibHttp/HttpServer.h"

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibHttp/BoundedThreadPool.h"
#include "Libraries/LibHttp/ConnectionStream.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <mutex>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace cornellift::http {
namespace {

/// The library passes a backlog of 5 to listen(); further connections of a burst would wait a
/// second until TCP retries.
constexpr int ListenBacklog = 1024;

constexpr std::string_view OverloadResponse =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: "
    "1\r\nConnection: close\r\nContent-Length: 116\r\n\r\n"
    R"({"outcome":"not_run","applies_to":"request","kind":"overloaded",)"
    R"("message":"too many connections; retry in a second"})";

/// Allows a restart while old connections are still closing, but not two servers on one port.
void setReuseOption(socket_t Socket) {
  int Yes = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
}

/// Idle connections by socket, with the time at which each became idle.
class IdleConnections {
public:
  void add(socket_t Socket) {
    std::lock_guard Guard(Mutex_);
    IdleSince_[Socket] = core::MonotonicClock::now();
    if (Closing_)
      ::shutdown(Socket, SHUT_RD);
  }

  void remove(socket_t Socket) {
    std::lock_guard Guard(Mutex_);
    IdleSince_.erase(Socket);
  }

  /// Shuts down reading on the connection that has been idle longest. A request that has been
  /// received in full is still served.
  void closeOldest() {
    std::lock_guard Guard(Mutex_);
    auto Oldest = std::min_element(
        IdleSince_.begin(), IdleSince_.end(),
        [](const auto &Left, const auto &Right) { return Left.second < Right.second; });
    if (Oldest == IdleSince_.end())
      return;
    ::shutdown(Oldest->first, SHUT_RD);
    IdleSince_.erase(Oldest);
  }

  void closeAll() {
    std::lock_guard Guard(Mutex_);
    Closing_ = true;
    for (const auto &[Socket, Since] : IdleSince_)
      ::shutdown(Socket, SHUT_RD);
  }

private:
  std::mutex Mutex_;
  std::map<socket_t, core::TimePoint> IdleSince_;
  bool Closing_ = false;
};

/// A connection is not closed in favour of others before it has been idle for this time, because a
/// client sends its next request right after it has connected or received a response.
constexpr core::Duration MinimumIdleTime = std::chrono::milliseconds(100);

bool waitForRequest(socket_t Socket, core::Duration IdleTime) {
  auto Limit = std::chrono::duration_cast<std::chrono::milliseconds>(IdleTime);
  pollfd Entry{Socket, POLLIN, 0};
  int Ready = 0;
  do
    Ready = ::poll(&Entry, 1, static_cast<int>(Limit.count()));
  while (Ready < 0 && errno == EINTR);
  return Ready > 0;
}

} // namespace

struct HttpServer::Route {
  std::string Method;
  std::string PathPrefix;
  Handler Handle;
};

/// Common base of the plain and the TLS server.
class HttpServer::Listener {
public:
  explicit Listener(ServerLimits Limits) : Limits(Limits) {}
  virtual ~Listener() = default;
  virtual httplib::Server &server() = 0;
  virtual void raiseBacklog() = 0;

  const ServerLimits Limits;
  IdleConnections Idle;
  std::atomic<bool> Closing{false};
  std::atomic<BoundedThreadPool *> Pool{nullptr};
};

namespace {

/// Raises the backlog of the library's listening socket.
template <typename Base> class BacklogServer : public Base {
public:
  using Base::Base;
  void raiseBacklog() { ::listen(this->svr_sock_, ListenBacklog); }
};

} // namespace

/// Plain HTTP with its own connection loop, which blocks in poll() while a connection is idle (the
/// library's loop wakes up every 11 ms) and applies the deadlines of ConnectionStream.
class HttpServer::PlainListener final : public HttpServer::Listener,
                                        public BacklogServer<httplib::Server> {
public:
  using Listener::Listener;
  httplib::Server &server() override { return *this; }
  void raiseBacklog() override { BacklogServer::raiseBacklog(); }

private:
  bool process_and_close_socket(socket_t Socket) override {
    if (BoundedThreadPool::isRefusing())
      ::send(Socket, OverloadResponse.data(), OverloadResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    else
      serve(Socket);
    ::shutdown(Socket, SHUT_RDWR);
    ::close(Socket);
    return true;
  }

  void serve(socket_t Socket) {
    ConnectionStream Stream(Socket, Limits.TransferTime);
    bool Close = false;
    while (!Close && awaitRequest(Socket, Stream)) {
      Stream.beginRequest();
      // A chunked or compressed body could exceed the size limit after its length was checked. It
      // is rejected without being read, so the connection cannot serve another request.
      bool Unread = false;
      bool Closed = false;
      bool Served =
          process_request(Stream, Closing.load(), Closed, [&Unread](httplib::Request &Request) {
            Unread =
                Request.has_header("Transfer-Encoding") || Request.has_header("Content-Encoding");
            // The library would read a body without a length until the connection is closed.
            if (!Request.has_header("Content-Length"))
              Request.set_header("Content-Length", "0");
            // Bodies are JSON whatever Content-Type says. The library would parse a form, curl's
            // default type, into query parameters and reject more than 8 KB of it.
            Request.headers.erase("Content-Type");
          });
      Stream.flush();
      Close = !Served || Closed || Unread || Stream.isBroken() || Closing.load();
    }
  }

  bool awaitRequest(socket_t Socket, const ConnectionStream &Stream) {
    if (Stream.hasBufferedBytes())
      return true;
    if (waitForRequest(Socket, MinimumIdleTime))
      return true;
    Idle.add(Socket);
    if (Pool.load()->hasQueuedConnections())
      Idle.closeOldest();
    bool Readable = waitForRequest(Socket, Limits.IdleTime);
    Idle.remove(Socket);
    return Readable;
  }
};

/// HTTPS with the library's own connection loop.
class HttpServer::TlsListener final : public HttpServer::Listener,
                                      public BacklogServer<httplib::SSLServer> {
public:
  TlsListener(ServerLimits Limits, const TlsFiles &Tls)
      : Listener(Limits), BacklogServer<httplib::SSLServer>(Tls.Certificate.c_str(),
                                                            Tls.Key.c_str()) {
    set_keep_alive_timeout(1);
    set_keep_alive_max_count(1000);
  }
  httplib::Server &server() override { return *this; }
  void raiseBacklog() override { BacklogServer::raiseBacklog(); }
};

HttpServer::HttpServer(ServerLimits Limits, const TlsFiles &Tls) {
  if (Tls.Certificate.empty())
    Listener_ = std::make_unique<PlainListener>(Limits);
  else
    Listener_ = std::make_unique<TlsListener>(Limits, Tls);
  auto &Server = Listener_->server();
  Server.new_task_queue = [this] {
    auto *Pool =
        new BoundedThreadPool(Listener_->Limits.Connections, Listener_->Limits.QueuedConnections,
                              [this] { Listener_->Idle.closeOldest(); });
    Listener_->Pool.store(Pool);
    return Pool;
  };
  Server.set_tcp_nodelay(true);
  Server.set_socket_options(setReuseOption);
  Server.set_payload_max_length(Limits.BodyBytes);
  Server.set_pre_routing_handler([](const httplib::Request &Request, httplib::Response &Response) {
    if (!Request.has_header("Transfer-Encoding") && !Request.has_header("Content-Encoding"))
      return httplib::Server::HandlerResponse::Unhandled;
    Response.status = 411;
    return httplib::Server::HandlerResponse::Handled;
  });
  auto Dispatch = [this](const httplib::Request &Request, httplib::Response &Response) {
    dispatch(Request, Response);
  };
  Server.Get(".*", Dispatch).Post(".*", Dispatch).Put(".*", Dispatch);
  Server.Patch(".*", Dispatch).Delete(".*", Dispatch);
  Server.set_error_handler([this](const httplib::Request &, httplib::Response &Response) {
    if (Response.body.empty() && ErrorBody_)
      Response.set_content(ErrorBody_(Response.status), "application/json");
  });
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::route(std::string_view Method, std::string_view PathPrefix, Handler Handle) {
  Routes_.push_back({std::string(Method), std::string(PathPrefix), std::move(Handle)});
}

void HttpServer::setErrorBody(std::function<std::string(int)> Body) {
  ErrorBody_ = std::move(Body);
}

bool HttpServer::start(const std::string &Address, int Port) {
  auto &Server = Listener_->server();
  if (!Server.is_valid())
    return core::failFalse(core::ErrorKind::Malformed,
                           "the TLS certificate or key cannot be read; give PEM files that match");
  bool Bound = Port == 0 ? (Port = Server.bind_to_any_port(Address)) > 0
                         : Server.bind_to_port(Address, Port);
  if (!Bound)
    return core::failFalse(core::ErrorKind::Unavailable, "cannot listen on " + Address + ":" +
                                                             std::to_string(Port) +
                                                             "; free the port or give another");
  Port_ = Port;
  Listener_->raiseBacklog();
  Thread_ = std::thread([&Server] { Server.listen_after_bind(); });
  return true;
}

void HttpServer::beginClosing() { Listener_->Closing.store(true); }

void HttpServer::stop() {
  if (!Thread_.joinable())
    return;
  beginClosing();
  // The library ignores stop() until its accept loop runs.
  while (!Listener_->server().is_running())
    std::this_thread::yield();
  Listener_->Idle.closeAll();
  Listener_->server().stop();
  Thread_.join();
}

void HttpServer::dispatch(const httplib::Request &Request, httplib::Response &Response) const {
  auto Found = std::find_if(Routes_.begin(), Routes_.end(), [&](const Route &Candidate) {
    return Candidate.Method == Request.method && Request.path.starts_with(Candidate.PathPrefix);
  });
  if (Found == Routes_.end()) {
    Response.status = 404;
    return;
  }
  Found->Handle(Request, Response);
}

} // namespace cornellift::http
