#pragma once

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibCore/Time.h"
#include "Libraries/LibPeer/PeerChannel.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace cornellift::peer {

/// Why a call has no reply.
enum class CallFailure {
  NotSent, ///< The peer is known to be unreachable; nothing was sent.
  Refused, ///< The peer answered with an error; the reason is its message.
  Lost     ///< No reply; the peer may have handled the call.
};

/// A reply, or why there is none.
template <typename Reply> struct CallResult {
  std::optional<Reply> Content{};
  CallFailure Failure = CallFailure::Lost;
  std::string Message{};
};

/// Calls to the other entry processes, by address. Each call has a deadline. Thread-safe.
class PeerClient {
public:
  template <typename Request, typename Reply>
  using Method = void (Peer::Stub::async::*)(grpc::ClientContext *, const Request *, Reply *,
                                             std::function<void(grpc::Status)>);
  template <typename Reply> using Done = std::function<void(CallResult<Reply>)>;

  /// Maps announced addresses to the addresses at which they are reached from this VM.
  using Routes = std::map<std::string, std::string>;

  PeerClient() = default;
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// Sends calls for an announced address to its route; other addresses are used unchanged. Must
  /// precede the first call.
  void setRoutes(Routes ByAnnouncedAddress) { Routes_ = std::move(ByAnnouncedAddress); }

  /// Starts a call. Finish runs exactly once, on a gRPC thread or, when nothing is sent, on the
  /// calling thread. It must not block.
  template <typename Request, typename Reply>
  void start(const std::string &Address, Method<Request, Reply> Call, Request Content,
             core::TimePoint Deadline, Done<Reply> Finish);

  /// Makes a call and blocks until it has finished.
  template <typename Request, typename Reply>
  CallResult<Reply> call(const std::string &Address, Method<Request, Reply> Call, Request Content,
                         core::TimePoint Deadline);

  /// Drops the connection to a peer that is no longer used. Calls in progress continue.
  void forget(const std::string &Address);

  /// Waits until no call is in progress, or for the deadline.
  void awaitIdle(core::TimePoint Deadline);

  /// Cancels the calls in progress and waits until they have finished. Later calls are not sent.
  void close();

  std::uint64_t callsSent() const { return CallsSent_.load(); }

private:
  /// State of one call, owned by its callbacks.
  template <typename Request, typename Reply> struct Session {
    std::shared_ptr<PeerChannel> Channel;
    std::shared_ptr<PeerChannel::Connection> Used;
    grpc::ClientContext Context;
    Request Content;
    Reply Answer;
    Done<Reply> Finish;
  };

  std::shared_ptr<PeerChannel> channel(const std::string &Address);
  bool registerCall(grpc::ClientContext *Context);
  void unregisterCall(grpc::ClientContext *Context);
  static CallFailure failureOf(const grpc::Status &Status);

  Routes Routes_;
  std::mutex Mutex_;
  std::condition_variable CallEnded_;
  std::map<std::string, std::shared_ptr<PeerChannel>> Channels_;
  std::map<grpc::ClientContext *, int> CallsInProgress_;
  bool Closed_ = false;
  std::atomic<std::uint64_t> CallsSent_{0};
};

template <typename Request, typename Reply>
void PeerClient::start(const std::string &Address, Method<Request, Reply> Call, Request Content,
                       core::TimePoint Deadline, Done<Reply> Finish) {
  auto Open = std::make_shared<Session<Request, Reply>>();
  Open->Channel = channel(Address);
  if (Open->Channel->isDown() || !registerCall(&Open->Context))
    return Finish({.Failure = CallFailure::NotSent,
                   .Message = "no connection to " + Address + "; retry when its VM is up"});
  Open->Used = Open->Channel->connection();
  Open->Content = std::move(Content);
  Open->Finish = std::move(Finish);
  auto Remaining = Deadline - core::MonotonicClock::now();
  Open->Context.set_deadline(std::chrono::system_clock::now() + Remaining);
  CallsSent_.fetch_add(1);
  (Open->Used->Stub->async()->*Call)(
      &Open->Context, &Open->Content, &Open->Answer, [this, Open](const grpc::Status &Status) {
        CallResult<Reply> Result;
        if (Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
          Open->Channel->reportTimeout(Open->Used);
        if (Status.ok()) {
          Result.Content = std::move(Open->Answer);
        } else {
          Result.Failure = failureOf(Status);
          Result.Message = Status.error_message();
        }
        Open->Finish(std::move(Result));
        unregisterCall(&Open->Context);
      });
}

template <typename Request, typename Reply>
CallResult<Reply> PeerClient::call(const std::string &Address, Method<Request, Reply> Call,
                                   Request Content, core::TimePoint Deadline) {
  struct Waiter {
    std::mutex Mutex;
    std::condition_variable Arrived;
    std::optional<CallResult<Reply>> Result;
  };
  auto Shared = std::make_shared<Waiter>();
  start<Request, Reply>(Address, Call, std::move(Content), Deadline, [Shared](auto Result) {
    std::lock_guard Guard(Shared->Mutex);
    Shared->Result = std::move(Result);
    Shared->Arrived.notify_one();
  });
  std::unique_lock Lock(Shared->Mutex);
  Shared->Arrived.wait(Lock, [&] { return Shared->Result.has_value(); });
  return std::move(*Shared->Result);
}

} // namespace cornellift::peer
