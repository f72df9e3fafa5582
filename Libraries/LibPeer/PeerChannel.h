#pragma once

#include "Libraries/LibCore/Time.h"
#include "Libraries/LibPeer/Generated/Peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <mutex>
#include <string>

namespace cornellift::peer {

/// The connection to one peer. A connection that went silent is replaced, so that new calls do not
/// queue behind it. Safe to use from every thread.
class PeerChannel {
public:
  explicit PeerChannel(std::string Address);

  /// One connection, held by the calls that use it.
  struct Connection {
    std::shared_ptr<grpc::Channel> Channel;
    std::unique_ptr<Peer::Stub> Stub;
  };

  std::shared_ptr<Connection> connection();

  /// True when the peer is known to be unreachable now, so that a call would not leave this
  /// process. Starts the next connection attempt when one is due.
  bool isDown();

  /// A call on the connection ran into its deadline. A connection that still counts as established
  /// has gone silent, or the peer is paused; it is left to the calls that use it, and new calls
  /// open another one.
  void timedOut(const std::shared_ptr<Connection> &Used);

  const std::string &address() const { return Address_; }

private:
  std::shared_ptr<Connection> connect() const;

  const std::string Address_;
  std::mutex Mutex_;
  std::shared_ptr<Connection> Current_;
};

} // namespace cornellift::peer
