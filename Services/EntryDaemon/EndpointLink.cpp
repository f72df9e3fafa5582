#include "Services/EntryDaemon/EndpointLink.h"

#if defined(__GNUC__) && !defined(__clang__)
// False positive of g++ 12 at -O2 for an optional shared_ptr that is moved through the ring.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include "Libraries/LibCore/Log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornellift::entry {
namespace {

/// Tasks take seconds at most; the kernel queries the status of one without a reply much earlier.
constexpr core::Duration StartTimeout = std::chrono::minutes(15);

constexpr std::size_t ControlRingEntries = 1024;

} // namespace

EndpointLink::EndpointLink(LinkContext Context, kernel::EndpointIndex Index,
                           const kernel::EndpointConfiguration &Configuration)
    : Context_(Context), Index_(Index), Address_(Configuration.Address),
      MaximumThreads_(
          std::max<std::size_t>(1, std::min(Configuration.Slots, Configuration.Connections))),
      // A slot that the kernel already counts as free may still have its previous start in the
      // ring.
      Starts_(2 * MaximumThreads_), ControlRequests_(ControlRingEntries) {}

EndpointLink::~EndpointLink() { stop(); }

bool EndpointLink::start(kernel::StartTask Action) {
  auto Attempt = Action.Attempt;
  auto Next = std::make_shared<StartSession>(std::move(Action));
  {
    std::lock_guard Guard(Mutex_);
    Sessions_[Attempt] = Next;
    auto Needed = InFlight_.fetch_add(1) + 1;
    if (Needed > Threads_.size() && Threads_.size() < MaximumThreads_)
      Threads_.emplace_back([this] { serveStarts(); });
  }
  if (Starts_.tryPush(std::move(Next)))
    return true;
  InFlight_.fetch_sub(1);
  removeSession(Attempt);
  return false;
}

void EndpointLink::stop() {
  if (Stopping_.exchange(true))
    return;
  Starts_.close();
  ControlRequests_.close();
  {
    std::lock_guard Guard(Mutex_);
    for (const auto &[Attempt, Running] : Sessions_)
      if (Running->Connection != nullptr)
        Running->Connection->abort();
  }
  for (auto &Thread : Threads_)
    Thread.join();
  if (ControlThread_.joinable())
    ControlThread_.join();
}

void EndpointLink::serveStarts() {
  auto Connection = connect();
  while (auto Next = Starts_.pop()) {
    if (Connection)
      run(*Connection, **Next);
    else
      reportRefused(**Next, kernel::StartRefusal::NotSent);
    InFlight_.fetch_sub(1);
  }
}

void EndpointLink::run(endpoint::EndpointProtocol &Connection, StartSession &Session) {
  // A fence ended the session while its start waited in the ring.
  if (Session.isSettled())
    return;
  auto Request = makeRequest(Session);
  if (!Request)
    return reportRefused(Session, kernel::StartRefusal::Invalid);
  if (!ensureBootKnown(Connection, Session)) {
    postObserved(kernel::EndpointObserved::Reach::Unreachable, {}, {});
    return reportRefused(Session, kernel::StartRefusal::NotSent);
  }
  Request->Boot = Session.Boot;
  Context_.Metrics.Starts.add();
  auto Answer = Connection.start(*Request, core::MonotonicClock::now() + StartTimeout);
  {
    std::lock_guard Guard(Mutex_);
    Session.Connection = nullptr;
  }
  report(Session, std::move(Answer));
}

/// A fence proves that a task did not start only for the boot of the endpoint to which the start
/// was sent, so the boot identifier has to be known before the start.
bool EndpointLink::ensureBootKnown(endpoint::EndpointProtocol &Connection, StartSession &Session) {
  {
    std::lock_guard Guard(Mutex_);
    Session.Connection = &Connection;
    if (Boot_) {
      Session.Boot = *Boot_;
      return true;
    }
  }
  Context_.Metrics.Probes.add();
  auto Status = Connection.status(core::MonotonicClock::now() + ControlTimeout);
  if (Status)
    recordStatus(*Status);
  std::lock_guard Guard(Mutex_);
  if (Status)
    Session.Boot = Status->Boot;
  else
    Session.Connection = nullptr;
  return Status.has_value();
}

