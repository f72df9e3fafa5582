#include "Services/PoolDaemon/WorkerClient.h"

#include <utility>

namespace cornellift::pool {
namespace {

/// Connections for commands to one worker, in addition to those for polls.
constexpr std::size_t CommandConnections = 4;
/// Connections for polls: one for the pending poll, and one in case its reply is lost.
constexpr std::size_t PollConnections = 2;

} // namespace

WorkerClient::WorkerClient(reactor::asio::io_context &Reactor, const platform::WorkerFormat &Format,
                           Sender Send, DroppedHandler OnDropped)
    : Reactor_(Reactor), Format_(Format), Send_(std::move(Send)), OnDropped_(std::move(OnDropped)) {
}

void WorkerClient::workerAddressChanged(kernel::EndpointIndex Worker,
                                        const kernel::WorkerEntry &Entry) {
  auto Position = static_cast<std::size_t>(Worker);
  if (Position >= Targets_.size())
    Targets_.resize(Position + 1);
  auto &Known = Targets_[Position];
  for (const auto &Client : {Known.PollClient, Known.CommandClient})
    if (Client)
      Client->close();
  Known = {Entry.Id, nullptr, nullptr};
  auto Address = reactor::parseAddress(Entry.Address);
  if (!Address)
    return; // Calls fail as not sent, and the worker counts as unreachable.
  Known.PollClient = std::make_shared<reactor::HttpClient>(Reactor_, *Address, PollConnections);
  Known.CommandClient =
      std::make_shared<reactor::HttpClient>(Reactor_, *Address, CommandConnections);
}

void WorkerClient::workerDropped(kernel::EndpointIndex Worker) {
  auto &Known = at(Worker);
  for (const auto &Client : {Known.PollClient, Known.CommandClient})
    if (Client)
      Client->close();
  Known.PollClient.reset();
  Known.CommandClient.reset();
  OnDropped_(Worker);
}

void WorkerClient::poll(kernel::EndpointIndex Worker, const kernel::PollCommand &Command) {
  auto &Known = at(Worker);
  auto Deadline = core::MonotonicClock::now() +
                  std::chrono::milliseconds(Command.WaitMilliseconds) + kernel::PollReplyMargin;
  auto Done = [this, Worker, Command, Deadline](const reactor::HttpResult &Result) {
    auto Now = core::MonotonicClock::now();
    if (!Result.Reply && Now >= Deadline)
      closeIdleCommandConnections(Worker);
    Manager_->pollReplied(Worker, Command, Format_.parsePollReply(Result), Now);
  };
  if (!Known.PollClient)
    return reactor::asio::post(Reactor_, [Done] { Done({}); });
  Known.PollClient->call(Format_.pollRequest(Known.Id, Command), Deadline, Done);
}

void WorkerClient::closeIdleCommandConnections(kernel::EndpointIndex Worker) {
  // They may have gone silent with the poll's; all copies of a start would be lost on them.
  if (auto Client = at(Worker).CommandClient)
    Client->closeIdleConnections();
}

void WorkerClient::start(kernel::EndpointIndex Worker, const kernel::StartCommand &Command) {
  auto &Known = at(Worker);
  auto Request = Format_.startRequest(Known.Id, Command);
  kernel::StartCommand Brief = Command;
  Brief.Specification.clear();
  auto Done = [this, Worker, Brief](const reactor::HttpResult &Result) {
    Manager_->startReplied(Worker, Brief, Format_.parseCommandReply(Result),
                           core::MonotonicClock::now());
  };
  if (!Known.CommandClient)
    return reactor::asio::post(Reactor_, [Done] { Done({}); });
  Known.CommandClient->call(std::move(Request),
                            core::MonotonicClock::now() + kernel::CommandTimeout, Done);
}

void WorkerClient::stop(kernel::EndpointIndex Worker, const kernel::StopCommand &Command) {
  auto &Known = at(Worker);
  auto Done = [this, Worker, Command](const reactor::HttpResult &Result) {
    Manager_->stopReplied(Worker, Command, Format_.parseCommandReply(Result),
                          core::MonotonicClock::now());
  };
  if (!Known.CommandClient)
    return reactor::asio::post(Reactor_, [Done] { Done({}); });
  Known.CommandClient->call(Format_.stopRequest(Known.Id, Command),
                            core::MonotonicClock::now() + kernel::CommandTimeout, Done);
}

void WorkerClient::send(kernel::PeerIndex Peer, kernel::PoolMessage Message) {
  Send_(Peer, std::move(Message));
}

std::uint64_t WorkerClient::connectionsMade() const {
  std::uint64_t Sum = 0;
  for (const auto &Known : Targets_)
    for (const auto &Client : {Known.PollClient, Known.CommandClient})
      Sum += Client ? Client->connectionsMade() : 0;
  return Sum;
}

} // namespace cornellift::pool
