#include "Services/EntryDaemon/EndpointLink.h"

#include <thread>
#include <utility>

namespace cornellift::entry {
namespace {

/// A fence is retried while the endpoint does not reply, since without a reply the job ends as
/// MayHaveRun.
constexpr int FenceAttempts = 3;
constexpr core::Duration FenceRetryDelay = std::chrono::milliseconds(200);

} // namespace

bool EndpointLink::enqueueControlRequest(ControlRequest Next) {
  {
    std::lock_guard Guard(Mutex_);
    if (!ControlThread_.joinable())
      ControlThread_ = std::thread([this] { serveControlRequests(); });
  }
  return ControlRequests_.tryPush(Next);
}

void EndpointLink::serveControlRequests() {
  while (auto Next = ControlRequests_.pop())
    std::visit([this](const auto &Request) { sendControlRequest(Request); }, *Next);
}

void EndpointLink::sendControlRequest(const Probe &) {
  Context_.Metrics.Probes.add();
  auto Connection = connect();
  auto Status = Connection ? Connection->status(core::MonotonicClock::now() + ControlTimeout)
                           : std::optional<endpoint::EndpointStatus>();
  if (Status)
    recordStatus(*Status);
  else
    postObserved(kernel::EndpointObserved::Reach::Unreachable, {}, {});
}

void EndpointLink::sendControlRequest(const kernel::AskTask &Action) {
  auto QueriedSession = findSession(Action.Attempt);
  auto Connection = connect();
  if (!QueriedSession || !Connection)
    return reportTask(Action.Task, Action.Attempt, kernel::TaskReport::Unknown);
  Context_.Metrics.StatusQueries.add();
  auto Task = taskName(Action.Task);
  std::string Boot;
  {
    std::lock_guard Guard(Mutex_);
    Boot = QueriedSession->Boot;
  }
  auto Answer = Connection->queryTask(Task, Boot, core::MonotonicClock::now() + ControlTimeout);
  reportAnswer(QueriedSession, std::move(Answer));
}

void EndpointLink::sendControlRequest(const kernel::FenceTask &Action) {
  auto QueriedSession = findSession(Action.Attempt);
  if (!QueriedSession)
    return reportTask(Action.Task, Action.Attempt, kernel::TaskReport::Unknown);
  auto Answer = fenceWithRetries(*QueriedSession);
  bool Known = Answer && !std::holds_alternative<endpoint::NoRecord>(*Answer);
  reportAnswer(QueriedSession, std::move(Answer));
  if (Known)
    return;
  // The kernel abandons the task, so nothing more is reported about it.
  QueriedSession->settle();
  abortConnection(*QueriedSession);
  removeSession(Action.Attempt);
}

std::optional<endpoint::TaskAnswer> EndpointLink::fenceWithRetries(const StartSession &Session) {
  auto Task = taskName(Session.Action.Task);
  std::string Boot;
  {
    std::lock_guard Guard(Mutex_);
    Boot = Session.Boot;
  }
  for (int Attempt = 0; Attempt < FenceAttempts && !Stopping_.load(); ++Attempt) {
    if (Attempt > 0)
      std::this_thread::sleep_for(FenceRetryDelay);
    Context_.Metrics.Fences.add();
    auto Connection = connect();
    if (!Connection)
      return std::nullopt;
    auto Answer = Connection->fence(Task, Session.Action.Attempt, Boot,
                                    core::MonotonicClock::now() + ControlTimeout);
    if (Answer)
      return Answer;
  }
  return std::nullopt;
}

void EndpointLink::reportAnswer(const Session &QueriedSession,
                                std::optional<endpoint::TaskAnswer> Answer) {
  const auto &Action = QueriedSession->Action;
  if (!Answer || std::holds_alternative<endpoint::NoRecord>(*Answer))
    return reportTask(Action.Task, Action.Attempt, kernel::TaskReport::Unknown);
  if (std::holds_alternative<endpoint::Running>(*Answer))
    return reportTask(Action.Task, Action.Attempt, kernel::TaskReport::Running);
  if (auto *Result = std::get_if<endpoint::Ended>(&*Answer)) {
    reportEnded(*QueriedSession, std::move(*Result));
  } else if (QueriedSession->settle()) {
    removeSession(Action.Attempt);
    reportTask(Action.Task, Action.Attempt, kernel::TaskReport::NotStartedAndFenced);
  }
  // The connection of the start has gone silent.
  abortConnection(*QueriedSession);
}

void EndpointLink::reportTask(kernel::TaskId Task, std::uint32_t Attempt,
                              kernel::TaskReport Report) {
  Context_.Kernel.post(kernel::TaskReported{Task, Index_, Report, Attempt});
}

} // namespace cornellift::entry
