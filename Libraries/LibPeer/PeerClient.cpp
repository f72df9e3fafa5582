#include "Libraries/LibPeer/PeerClient.h"

namespace cornellift::peer {

PeerClient::~PeerClient() { close(); }

std::shared_ptr<PeerChannel> PeerClient::channel(const std::string &Address) {
  auto Route = Routes_.find(Address);
  const auto &Reached = Route == Routes_.end() ? Address : Route->second;
  std::lock_guard Guard(Mutex_);
  auto &Found = Channels_[Reached];
  if (!Found)
    Found = std::make_shared<PeerChannel>(Reached);
  return Found;
}

void PeerClient::forget(const std::string &Address) {
  std::lock_guard Guard(Mutex_);
  Channels_.erase(Address);
}

bool PeerClient::registerCall(grpc::ClientContext *Context) {
  std::lock_guard Guard(Mutex_);
  if (Closed_)
    return false;
  CallsInProgress_.emplace(Context, 0);
  return true;
}

void PeerClient::unregisterCall(grpc::ClientContext *Context) {
  std::lock_guard Guard(Mutex_);
  CallsInProgress_.erase(Context);
  CallEnded_.notify_all();
}

void PeerClient::awaitIdle(core::TimePoint Deadline) {
  std::unique_lock Lock(Mutex_);
  CallEnded_.wait_for(Lock, Deadline - core::MonotonicClock::now(),
                      [this] { return CallsInProgress_.empty(); });
}

void PeerClient::close() {
  std::unique_lock Lock(Mutex_);
  Closed_ = true;
  for (auto &[Context, Unused] : CallsInProgress_)
    Context->TryCancel();
  CallEnded_.wait(Lock, [this] { return CallsInProgress_.empty(); });
}

CallFailure PeerClient::failureOf(const grpc::Status &Status) {
  switch (Status.error_code()) {
  // Returned only by the handlers of the peer; gRPC itself uses other codes for lost calls.
  case grpc::StatusCode::FAILED_PRECONDITION:
  case grpc::StatusCode::INVALID_ARGUMENT:
  case grpc::StatusCode::NOT_FOUND:
    return CallFailure::Refused;
  default:
    return CallFailure::Lost;
  }
}

} // namespace cornellift::peer
