#pragma once

#include "Kernel/Action.h"
#include "Kernel/KernelConfiguration.h"
#include "Libraries/LibCore/Ring.h"
#include "Libraries/LibEndpoint/EndpointProtocol.h"
#include "Services/EntryDaemon/ConfigurationBoard.h"
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

/// What the links of all endpoints share.
struct LinkContext {
  const IssuerNames &Names;
  EventPoster &Kernel;
  const ConfigurationBoard &Board;
  EndpointMetrics &Metrics;
};

/// The connections to one endpoint: one thread per open connection, started on demand up to the
/// endpoint's connection limit, and one thread for questions, which uses a fresh connection each
/// time.
class EndpointLink {
public:
  EndpointLink(LinkContext Context, kernel::EndpointIndex Index,
               const kernel::EndpointConfiguration &Configuration);
  ~EndpointLink();

  const std::string &address() const { return Address_; }

  /// These do not block. They return false when the ring is full; nothing was sent then.
  bool start(kernel::StartTask Action);
  bool ask(kernel::AskTask Action) { return putQuestion(Action); }
  bool fence(kernel::FenceTask Action) { return putQuestion(Action); }
  bool probe() { return putQuestion(Probe{}); }

  /// Ends the threads; running starts are cut and reported as uncertain.
  void stop();

private:
  using Session = std::shared_ptr<StartSession>;
  struct Probe {};

  /// Wait for the answer to a question; the kernel's deadlines for questions are longer.
  static constexpr core::Duration QuestionTime = std::chrono::seconds(1);

  using Question = std::variant<Probe, kernel::AskTask, kernel::FenceTask>;

  // Connection threads.
  void serveStarts();
  void run(endpoint::EndpointProtocol &Connection, StartSession &Session);
  bool learnBoot(endpoint::EndpointProtocol &Connection, StartSession &Session);
  std::optional<endpoint::StartRequest> makeRequest(const StartSession &Session) const;
  void report(StartSession &Session, endpoint::StartAnswer Answer);
  void reportEnded(StartSession &Session, endpoint::Ended Result);
  void reportRefused(StartSession &Session, kernel::StartRefusal Cause);

  // Question thread.
  bool putQuestion(Question Next);
  void serveQuestions();
  void answer(const Probe &);
  void answer(const kernel::AskTask &Action);
  void answer(const kernel::FenceTask &Action);
  void reportAnswer(const Session &Asked, std::optional<endpoint::TaskAnswer> Answer);
  void reportTask(kernel::TaskId Task, std::uint32_t Attempt, kernel::TaskReport Report);
  std::optional<endpoint::TaskAnswer> fenceRepeatedly(const StartSession &Session);

  std::string taskName(kernel::TaskId Task) const;
  std::unique_ptr<endpoint::EndpointProtocol> connect() const;
  Session findSession(std::uint32_t Attempt) const;
  void forget(std::uint32_t Attempt);
  void abortConnection(StartSession &Session);
  void forgetBoot();
  void noteStatus(const endpoint::EndpointStatus &Status);
  void observe(kernel::EndpointObserved::Reach Reachability,
               kernel::EndpointObserved::Standing State, kernel::Resources Used);

  const LinkContext Context_;
  const kernel::EndpointIndex Index_;
  const std::string Address_;
  const std::size_t MaximumThreads_;
  core::Ring<Session> Starts_;
  core::Ring<Question> Questions_;
  std::atomic<bool> Stopping_{false};
  std::atomic<std::size_t> InFlight_{0};
  mutable std::mutex Mutex_;
  std::unordered_map<std::uint32_t, Session> Sessions_; ///< By attempt.
  std::optional<std::string> Boot_; ///< Empty text when the endpoint does not tell one.
  std::vector<std::thread> Threads_;
  std::thread QuestionThread_;
};

} // namespace cornellift::entry
