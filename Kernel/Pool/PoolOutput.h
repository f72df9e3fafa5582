#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/PoolMessages.h"
#include "Kernel/Pool/WorkerMessages.h"

#include <string_view>

namespace cornellift::kernel {

/// What the pool manager has done by the process around it. Workers are named by their index at the
/// manager; replies come back through PoolManager's methods, for the index and the same order.
class PoolOutput {
public:
  virtual ~PoolOutput() = default;

  /// The worker is to be called at that address from now on; open calls to another one are dropped.
  virtual void workerAddressChanged(EndpointIndex Worker, const WorkerEntry &Entry) = 0;
  /// The worker is not called any more.
  virtual void workerDropped(EndpointIndex Worker) = 0;

  virtual void poll(EndpointIndex Worker, const PollCommand &Command) = 0;
  virtual void start(EndpointIndex Worker, const StartCommand &Command) = 0;
  virtual void stop(EndpointIndex Worker, const StopCommand &Command) = 0;

  /// Sends to a peer, or to this process when the peer is SelfPeer.
  virtual void send(PeerIndex Peer, PoolMessage Message) = 0;
};

} // namespace cornellift::kernel
