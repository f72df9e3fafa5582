#include "Libraries/LibPeer/PeerServer.h"

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibPeer/PeerLimits.h"

#include <chrono>

namespace cornellift::peer {
namespace {

/// Forwarded and delegated requests each block a thread while they wait for the kernel.
constexpr int MaximumThreads = 512;
constexpr int MinimumPollers = 1;
constexpr int MaximumPollers = 2;
/// Below the clients' keep-alive time; they send pings only while a call is open.
constexpr int MinimumPingMilliseconds = 1000;
constexpr auto ShutdownGracePeriod = std::chrono::milliseconds(500);

} // namespace

bool PeerServer::start(const std::string &Address, Peer::Service &Handlers) {
  grpc::ServerBuilder Builder;
  grpc::ResourceQuota Quota;
  Quota.SetMaxThreads(MaximumThreads);
  Builder.SetResourceQuota(Quota);
  Builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
  Builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, MinimumPollers);
  Builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, MaximumPollers);
  Builder.SetMaxReceiveMessageSize(MaximumMessageBytes);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                             MinimumPingMilliseconds);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(Address, grpc::InsecureServerCredentials(), &Port_);
  Builder.RegisterService(&Handlers);
  Server_ = Builder.BuildAndStart();
  if (Server_ && Port_ != 0)
    return true;
  return core::failFalse(core::ErrorKind::Unavailable,
                         "cannot listen on " + Address + " for peers; give a free --peer-address");
}

void PeerServer::stop() {
  if (!Server_)
    return;
  Server_->Shutdown(std::chrono::system_clock::now() + ShutdownGracePeriod);
  Server_.reset();
}

grpc::Status refusalStatus() {
  return {grpc::StatusCode::FAILED_PRECONDITION, core::lastReason().Message};
}

} // namespace cornellift::peer
