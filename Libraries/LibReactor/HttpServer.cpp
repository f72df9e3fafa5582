#include "Libraries/LibReactor/HttpServer.h"

#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibReactor/HttpSession.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace cornellift::reactor {
namespace {

/// Delay after a failed accept(), which happens when no file descriptors are left.
constexpr core::Duration AcceptRetryDelay = std::chrono::milliseconds(20);
/// Size of the parts in which requests are read.
constexpr std::size_t ReadBufferBytes = 32768;
/// One part in SmallPart of the memory is kept for sessions that hold at most SmallBytes.
constexpr std::size_t SmallPart = 8;
constexpr std::size_t SmallBytes = 16384;
/// Sessions are shed until one part in ShedPart of the limit is free, as each search looks at all
/// of them.
constexpr std::size_t ShedPart = 64;
/// Time without a met limit after which the next one is logged again.
constexpr core::Duration LogPause = std::chrono::seconds(10);

/// A session that may be closed.
struct ShedCandidate {
  double Cost = 0; ///< What the session takes from others; the highest is closed first.
  HttpSession *Session = nullptr;
};

bool costsMore(const ShedCandidate &Left, const ShedCandidate &Right) {
  return Left.Cost > Right.Cost;
}

/// Orders the Count candidates of the highest cost before the others.
void selectCostliest(std::vector<ShedCandidate> &Candidates, std::size_t Count) {
  if (Count < Candidates.size())
    std::nth_element(Candidates.begin(), Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
                     Candidates.end(), costsMore);
}

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
      OnRequest_(std::move(OnRequest)), ReadBuffer_(ReadBufferBytes) {}

HttpServer::~HttpServer() = default;

void HttpServer::beginDrain() {
  IsDraining_ = true;
  for (auto *Session : Sessions_)
    Session->drain();
}

void HttpServer::stopListening() {
  boost::system::error_code Ignored; // An error while closing has no consequences.
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
    shedForConnections();
  if (Sessions_.size() >= Limits_.Connections) {
    ++Counters_.NotAccepted;
    return; // The socket's destructor closes the connection.
  }
  std::make_shared<HttpSession>(shared_from_this(), std::move(Socket))->start();
}

void HttpServer::shedForConnections() {
  logLimitMet("connections");
  auto Now = core::MonotonicClock::now();
  std::vector<ShedCandidate> Unproven;
  std::vector<ShedCandidate> Proven;
  for (auto *Session : Sessions_)
    if (Session->isSheddable(Now))
      (Session->isProven() ? Proven : Unproven)
          .push_back({core::toMilliseconds(Now - Session->waitingSince()), Session});
  // Clients whose requests were served keep half of the connections against all others.
  bool AreProvenSpared = Unproven.size() > Limits_.Connections / 2 || Proven.empty();
  if (!AreProvenSpared)
    Unproven.insert(Unproven.end(), Proven.begin(), Proven.end());
  auto Count = std::min(std::max<std::size_t>(1, Limits_.Connections / ShedPart), Unproven.size());
  selectCostliest(Unproven, Count);
  for (std::size_t Each = 0; Each < Count; ++Each)
    Unproven[Each].Session->shed();
  Counters_.ShedForConnections += Count;
}

bool HttpServer::changeMemory(const HttpSession &Asking, std::size_t Former, std::size_t Changed) {
  MemoryUsed_ = MemoryUsed_ - Former + Changed;
  // Clients that need little are served also while others use up the rest.
  auto Limit = Limits_.MemoryBytes;
  if (Changed > SmallBytes)
    Limit -= Limit / SmallPart;
  if (Changed > Former && MemoryUsed_ > Limit)
    shedForMemory(Asking, Limit);
  return Changed <= Former || MemoryUsed_ <= Limit;
}

void HttpServer::shedForMemory(const HttpSession &Asking, std::size_t Limit) {
  logLimitMet("memory");
  auto Now = core::MonotonicClock::now();
  std::vector<ShedCandidate> Candidates;
  for (auto *Session : Sessions_)
    if (Session != &Asking && Session->isSheddable(Now))
      Candidates.push_back({static_cast<double>(Session->memory()) *
                                core::toMilliseconds(Now - Session->waitingSince()),
                            Session});
  std::sort(Candidates.begin(), Candidates.end(), costsMore);
  auto Wanted = Limit - Limit / ShedPart;
  for (const auto &[Cost, Session] : Candidates) {
    if (MemoryUsed_ <= Wanted)
      return;
    Session->shed();
    ++Counters_.ShedForMemory;
  }
}

void HttpServer::logLimitMet(std::string_view Limit) {
  auto Now = core::MonotonicClock::now();
  bool IsNew = LimitMetAt_ == core::TimePoint() || Now - LimitMetAt_ > LogPause;
  LimitMetAt_ = Now;
  if (IsNew)
    core::logLine(core::LogLevel::Warning, "http",
                  "clients use up a limit; the slowest connections are closed",
                  {{"limit", std::string(Limit)},
                   {"address", formatAddress(address())},
                   {"connections", std::to_string(Sessions_.size())},
                   {"open_requests", std::to_string(OpenRequests_)},
                   {"memory_bytes", std::to_string(MemoryUsed_)}});
}

} // namespace cornellift::reactor
