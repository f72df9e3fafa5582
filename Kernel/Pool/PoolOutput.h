#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/WorkerMessages.h"

#include <string_view>

namespace cornellift::kernel {

/// Actions that the pool manager requests from the process that hosts it. Workers are identified by
/// their index at the manager. Replies are passed to PoolManager with the index and the command
/// that they answer.
class PoolOutput {
public:
  virtual ~PoolOutput() = default;

  /// Sets the address for calls to the worker; open calls to a former address are dropped.
  virtual void workerAddressChanged(EndpointIndex Worker, const WorkerEntry &Entry) = 0;
  /// The worker gets no further commands.
  virtual void workerDropped(EndpointIndex Worker) = 0;

  virtual void poll(EndpointIndex Worker, const PollCommand &Command) = 0;
  virtual void start(EndpointIndex Worker, const StartCommand &Command) = 0;
  virtual void stop(EndpointIndex Worker, const StopCommand &Command) = 0;

  /// Sends a message to a peer, or to this process if the peer is SelfPeer.
  virtual void send(PeerIndex Peer, PoolMessage Message) = 0;
};

} // namespace cornellift::kernel
