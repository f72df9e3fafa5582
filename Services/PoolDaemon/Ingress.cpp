#include "Services/PoolDaemon/Ingress.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace cornellift::pool {
namespace {

using reactor::HttpMethod;

/// How long a job waits until a manager is known; a handover between managers takes less.
constexpr core::Duration ManagerWaitTimeout = std::chrono::milliseconds(300);
/// Margin before the caller's deadline, for the transmission of the reply.
constexpr core::Duration ReplyMargin = std::chrono::milliseconds(10);
/// Retry-After while this process has no configuration or knows no manager, or is about to end.
constexpr double StartupRetryMilliseconds = 1000;
/// Retry-After while clients use up the memory; slow ones are closed meanwhile.
constexpr double MemoryRetryMilliseconds = 1000;
/// Retry-After for unsupported features, which no process accepts before an upgrade.
constexpr double UnsupportedRetryMilliseconds = 60000;
constexpr double MillisecondsPerSecond = 1000;

std::optional<double> parseNumber(std::string_view Text) {
  double Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Parsed.ec != std::errc() || !std::isfinite(Value))
    return std::nullopt;
  return Value;
}

/// Path without the query.
std::string_view pathOf(std::string_view Target) { return Target.substr(0, Target.find('?')); }

/// Host without the port.
std::string_view hostOf(std::string_view Host) { return Host.substr(0, Host.find(':')); }

std::string_view outcomeName(kernel::JobVerdict Verdict) {
  switch (Verdict) {
  case kernel::JobVerdict::Completed:
    return "completed";
  case kernel::JobVerdict::Failed:
    return "failed";
  case kernel::JobVerdict::Rejected:
    return "rejected";
  case kernel::JobVerdict::GivenUp:
    return "given_up";
  case kernel::JobVerdict::Cancelled:
    return "cancelled";
  }
  return "given_up";
}

} // namespace

Ingress::Ingress(const platform::CallerFormat &Format, kernel::DecisionLog &Log,
                 core::MetricsRegistry &Metrics, Sender Send, Cancellations::ProcessList Processes)
    : Format_(Format), Log_(Log), Metrics_(Metrics), Send_(std::move(Send)),
      Cancellations_(Log, Send_, std::move(Processes)) {}

void Ingress::setConfiguration(std::shared_ptr<const kernel::PoolConfiguration> Configuration) {
  Configuration_ = std::move(Configuration);
}

void Ingress::setAssignedManager(std::optional<kernel::PeerIndex> Manager,
                                 core::TimePoint /*Now*/) {
  AssignedManager_ = Manager;
  if (!AssignedManager_)
    return;
  for (auto &[Key, Job] : Jobs_)
    if (!Job.Manager)
      submitToManager(Job);
}

reactor::HttpReply Ingress::rejection(double RetryMilliseconds) const {
  auto Seconds = std::max(1.0, std::ceil(RetryMilliseconds / MillisecondsPerSecond));
  return {503, {}, {{"Retry-After", std::to_string(static_cast<int>(Seconds))}}};
}

core::TimePoint Ingress::limitToStop(core::TimePoint Deadline) const {
  return StopDeadline_ ? std::min(Deadline, *StopDeadline_) : Deadline;
}

void Ingress::handle(const Exchange &Request) {
  if (StopDeadline_ && core::MonotonicClock::now() >= *StopDeadline_)
    return refuse(Request, rejection(StartupRetryMilliseconds), "this process is about to end");
  if (!Configuration_)
    return refuse(Request, rejection(StartupRetryMilliseconds), "no configuration yet");
  auto Path = pathOf(Request->target());
  const auto *Route = Configuration_->find(hostOf(Request->host()), Path);
  if (!Route)
    return refuse(Request, {404, {}, {}}, "no such route");
  auto Rest = Path.substr(Route->Prefix.size());
  if (Rest.empty() && Request->method() == HttpMethod::Get)
    return replyWithBacklog(Request, *Route);
  auto Key = kernel::parseJobKey(Rest);
  if (!Key)
    return refuse(Request, {404, {}, {}}, "no job identifier");
  switch (Request->method()) {
  case HttpMethod::Post:
    return submit(Request, *Route, *Key);
  case HttpMethod::Get:
    return replyWithProgress(Request, *Key);
  case HttpMethod::Delete:
    return cancel(Request, *Key);
  case HttpMethod::Other:
    return refuse(Request, {405, {}, {{"Allow", "GET, POST, DELETE"}}}, "method not allowed", Key);
  }
}

