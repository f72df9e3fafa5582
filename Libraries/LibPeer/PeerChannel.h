#pragma once

#include "Libraries/LibCore/Time.h"
#include "Libraries/LibPeer/Generated/Peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <mutex>
#include <string>

namespace cornellift::peer {

/// The connection to one peer. An unresponsive connection is replaced, so that new calls do not
/// queue behind it. Thread-safe.
class PeerChannel {
public:
  explicit PeerChannel(std::string Address);

  /// One connection, shared by the calls that use it.
  struct Connection {
    std::shared_ptr<grpc::Channel> Channel;
    std::unique_ptr<Peer::Stub> Stub;
  };

  std::shared_ptr<Connection> connection();

  /// True while the peer is known to be unreachable, so that a call would fail without being sent.
  /// Starts the next connection attempt when one is due.
  bool isDown();

  /// To be called when a call on the connection exceeds its deadline. If the connection still
  /// counts as established, it is unresponsive or the peer is paused: calls in progress keep it,
  /// and new calls open another one.
  void reportTimeout(const std::shared_ptr<Connection> &Used);

  const std::string &address() const { return Address_; }

private:
  std::shared_ptr<Connection> connect() const;

  const std::string Address_;
  std::mutex Mutex_;
  std::shared_ptr<Connection> Current_;
};

} // namespace cornellift::peer
