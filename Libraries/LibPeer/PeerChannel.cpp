#include "Libraries/LibPeer/PeerChannel.h"

#include "Libraries/LibPeer/PeerLimits.h"

#include <utility>

namespace cornellift::peer {
namespace {

constexpr int InitialBackoffMilliseconds = 100;
/// Bounds the time from the end of a network partition to the first successful call.
constexpr int MaximumBackoffMilliseconds = 1000;
/// gRPC waits at least this long for a connection to be established, 20 s by default.
constexpr int ConnectTimeoutMilliseconds = 1000;
/// Keep-alive pings end calls without a short deadline, such as forwarded requests, on an
/// unresponsive connection. They are sent only while a call is open and nothing else is received.
constexpr int KeepAliveMilliseconds = 5000;
constexpr int KeepAliveTimeoutMilliseconds = 2000;

grpc::ChannelArguments channelArguments() {
  grpc::ChannelArguments Arguments;
  Arguments.SetMaxReceiveMessageSize(MaximumMessageBytes);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, InitialBackoffMilliseconds);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaximumBackoffMilliseconds);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ConnectTimeoutMilliseconds);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepAliveMilliseconds);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepAliveTimeoutMilliseconds);
  Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  // Bandwidth probing would double the number of frames of a membership probe.
  Arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  // Otherwise a replacement channel would share the connection of the old one.
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  // A call that may have been received must not be sent again.
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  return Arguments;
}

} // namespace

PeerChannel::PeerChannel(std::string Address) : Address_(std::move(Address)) {}

std::shared_ptr<PeerChannel::Connection> PeerChannel::connect() const {
  auto Result = std::make_shared<Connection>();
  // With a literal address gRPC needs no name resolution.
  Result->Channel = grpc::CreateCustomChannel(
      "ipv4:" + Address_, grpc::InsecureChannelCredentials(), channelArguments());
  Result->Stub = Peer::NewStub(Result->Channel);
  return Result;
}

std::shared_ptr<PeerChannel::Connection> PeerChannel::connection() {
  std::lock_guard Guard(Mutex_);
  if (!Current_)
    Current_ = connect();
  return Current_;
}

bool PeerChannel::isDown() {
  return connection()->Channel->GetState(/*try_to_connect=*/true) == GRPC_CHANNEL_TRANSIENT_FAILURE;
}

void PeerChannel::reportTimeout(const std::shared_ptr<Connection> &Used) {
  std::lock_guard Guard(Mutex_);
  if (Used == Current_ && Used->Channel->GetState(false) == GRPC_CHANNEL_READY)
    Current_.reset();
}

} // namespace cornellift::peer
