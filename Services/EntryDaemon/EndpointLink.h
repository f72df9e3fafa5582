#pragma once

#include "Kernel/Action.h"
#include "Kernel/KernelConfiguration.h"
#include "Libraries/LibCore/Ring.h"
#include "Libraries/LibEndpoint/EndpointProtocol.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/EndpointMetrics.h"
#include "Services/EntryDaemon/EventPoster.h"
#include "Services/EntryDaemon/IssuerNames.h"
#include "Services/EntryDaemon/StartSession.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cornellift::entry {

/// References that the links of all endpoints share.
struct LinkContext {
  const IssuerNames &Names;
  EventPoster &Kernel;
  const CurrentConfiguration &Configuration;
  EndpointMetrics &Metrics;
};

/// Manages the connections to one endpoint: one thread per open connection for task starts, created
/// on demand up to the endpoint's connection limit, and one thread for control requests (status
/// probe, status query, fence), each of which uses a new connection.
class EndpointLink {
public:
  EndpointLink(LinkContext Context, kernel::EndpointIndex Index,
               const kernel::EndpointConfiguration &Configuration);
  ~EndpointLink();

  const std::string &address() const { return Address_; }

  /// These do not block. They return false, and send nothing, when the ring is full.
  bool start(kernel::StartTask Action);
  bool ask(kernel::AskTask Action) { return enqueueControlRequest(Action); }
  bool fence(kernel::FenceTask Action) { return enqueueControlRequest(Action); }
  bool probe() { return enqueueControlRequest(Probe{}); }

  /// Ends the threads; running starts are aborted and reported as uncertain.
  void stop();

private:
  using Session = std::shared_ptr<StartSession>;
  struct Probe {};

  /// Timeout of a control request; the kernel's deadlines for them are longer.
  static constexpr core::Duration ControlTimeout = std::chrono::seconds(1);

  using ControlRequest = std::variant<Probe, kernel::AskTask, kernel::FenceTask>;

  // On the connection threads.
  void serveStarts();
  void run(endpoint::EndpointProtocol &Connection, StartSession &Session);
  bool ensureBootKnown(endpoint::EndpointProtocol &Connection, StartSession &Session);
  std::optional<endpoint::StartRequest> makeRequest(const StartSession &Session) const;
  void report(StartSession &Session, endpoint::StartAnswer Answer);
  void reportEnded(StartSession &Session, endpoint::Ended Result);
  void reportRefused(StartSession &Session, kernel::StartRefusal Cause);

  // On the control thread, but for enqueueControlRequest().
  bool enqueueControlRequest(ControlRequest Next);
  void serveControlRequests();
  void sendControlRequest(const Probe &);
  void sendControlRequest(const kernel::AskTask &Action);
  void sendControlRequest(const kernel::FenceTask &Action);
  void reportAnswer(const Session &QueriedSession, std::optional<endpoint::TaskAnswer> Answer);
  void reportTask(kernel::TaskId Task, std::uint32_t Attempt, kernel::TaskReport Report);
  std::optional<endpoint::TaskAnswer> fenceWithRetries(const StartSession &Session);

  std::string taskName(kernel::TaskId Task) const;
  std::unique_ptr<endpoint::EndpointProtocol> connect() const;
  Session findSession(std::uint32_t Attempt) const;
  void removeSession(std::uint32_t Attempt);
  void abortConnection(StartSession &Session);
  void forgetBoot();
  void recordStatus(const endpoint::EndpointStatus &Status);
  void postObserved(kernel::EndpointObserved::Reach Reachability,
                    kernel::EndpointObserved::Standing State, kernel::Resources Used);

  const LinkContext Context_;
  const kernel::EndpointIndex Index_;
  const std::string Address_;
  const std::size_t MaximumThreads_;
  core::Ring<Session> Starts_;
  core::Ring<ControlRequest> ControlRequests_;
  std::atomic<bool> Stopping_{false};
  std::atomic<std::size_t> InFlight_{0};
  mutable std::mutex Mutex_;
  std::unordered_map<std::uint32_t, Session> Sessions_; ///< By attempt.
  std::optional<std::string> Boot_; ///< Empty text when the endpoint reports none.
  std::vector<std::thread> Threads_;
  std::thread ControlThread_;
};

} // namespace cornellift::entry
