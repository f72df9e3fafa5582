#pragma once

#include "Libraries/LibPeer/Generated/Peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

namespace cornellift::peer {

/// Serves the calls of other entry processes. Handlers run on a bounded thread pool; when it is
/// exhausted, a call is refused with RESOURCE_EXHAUSTED before its handler runs.
class PeerServer {
public:
  ~PeerServer() { stop(); }

  /// Address is an IP address and port; port 0 selects a free port. Returns false with Unavailable
  /// when the port cannot be used.
  bool start(const std::string &Address, Peer::Service &Handlers);

  /// Refuses new calls, waits a short time for those in progress, and ends the threads.
  void stop();

  int port() const { return Port_; }

private:
  std::unique_ptr<grpc::Server> Server_;
  int Port_ = 0;
};

/// FAILED_PRECONDITION with the thread's last reason, for a call that had no effect.
grpc::Status refusalStatus();

} // namespace cornellift::peer
