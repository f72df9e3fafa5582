#pragma once

#include "Libraries/LibPeer/Generated/Peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

namespace cornellift::peer {

/// Serves the calls of other entry processes. Handlers run on a bounded pool of threads; a call
/// beyond it is refused with RESOURCE_EXHAUSTED before its handler runs.
class PeerServer {
public:
  ~PeerServer() { stop(); }

  /// Address is an IP number and port; port 0 takes a free one. Returns false with Unavailable when
  /// the port cannot be used.
  bool start(const std::string &Address, Peer::Service &Handlers);

  /// Refuses new calls, gives those in progress a short time, and ends the threads.
  void stop();

  int port() const { return Port_; }

private:
  std::unique_ptr<grpc::Server> Server_;
  int Port_ = 0;
};

/// Status that carries the thread's last reason, for a call that had no effect.
grpc::Status refusal();

} // namespace cornellift::peer