bool Ingress::takesBody(const reactor::ReceivedRequest &Request) const {
  if (Request.method() != HttpMethod::Post || !Configuration_)
    return false;
  auto Path = pathOf(Request.target());
  const auto *Route = Configuration_->find(hostOf(Request.header("Host")), Path);
  return Route && kernel::parseJobKey(Path.substr(Route->Prefix.size()));
}

void Ingress::refuse(const Exchange &Request, const reactor::HttpReply &Reply, std::string_view Why,
                     std::optional<kernel::JobKey> Key) {
  Metrics_
      .counter("cornellift_requests_refused_total",
               {{"status", std::to_string(static_cast<unsigned>(Reply.Status))}})
      .add();
  Log_.line(
      kernel::DecisionPriority::Notable, "request refused", Key,
      {{"status", static_cast<std::int64_t>(Reply.Status)},
       {"why", Why},
       {"target", std::string_view(Request->target())},
       {"configuration", static_cast<std::int64_t>(Configuration_ ? Configuration_->Version : 0)}});
  Request->reply(Reply);
}

void Ingress::submit(const Exchange &Request, const kernel::Route &Route, kernel::JobKey Key) {
  Metrics_.counter("cornellift_jobs_submitted_total").add();
  if (auto Known = Jobs_.find(Key); Known != Jobs_.end()) {
    Request->replaceBody(0); // The job is counted for the request that has handed it in.
    return attach(Known->second, Request);
  }
  if (Request->isBodyDropped())
    return refuse(Request, rejection(StartupRetryMilliseconds), "the route was just added", Key);
  auto Submitted = Format_.parseJob(Request->body());
  if (!Submitted || !kernel::checkJob(*Submitted))
    return refuse(Request, {400, {}, {}}, core::lastReason().Message, Key);
  if (!isSupported(*Submitted, Route)) {
    Log_.line(kernel::DecisionPriority::Notable, "job of an unsupported kind rejected", Key,
              {{"feature", std::string_view(Submitted->Unsupported)},
               {"awaited", std::int64_t{Submitted->IsAwaited}}});
    return refuse(Request, rejection(UnsupportedRetryMilliseconds), "unsupported feature", Key);
  }
  // The timeout that the caller states takes precedence over the route's timeout.
  auto CallerTimeout = parseNumber(Request->header(Format_.waitHeader()));
  auto Limit = CallerTimeout ? core::fromMilliseconds(*CallerTimeout) : Route.Timeout;
  auto Submission = makeSubmission(std::move(*Submitted), Route, Key, Request->receivedAt(), Limit);
  if (!Request->replaceBody(Submission->memory()))
    return refuse(Request, rejection(MemoryRetryMilliseconds), "no memory for the job", Key);
  logReceived(*Submission, Limit);
  auto &Job = Jobs_[Key];
  Job.Submission = std::move(Submission);
  Job.ManagerDeadline = Request->receivedAt() + ManagerWaitTimeout;
  attach(Job, Request);
  if (AssignedManager_)
    submitToManager(Job);
}

bool Ingress::isSupported(const kernel::SubmittedJob &Submitted, const kernel::Route &Route) {
  return Submitted.IsAwaited && Submitted.Unsupported.empty() && !Route.NeedsAdvice;
}

std::shared_ptr<kernel::JobSubmission> Ingress::makeSubmission(kernel::SubmittedJob Submitted,
                                                               const kernel::Route &Route,
                                                               kernel::JobKey Key,
                                                               core::TimePoint ReceivedAt,
                                                               core::Duration Limit) const {
  auto Submission = std::make_shared<kernel::JobSubmission>();
  Submission->Key = Key;
  Submission->Specification = std::move(Submitted.Specification);
  Submission->Steps = std::move(Submitted.Steps);
  Submission->Policy = Route.Policy;
  Submission->ReceivedAt = ReceivedAt;
  Submission->AnswerBy = limitToStop(ReceivedAt + Limit - ReplyMargin);
  return Submission;
}