std::optional<endpoint::StartRequest> EndpointLink::makeRequest(const StartSession &Session) const {
  const auto &Action = Session.Action;
  auto Configuration = Context_.Configuration.get();
  auto ServiceNumber = static_cast<std::size_t>(Action.Service);
  auto KindNumber = static_cast<std::size_t>(Action.Kind);
  auto TeamNumber = static_cast<std::size_t>(Action.Team);
  if (!Configuration || ServiceNumber >= Configuration->Services.size() ||
      KindNumber >= Configuration->Services[ServiceNumber].Kinds.size() ||
      TeamNumber >= Configuration->Teams.size() || !Action.Payload ||
      Action.PayloadIndex >= Action.Payload->Tasks.size())
    return std::nullopt;
  endpoint::StartRequest Request;
  Request.Task = taskName(Action.Task);
  Request.Attempt = Action.Attempt;
  Request.Service = Configuration->Services[ServiceNumber].Name;
  Request.Kind = Configuration->Services[ServiceNumber].Kinds[KindNumber].Name;
  Request.Team = Configuration->Teams[TeamNumber].Name;
  Request.Declared = Action.Spec.Declared;
  Request.TaskCount = Action.TaskCount;
  Request.Fingerprint = Action.Fingerprint;
  Request.Payload = Action.Payload->Tasks[Action.PayloadIndex];
  return Request;
}

void EndpointLink::report(StartSession &Session, endpoint::StartAnswer Answer) {
  if (auto *Result = std::get_if<endpoint::Ended>(&Answer))
    return reportEnded(Session, std::move(*Result));
  if (const auto *Refusal = std::get_if<endpoint::Refused>(&Answer)) {
    Context_.Metrics.Refusals.add();
    if (Refusal->Cause == kernel::StartRefusal::NotSent)
      forgetBoot();
    return reportRefused(Session, Refusal->Cause);
  }
  forgetBoot();
  if (std::holds_alternative<endpoint::NeverWritten>(Answer)) {
    Context_.Metrics.Unwritten.add();
    postObserved(kernel::EndpointObserved::Reach::Unreachable, {}, {});
    return reportRefused(Session, kernel::StartRefusal::NotSent);
  }
  Context_.Metrics.Uncertain.add();
  core::logLine(core::LogLevel::Warning, "endpoint", "no reply to a task start",
                {{"task", taskName(Session.Action.Task)},
                 {"endpoint", Address_},
                 {"cause", std::get<endpoint::Uncertain>(Answer).Cause}});
  if (!Session.isSettled())
    Context_.Kernel.post(
        kernel::TaskUncertain{Session.Action.Task, Index_, Session.Action.Attempt});
}

void EndpointLink::reportEnded(StartSession &Session, endpoint::Ended Result) {
  if (!Session.settle())
    return;
  bool Finished = Result.Verdict == kernel::TaskVerdict::Finished;
  (Finished ? Context_.Metrics.Finished : Context_.Metrics.Failed).add();
  auto Task = Session.Action.Task;
  removeSession(Session.Action.Attempt);
  Context_.Kernel.post(kernel::TaskEnded{Task, Index_, Result.Verdict, std::move(Result.Result),
                                         Result.RunTime, Result.Used});
}

void EndpointLink::reportRefused(StartSession &Session, kernel::StartRefusal Cause) {
  if (!Session.settle())
    return;
  auto Task = Session.Action.Task;
  auto Attempt = Session.Action.Attempt;
  removeSession(Attempt);
  Context_.Kernel.post(kernel::StartRefused{Task, Index_, Cause, Attempt});
}

std::string EndpointLink::taskName(kernel::TaskId Task) const {
  return kernel::formatTaskId(Context_.Names.nameOf(Task.Job.Issuer), Task);
}

std::unique_ptr<endpoint::EndpointProtocol> EndpointLink::connect() const {
  auto Connection = endpoint::connectEndpoint("http", Address_);
  return Connection ? std::move(*Connection) : nullptr;
}

EndpointLink::Session EndpointLink::findSession(std::uint32_t Attempt) const {
  std::lock_guard Guard(Mutex_);
  auto Found = Sessions_.find(Attempt);
  return Found == Sessions_.end() ? nullptr : Found->second;
}

void EndpointLink::removeSession(std::uint32_t Attempt) {
  std::lock_guard Guard(Mutex_);
  Sessions_.erase(Attempt);
}

void EndpointLink::abortConnection(StartSession &Session) {
  std::lock_guard Guard(Mutex_);
  if (Session.Connection != nullptr)
    Session.Connection->abort();
}

void EndpointLink::forgetBoot() {
  std::lock_guard Guard(Mutex_);
  Boot_.reset();
}

void EndpointLink::recordStatus(const endpoint::EndpointStatus &Status) {
  {
    std::lock_guard Guard(Mutex_);
    Boot_ = Status.Boot;
  }
  postObserved(kernel::EndpointObserved::Reach::Reachable,
               Status.State == endpoint::EndpointStatus::Standing::Leaving
                   ? kernel::EndpointObserved::Standing::Leaving
                   : kernel::EndpointObserved::Standing::Live,
               Status.Used);
}

void EndpointLink::postObserved(kernel::EndpointObserved::Reach Reachability,
                                kernel::EndpointObserved::Standing State, kernel::Resources Used) {
  Context_.Kernel.post(kernel::EndpointObserved{Index_, Reachability, State, Used});
}

} // namespace cornellift::entry
