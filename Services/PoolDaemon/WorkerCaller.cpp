#include "Services/PoolDaemon/WorkerCaller.h"

#include <utility>

namespace cornellift::pool {
namespace {

/// Connections for orders to one worker, in addition to those for polls.
constexpr std::size_t OrderConnections = 4;
/// Connections for polls: one for the pending poll, and one in case its reply is lost.
constexpr std::size_t LookConnections = 2;
/// Timeout of an order. A worker refuses a start that is later than its order allows, 100 ms.
constexpr core::Duration OrderTime = std::chrono::milliseconds(110);
/// How much longer than the requested wait the reply to a poll may take.
constexpr core::Duration LookSlack = std::chrono::milliseconds(150);

} // namespace

WorkerCaller::WorkerCaller(reactor::asio::io_context &Reactor, const platform::WorkerFormat &Format,
                           Sender Send, DroppedHandler OnDropped)
    : Reactor_(Reactor), Format_(Format), Send_(std::move(Send)), OnDropped_(std::move(OnDropped)) {
}

void WorkerCaller::workerAddressed(kernel::EndpointIndex Worker, const kernel::WorkerEntry &Entry) {
  auto Position = static_cast<std::size_t>(Worker);
  if (Position >= Targets_.size())
    Targets_.resize(Position + 1);
  auto &Known = Targets_[Position];
  for (const auto &Client : {Known.Looks, Known.Orders})
    if (Client)
      Client->close();
  Known = {Entry.Id, nullptr, nullptr};
  auto Address = reactor::parseAddress(Entry.Address);
  if (!Address)
    return; // Calls fail as not sent, and the worker counts as unreachable.
  Known.Looks = std::make_shared<reactor::HttpClient>(Reactor_, *Address, LookConnections);
  Known.Orders = std::make_shared<reactor::HttpClient>(Reactor_, *Address, OrderConnections);
}

void WorkerCaller::workerDropped(kernel::EndpointIndex Worker) {
  auto &Known = at(Worker);
  for (const auto &Client : {Known.Looks, Known.Orders})
    if (Client)
      Client->close();
  Known.Looks.reset();
  Known.Orders.reset();
  OnDropped_(Worker);
}

void WorkerCaller::look(kernel::EndpointIndex Worker, const kernel::LookOrder &Order) {
  auto &Known = at(Worker);
  auto Done = [this, Worker, Order](const reactor::HttpResult &Result) {
    Manager_->lookReplied(Worker, Order, Format_.parseLookReply(Result),
                          core::MonotonicClock::now());
  };
  if (!Known.Looks)
    return reactor::asio::post(Reactor_, [Done] { Done({}); });
  auto Deadline =
      core::MonotonicClock::now() + std::chrono::milliseconds(Order.WaitMilliseconds) + LookSlack;
  Known.Looks->call(Format_.lookRequest(Known.Id, Order), Deadline, Done);
}

void WorkerCaller::start(kernel::EndpointIndex Worker, const kernel::StartOrder &Order) {
  auto &Known = at(Worker);
  auto Request = Format_.startRequest(Known.Id, Order);
  kernel::StartOrder Brief = Order;
  Brief.Specification.clear();
  auto Done = [this, Worker, Brief](const reactor::HttpResult &Result) {
    Manager_->startReplied(Worker, Brief, Format_.parseOrderReply(Result),
                           core::MonotonicClock::now());
  };
  if (!Known.Orders)
    return reactor::asio::post(Reactor_, [Done] { Done({}); });
  Known.Orders->call(std::move(Request), core::MonotonicClock::now() + OrderTime, Done);
}

void WorkerCaller::stop(kernel::EndpointIndex Worker, const kernel::StopOrder &Order) {
  auto &Known = at(Worker);
  auto Done = [this, Worker, Order](const reactor::HttpResult &Result) {
    Manager_->stopReplied(Worker, Order, Format_.parseOrderReply(Result),
                          core::MonotonicClock::now());
  };
  if (!Known.Orders)
    return reactor::asio::post(Reactor_, [Done] { Done({}); });
  Known.Orders->call(Format_.stopRequest(Known.Id, Order), core::MonotonicClock::now() + OrderTime,
                     Done);
}

void WorkerCaller::send(kernel::PeerIndex Peer, kernel::PoolMessage Message) {
  Send_(Peer, std::move(Message));
}

std::uint64_t WorkerCaller::connectionsMade() const {
  std::uint64_t Sum = 0;
  for (const auto &Known : Targets_)
    for (const auto &Client : {Known.Looks, Known.Orders})
      Sum += Client ? Client->connectionsMade() : 0;
  return Sum;
}

} // namespace cornellift::pool
