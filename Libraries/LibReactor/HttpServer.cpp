#include "Libraries/LibReactor/HttpServer.h"

#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibReactor/HttpSession.h"

#include <utility>

namespace cornellift::reactor {
namespace {

/// Pause after a failed accept, which happens when no descriptor is left.
constexpr core::Duration AcceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

std::shared_ptr<HttpServer> HttpServer::listen(asio::io_context &Reactor,
                                               const Tcp::endpoint &Address, Handler OnRequest) {
  auto Server = std::make_shared<HttpServer>(Reactor, std::move(OnRequest));
  boost::system::error_code Error;
  Server->Acceptor_.open(Address.protocol(), Error);
  if (!Error)
    Server->Acceptor_.set_option(Tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Server->Acceptor_.bind(Address, Error);
  if (!Error)
    Server->Acceptor_.listen(asio::socket_base::max_listen_connections, Error);
  if (Error) {
    core::fail(core::ErrorKind::Unavailable, "cannot listen on " + formatAddress(Address) + ": " +
                                                 Error.message() + "; give a free address");
    return nullptr;
  }
  Server->acceptNext();
  return Server;
}

HttpServer::HttpServer(asio::io_context &Reactor, Handler OnRequest)
    : Reactor_(Reactor), Acceptor_(Reactor), AcceptTimer_(Reactor),
      OnRequest_(std::move(OnRequest)) {}

HttpServer::~HttpServer() = default;

void HttpServer::beginDrain() {
  IsDraining_ = true;
  for (auto *Session : Sessions_)
    Session->drain();
}

void HttpServer::stopListening() {
  boost::system::error_code Ignored; // Nothing depends on how the socket closes.
  Acceptor_.close(Ignored);
}

void HttpServer::acceptNext() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](boost::system::error_code Error, Tcp::socket Socket) {
        if (!Self->Acceptor_.is_open())
          return;
        if (!Error) {
          Self->accepted(std::move(Socket));
          return Self->acceptNext();
        }
        core::logLine(core::LogLevel::Warning, "http", "accepting a connection failed",
                      {{"reason", Error.message()}});
        Self->AcceptTimer_.expires_after(AcceptRetryDelay);
        Self->AcceptTimer_.async_wait([Self](boost::system::error_code) { Self->acceptNext(); });
      });
}

void HttpServer::accepted(Tcp::socket Socket) {
  if (Sessions_.size() >= Limits_.Connections)
    return; // The socket closes itself.
  std::make_shared<HttpSession>(shared_from_this(), std::move(Socket))->start();
}

} // namespace cornellift::reactor
