#include "Services/EntryDaemon/EndpointLink.h"

#include <thread>
#include <utility>

namespace cornellift::entry {
namespace {

/// A fence is repeated while the endpoint cannot be asked: without its answer the job ends as
/// MayHaveRun.
constexpr int FenceAttempts = 3;
constexpr core::Duration FencePause = std::chrono::milliseconds(200);

} // namespace

bool EndpointLink::putQuestion(Question Next) {
  {
    std::lock_guard Guard(Mutex_);
    if (!QuestionThread_.joinable())
      QuestionThread_ = std::thread([this] { serveQuestions(); });
  }
  return Questions_.tryPush(Next);
}

void EndpointLink::serveQuestions() {
  while (auto Next = Questions_.pop())
    std::visit([this](const auto &Asked) { answer(Asked); }, *Next);
}

void EndpointLink::answer(const Probe &) {
  Context_.Metrics.Probes.add();
  auto Connection = connect();
  auto Status = Connection ? Connection->status(core::MonotonicClock::now() + QuestionTime)
                           : std::optional<endpoint::EndpointStatus>();
  if (Status)
    noteStatus(*Status);
  else
    observe(kernel::EndpointObserved::Reach::Unreachable, {}, {});
}

void EndpointLink::answer(const kernel::AskTask &Action) {
  auto Asked = findSession(Action.Attempt);
  auto Connection = connect();
  if (!Asked || !Connection)
    return reportTask(Action.Task, Action.Attempt, kernel::TaskReport::Unknown);
  Context_.Metrics.Questions.add();
  auto Task = taskName(Action.Task);
  std::string Boot;
  {
    std::lock_guard Guard(Mutex_);
    Boot = Asked->Boot;
  }
  auto Answer = Connection->queryTask(Task, Boot, core::MonotonicClock::now() + QuestionTime);
  reportAnswer(Asked, std::move(Answer));
}

void EndpointLink::answer(const kernel::FenceTask &Action) {
  auto Asked = findSession(Action.Attempt);
  if (!Asked)
    return reportTask(Action.Task, Action.Attempt, kernel::TaskReport::Unknown);
  auto Answer = fenceRepeatedly(*Asked);
  bool Known = Answer && !std::holds_alternative<endpoint::NoRecord>(*Answer);
  reportAnswer(Asked, std::move(Answer));
  if (Known)
    return;
  // The kernel gives the task up, so nothing more is reported of it.
  Asked->settle();
  abortConnection(*Asked);
  forget(Action.Attempt);
}

std::optional<endpoint::TaskAnswer> EndpointLink::fenceRepeatedly(const StartSession &Session) {
  auto Task = taskName(Session.Action.Task);
  std::string Boot;
  {
    std::lock_guard Guard(Mutex_);
    Boot = Session.Boot;
  }
  for (int Attempt = 0; Attempt < FenceAttempts && !Stopping_.load(); ++Attempt) {
    if (Attempt > 0)
      std::this_thread::sleep_for(FencePause);
    Context_.Metrics.Fences.add();
    auto Connection = connect();
    if (!Connection)
      return std::nullopt;
    auto Answer = Connection->fence(Task, Session.Action.Attempt, Boot,
                                    core::MonotonicClock::now() + QuestionTime);
    if (Answer)
      return Answer;
  }
  return std::nullopt;
}

void EndpointLink::reportAnswer(const Session &Asked, std::optional<endpoint::TaskAnswer> Answer) {
  const auto &Action = Asked->Action;
  if (!Answer || std::holds_alternative<endpoint::NoRecord>(*Answer))
    return reportTask(Action.Task, Action.Attempt, kernel::TaskReport::Unknown);
  if (std::holds_alternative<endpoint::Running>(*Answer))
    return reportTask(Action.Task, Action.Attempt, kernel::TaskReport::Running);
  if (auto *Result = std::get_if<endpoint::Ended>(&*Answer)) {
    reportEnded(*Asked, std::move(*Result));
  } else if (Asked->settle()) {
    forget(Action.Attempt);
    reportTask(Action.Task, Action.Attempt, kernel::TaskReport::NotStartedAndFenced);
  }
  // Its own connection has gone silent.
  abortConnection(*Asked);
}

void EndpointLink::reportTask(kernel::TaskId Task, std::uint32_t Attempt,
                              kernel::TaskReport Report) {
  Context_.Kernel.post(kernel::TaskReported{Task, Index_, Report, Attempt});
}

} // namespace cornellift::entry