AskedJob Ingress::askedJob(const AskedRequest &Asked) const {
  if (StopDeadline_ && Asked.ReceivedAt >= *StopDeadline_)
    return {nullptr, 503, "this process is about to end and refuses requests; ask another VM"};
  if (!Configuration_)
    return {nullptr, 503, "this process has no configuration yet; ask another VM, or again later"};
  auto Path = pathOf(Asked.Target);
  const auto *Route = Configuration_->find(hostOf(Asked.Host), Path);
  if (!Route)
    return {nullptr, 404,
            "no route of configuration " + std::to_string(Configuration_->Version) +
                " has that host and path; give both as the caller does"};
  auto Rest = Path.substr(Route->Prefix.size());
  auto Key = Rest.empty() ? kernel::JobKey{} : kernel::parseJobKey(Rest);
  if (!Key)
    return {nullptr, 404,
            "the path does not end with a job identifier, or with the route's prefix"};
  if (!Rest.empty() && Jobs_.contains(*Key))
    return {nullptr, 409,
            "a job of that identifier is open here, whose answer the request would get; give the "
            "route's prefix alone to ask about a new job"};
  auto Submitted = Format_.parseJob(Asked.Body);
  if (!Submitted || !kernel::checkJob(*Submitted))
    return {nullptr, 400, core::lastReason().Message};
  if (!isSupported(*Submitted, *Route))
    return {
        nullptr, 400,
        "the job, or its route, needs a feature that is not supported, so that it is refused: " +
            (Submitted->Unsupported.empty() ? "its caller does not wait, or the route needs advice"
                                            : Submitted->Unsupported)};
  auto Limit =
      Asked.WaitMilliseconds ? core::fromMilliseconds(*Asked.WaitMilliseconds) : Route->Timeout;
  return {makeSubmission(std::move(*Submitted), *Route, *Key, Asked.ReceivedAt, Limit), 200, {}};
}

void Ingress::logReceived(const kernel::JobSubmission &Submission, core::Duration Limit) {
  const auto &First = Submission.Steps.front();
  Log_.line(kernel::DecisionPriority::Routine, "job received", Submission.Key,
            {{"route", std::string_view(Submission.Policy.Route)},
             {"configuration", static_cast<std::int64_t>(Configuration_->Version)},
             {"tasks", static_cast<std::int64_t>(Submission.taskCount())},
             {"declared_ms", First.DeclaredMilliseconds},
             {"cores", First.Need.Processors},
             {"rack", std::string_view(First.DataRack)},
             {"label", std::string_view(First.RequiredLabel)},
             {"per_worker", static_cast<std::int64_t>(First.MaximumPerWorker)},
             {"wait_ms", core::toMilliseconds(Limit)}});
}

void Ingress::attach(OpenJob &Job, const Exchange &Request) {
  Job.Exchanges.push_back(Request);
  auto *Raw = Request.get();
  Request->setDisconnectHandler(
      [this, Key = Job.Submission->Key, Raw] { callerDisconnected(Key, Raw); });
}

void Ingress::submitToManager(OpenJob &Job) {
  Job.Manager = AssignedManager_;
  Send_(*AssignedManager_, kernel::SubmitToPool{Job.Submission});
}

void Ingress::callerDisconnected(kernel::JobKey Key, const reactor::HttpExchange *Request) {
  auto Known = Jobs_.find(Key);
  if (Known == Jobs_.end())
    return;
  auto &Job = Known->second;
  std::erase_if(Job.Exchanges, [&](const Exchange &Each) { return Each.get() == Request; });
  if (!Job.Exchanges.empty()) {
    // Counted for one of those who go on waiting. The manager has the job already, so that it is
    // not refused if there is no room.
    Job.Exchanges.front()->replaceBody(Job.Submission->memory());
    return;
  }
  Metrics_.counter("cornellift_jobs_abandoned_total").add();
  Log_.line(kernel::DecisionPriority::Routine, "caller disconnected", Key, {});
  if (Job.Manager)
    Send_(*Job.Manager, kernel::AbandonJob{Key});
  Jobs_.erase(Known);
}

void Ingress::cancel(const Exchange &Request, kernel::JobKey Key) {
  auto Now = core::MonotonicClock::now();
  if (!cancelOpenJob(Key, Now))
    return Cancellations_.announceAndReply(Key, Request, AssignedManager_.has_value(), Now);
  Cancellations_.announce(Key);
  Request->reply({200, {}, {}});
}

bool Ingress::cancelOpenJob(kernel::JobKey Key, core::TimePoint Now) {
  auto Known = Jobs_.find(Key);
  if (Known == Jobs_.end())
    return false;
  if (auto Manager = Known->second.Manager) {
    Send_(*Manager, kernel::AbandonJob{Key}); // All that a manager of a former release understands.
    Send_(*Manager, kernel::CancelJob{Key});
  }
  finish(Key, {200, Format_.renderProgress(platform::JobProgress::Cancelled), {}},
         outcomeName(kernel::JobVerdict::Cancelled), Now);
  return true;
}

void Ingress::replyWithProgress(const Exchange &Request, kernel::JobKey Key) {
  bool IsOpen = Jobs_.contains(Key);
  if (!IsOpen)
    return Request->reply({410, {}, {}});
  Request->reply({200, Format_.renderProgress(platform::JobProgress::Running), {}});
}

