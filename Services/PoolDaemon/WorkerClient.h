#pragma once

#include "Kernel/Pool/PoolManager.h"
#include "Kernel/Pool/PoolOutput.h"
#include "Libraries/LibPlatform/WorkerFormat.h"
#include "Libraries/LibReactor/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornellift::pool {

/// Sends the pool manager's commands to the workers, and passes on its messages to peers.
class WorkerClient final : public kernel::PoolOutput {
public:
  using Sender = std::function<void(kernel::PeerIndex, kernel::PoolMessage)>;
  using DroppedHandler = std::function<void(kernel::EndpointIndex)>;

  WorkerClient(reactor::asio::io_context &Reactor, const platform::WorkerFormat &Format,
               Sender Send, DroppedHandler OnDropped);

  /// Sets the manager that receives the workers' replies.
  void setManager(kernel::PoolManager &Manager) { Manager_ = &Manager; }

  void workerAddressChanged(kernel::EndpointIndex Worker,
                            const kernel::WorkerEntry &Entry) override;
  void workerDropped(kernel::EndpointIndex Worker) override;
  void poll(kernel::EndpointIndex Worker, const kernel::PollCommand &Command) override;
  void start(kernel::EndpointIndex Worker, const kernel::StartCommand &Command) override;
  void stop(kernel::EndpointIndex Worker, const kernel::StopCommand &Command) override;
  void send(kernel::PeerIndex Peer, kernel::PoolMessage Message) override;

  std::uint64_t connectionsMade() const;

private:
  struct Target {
    std::string Id;
    std::shared_ptr<reactor::HttpClient> PollClient;
    std::shared_ptr<reactor::HttpClient> CommandClient;
  };

  /// Handles a poll that got no reply in time.
  void closeIdleCommandConnections(kernel::EndpointIndex Worker);
  Target &at(kernel::EndpointIndex Worker) { return Targets_[static_cast<std::size_t>(Worker)]; }

  reactor::asio::io_context &Reactor_;
  const platform::WorkerFormat &Format_;
  Sender Send_;
  DroppedHandler OnDropped_;
  kernel::PoolManager *Manager_ = nullptr;
  std::vector<Target> Targets_;
};

} // namespace cornellift::pool