void Ingress::replyWithBacklog(const Exchange &Request, const kernel::Route &Route) {
  std::uint64_t Count = 0;
  for (const auto &[Manager, Backlog] : Backlogs_)
    for (const auto &Entry : Backlog)
      if (Entry.Route == Route.Policy.Route)
        Count += Entry.Jobs;
  Request->reply({200, Format_.renderWaitingJobs(Count), {}});
}

void Ingress::answered(const kernel::PoolAnswer &Answer, core::TimePoint Now) {
  switch (Answer.Answer.Verdict) {
  case kernel::JobVerdict::Completed:
    return finish(Answer.Job, {200, Format_.renderProgress(platform::JobProgress::Completed), {}},
                  Answer.Answer.IsLate ? "completed_late" : "completed", Now);
  case kernel::JobVerdict::Failed:
    return finish(Answer.Job, {200, Format_.renderProgress(platform::JobProgress::Failed), {}},
                  outcomeName(Answer.Answer.Verdict), Now);
  case kernel::JobVerdict::Rejected:
    return finish(Answer.Job, rejection(Answer.Answer.RetryAfterMilliseconds),
                  outcomeName(Answer.Answer.Verdict), Now);
  case kernel::JobVerdict::GivenUp:
    return finish(Answer.Job, {504, {}, {}}, outcomeName(Answer.Answer.Verdict), Now);
  case kernel::JobVerdict::Cancelled:
    return finish(Answer.Job, {200, Format_.renderProgress(platform::JobProgress::Cancelled), {}},
                  outcomeName(Answer.Answer.Verdict), Now);
  }
}

void Ingress::finish(kernel::JobKey Key, const reactor::HttpReply &Reply, std::string_view Outcome,
                     core::TimePoint Now) {
  auto Known = Jobs_.find(Key);
  if (Known == Jobs_.end())
    return;
  auto Job = std::move(Known->second);
  Jobs_.erase(Known);
  double Taken = core::toMilliseconds(Now - Job.Submission->ReceivedAt);
  auto Labels = {core::MetricLabel("route", Job.Submission->Policy.Route),
                 core::MetricLabel("outcome", Outcome)};
  Metrics_.counter("cornellift_jobs_total", Labels).add();
  Metrics_.histogram("cornellift_job_milliseconds", Labels).add(Taken);
  bool IsServed = Outcome == "completed" || Outcome == "cancelled";
  Log_.line(IsServed ? kernel::DecisionPriority::Routine : kernel::DecisionPriority::Notable,
            "job answered", Key,
            {{"outcome", Outcome},
             {"status", static_cast<std::int64_t>(Reply.Status)},
             {"taken_ms", Taken},
             {"route", std::string_view(Job.Submission->Policy.Route)}});
  for (const auto &Each : Job.Exchanges)
    Each->reply(Reply);
}

void Ingress::peerLost(kernel::PeerIndex Peer, core::TimePoint Now) {
  Backlogs_.erase(Peer);
  Cancellations_.peerLost(Peer);
  std::vector<kernel::JobKey> Lost;
  for (const auto &[Key, Job] : Jobs_)
    if (Job.Manager == Peer)
      Lost.push_back(Key);
  for (auto Key : Lost)
    finish(Key, {504, {}, {}}, "manager_lost", Now);
}

void Ingress::setBacklog(kernel::PeerIndex Manager,
                         const std::vector<kernel::RouteBacklog> &Backlog) {
  Backlogs_[Manager] = Backlog;
}

void Ingress::tick(core::TimePoint Now) {
  Cancellations_.tick(Now);
  if (StopDeadline_ && Now >= *StopDeadline_)
    Cancellations_.giveUpAll();
  std::vector<std::pair<kernel::JobKey, bool>> Ended;
  for (const auto &[Key, Job] : Jobs_) {
    if (!Job.Manager && Now >= Job.ManagerDeadline)
      Ended.emplace_back(Key, true);
    else if (Now >= limitToStop(Job.Submission->AnswerBy))
      Ended.emplace_back(Key, !Job.Manager);
  }
  for (auto [Key, HasNotRun] : Ended) {
    const auto &Job = Jobs_.at(Key);
    if (Job.Manager)
      Send_(*Job.Manager, kernel::AbandonJob{Key});
    auto Reply = HasNotRun ? rejection(StartupRetryMilliseconds) : reactor::HttpReply{504, {}, {}};
    finish(Key, Reply, HasNotRun ? "no_manager" : "overdue", Now);
  }
}

} // namespace cornellift::pool
