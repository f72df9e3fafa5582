#include "Services/EntryDaemon/CallerApi.h"

#include "Kernel/Jobs/Fingerprint.h"
#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"
#include "Services/EntryDaemon/CallerMessages.h"
#include "Services/EntryDaemon/JobRecovery.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cornellift::entry {
namespace {

constexpr std::string_view JobsPath = "/v1/jobs";
constexpr std::string_view WaitParameter = "wait_until=";

/// Added to the wait that the request specifies. The kernel replies to requests without a wait at
/// once, and to others at the end of their wait.
constexpr core::Duration KernelReplyTimeout = std::chrono::seconds(5);

/// Longer waits are shortened, so that a disconnected caller does not occupy its thread for hours.
constexpr core::Duration MaximumWait = std::chrono::minutes(10);

/// The response to one identifier out of this many carries the next block of identifiers. Each full
/// block of 64 has exactly one such identifier.
constexpr std::uint64_t BlockPeriod = 64;

std::string_view pathOf(std::string_view Target) { return Target.substr(0, Target.find('?')); }

/// Returns milliseconds since 1970. Fails with Malformed unless the query is exactly one
/// wait_until.
std::optional<std::int64_t> parseWait(std::string_view Query) {
  std::int64_t Milliseconds = 0;
  if (Query.starts_with(WaitParameter)) {
    Query.remove_prefix(WaitParameter.size());
    auto Parsed = std::from_chars(Query.data(), Query.data() + Query.size(), Milliseconds);
    // Beyond the year 9999 the conversion to the monotonic clock could overflow.
    if (Parsed.ec == std::errc() && Parsed.ptr == Query.data() + Query.size() &&
        Milliseconds >= 0 && Milliseconds < 253402214400000)
      return Milliseconds;
  }
  return core::fail(core::ErrorKind::Malformed,
                    "the query string is invalid; give wait_until=<milliseconds since 1970>");
}

ForwardedResponse refuse() { return renderRefusal(core::lastReason()); }

ForwardedResponse refuse(core::ErrorKind Kind, std::string Message) {
  return renderRefusal({Kind, std::move(Message)});
}

} // namespace

CallerApi::CallerApi(std::string EntryVm, RequestTable &Requests,
                     const CurrentConfiguration &Configuration, const KeyTable &TeamKeys,
                     core::MetricsRegistry &Metrics)
    : EntryVm_(std::move(EntryVm)), Requests_(Requests), CurrentConfiguration_(Configuration),
      TeamKeys_(TeamKeys), Submissions_(Metrics.counter("cornellift_submissions_total")),
      Refusals_(Metrics.counter("cornellift_refused_requests_total")),
      Forwards_(Metrics.counter("cornellift_forwarded_requests_total")),
      Recoveries_(Metrics.counter("cornellift_recovered_jobs_total")),
      SubmitMilliseconds_(Metrics.distribution("cornellift_submission_milliseconds")) {}

void CallerApi::addRoutes(http::HttpServer &Server) {
  auto Answer = [this](const auto &Request, auto &Response) { answer(Request, Response); };
  Server.route("POST", JobsPath, Answer);
  Server.route("GET", JobsPath, Answer);
  Server.route("DELETE", JobsPath, Answer);
  Server.route("POST", "/v1/sessions", Answer);
}

void CallerApi::answer(const httplib::Request &Request, httplib::Response &Response) {
  auto Team = TeamKeys_.nameOf(Request.get_header_value("X-Cornellift-Key"));
  ForwardedResponse Result;
  if (Team) {
    Result = handle({Request.method, Request.target, *Team, Request.body}, Origin::Caller);
  } else {
    core::logLine(core::LogLevel::Warning, "audit", "request with a wrong team key",
                  {{"path", Request.path.substr(0, 200)}, {"remote", Request.remote_addr}});
    Result = refuse();
  }
  Response.status = static_cast<int>(Result.Status);
  Response.set_content(Result.Body, "application/json");
}

ForwardedResponse CallerApi::handle(const ForwardedRequest &Request, Origin From) {
  auto Configuration = CurrentConfiguration_.get();
  if (!Configuration)
    return refuse(core::ErrorKind::Unavailable,
                  "this entry VM has no configuration yet; retry in a second");
  auto Team = findTeam(*Configuration, Request.Team);
  if (!Team)
    return refuse(core::ErrorKind::Unauthorized,
                  "the key's team is not configured; ask an operator to add the team");
  auto Path = pathOf(Request.Path);
  auto IsOneJob = Path.size() > JobsPath.size() + 1 && Path.starts_with(JobsPath) &&
                  Path[JobsPath.size()] == '/';
  ForwardedResponse Result;
  if (Request.Method == "POST" && Path == "/v1/sessions")
    Result = openSession(*Team);
  else if (Request.Method == "POST" && Path == JobsPath)
    Result = submit(Request, *Team, From);
  else if (Request.Method == "GET" && IsOneJob)
    Result = queryJob(Request, *Team, From);
  else if (Request.Method == "DELETE" && IsOneJob)
    Result = cancel(Request, *Team, From);
  else
    Result = refuse(core::ErrorKind::NotFound, "no such path; see docs/API.md");
  if (Result.Status >= 400)
    Refusals_.add();
  return Result;
}

ForwardedResponse CallerApi::openSession(kernel::TeamIndex Team) {
  auto Block = fetchBlock(Team);
  if (!Block)
    return refuse();
  return {200, R"({"identifiers":)" + blockText(EntryVm_, *Block) + "}"};
}

ForwardedResponse CallerApi::submit(const ForwardedRequest &Request, kernel::TeamIndex Team,
                                    Origin From) {
  Submissions_.add();
  auto Began = core::MonotonicClock::now();
  auto Limit = CurrentConfiguration_.get()->Limits.MaximumTasksPerJob;
  auto Job = parseJob(Request.Body, Limit);
  if (!Job)
    return refuse();
  auto Target = parseTarget(Job->Id, Request.Path);
  auto Spec = Target ? makeSpec(*Job, Team) : std::nullopt;
  if (!Spec)
    return refuse();
  Target->Fingerprint = kernel::fingerprint(*Spec, *CurrentConfiguration_.get());
  auto Wait = Target->WaitUntil;
  auto Content = Requests_.call(
      [&](kernel::RequestId Id) {
        return kernel::SubmitJob{Id, Target->Id.Job, std::move(*Spec), Wait};
      },
      Wait.value_or(Began) + KernelReplyTimeout);
  auto Result = completeRequest(Request, *Target, Content, From);
  // A forwarded response already carries the identifiers of its issuer.
  bool Forwarded = !Content || std::holds_alternative<kernel::WrongIssuer>(*Content);
  if (!Forwarded && (Result.Status == 200 || Result.Status == 202))
    addNextIdentifiers(*Target, Team, Result.Body);
  SubmitMilliseconds_.add(core::toMilliseconds(core::MonotonicClock::now() - Began));
  return Result;
}

ForwardedResponse CallerApi::queryJob(const ForwardedRequest &Request, kernel::TeamIndex Team,
                                      Origin From) {
  auto Target = parseTarget(pathOf(Request.Path).substr(JobsPath.size() + 1), Request.Path);
  if (!Target)
    return refuse();
  auto Wait = Target->WaitUntil;
  auto Content = Requests_.call(
      [&](kernel::RequestId Id) {
        return kernel::AskOutcome{Id, Target->Id.Job, Wait, Team};
      },
      Wait.value_or(core::MonotonicClock::now()) + KernelReplyTimeout);
  return completeRequest(Request, *Target, Content, From);
}

ForwardedResponse CallerApi::cancel(const ForwardedRequest &Request, kernel::TeamIndex Team,
                                    Origin From) {
  auto Target = parseTarget(pathOf(Request.Path).substr(JobsPath.size() + 1), Request.Path);
  if (!Target)
    return refuse();
  auto Content = Requests_.call(
      [&](kernel::RequestId Id) {
        return kernel::CancelJob{Id, Target->Id.Job, Team};
      },
      core::MonotonicClock::now() + KernelReplyTimeout);
  return completeRequest(Request, *Target, Content, From);
}

std::optional<kernel::JobSpec> CallerApi::makeSpec(ParsedJob &Job, kernel::TeamIndex Team) const {
  auto Configuration = CurrentConfiguration_.get();
  auto Service = findService(*Configuration, Job.Service);
  if (!Service)
    return core::fail(core::ErrorKind::Malformed,
                      "service: \"" + Job.Service + "\" is not configured; use a configured one");
  auto Kind = findKind(Configuration->Services[static_cast<std::size_t>(*Service)], Job.Kind);
  if (!Kind)
    return core::fail(core::ErrorKind::Malformed,
                      "kind: the service has no kind \"" + Job.Kind + "\"; use a configured one");
  return kernel::JobSpec{
      Team, *Service, *Kind, std::move(Job.Tasks), Job.Deadline, std::move(Job.Payload)};
}

std::optional<CallerApi::JobTarget> CallerApi::parseTarget(std::string_view Id,
                                                           std::string_view Path) const {
  auto Parsed = kernel::parseJobId(Id);
  if (!Parsed)
    return std::nullopt;
  JobTarget Target{std::move(*Parsed), std::string(Id), {}};
  auto QueryStart = Path.find('?');
  if (QueryStart == std::string_view::npos)
    return Target;
  auto Wait = parseWait(Path.substr(QueryStart + 1));
  if (!Wait)
    return std::nullopt;
  Target.WaitUntil =
      std::min(core::fromWallClock(*Wait), core::MonotonicClock::now() + MaximumWait);
  return Target;
}

ForwardedResponse CallerApi::completeRequest(const ForwardedRequest &Request,
                                             const JobTarget &Target,
                                             const std::optional<kernel::Response> &Content,
                                             Origin From) {
  if (!Content) {
    const auto &Cause = core::lastReason();
    return Cause.Kind == core::ErrorKind::Timeout ? renderUnknown(Cause.Kind, Cause.Message)
                                                  : renderRefusal(Cause);
  }
  if (std::holds_alternative<kernel::WrongIssuer>(*Content))
    return forward(Request, Target, From);
  if (const auto *Status = std::get_if<kernel::JobStatus>(&*Content))
    return renderStatus(Target.Text, *Status);
  if (const auto *Result = std::get_if<std::shared_ptr<const kernel::Outcome>>(&*Content))
    return renderOutcome(Target.Text, **Result);
  return renderUnknown(core::ErrorKind::Internal,
                       "unexpected response from the kernel; report this as a fault");
}

ForwardedResponse CallerApi::forward(const ForwardedRequest &Request, const JobTarget &Target,
                                     Origin From) {
  constexpr std::string_view AskLater =
      "the entry VM that owns the job cannot be reached; ask again later with the same identifier";
  if (From == Origin::Peer)
    return {409, renderUnknown(core::ErrorKind::Unavailable, AskLater).Body};
  // Without peers no other process has this name, so an earlier incarnation has ended.
  auto Failure =
      Target.Id.EntryVm == EntryVm_ ? ForwardFailure::IssuerDead : ForwardFailure::Unreachable;
  if (Peers_ != nullptr) {
    Forwards_.add();
    auto Answer = Peers_->forward(Target.Id.EntryVm, Target.Id.Job.Issuer, Request, Failure);
    if (Answer)
      return std::move(*Answer);
  }
  if (Failure == ForwardFailure::IssuerDead)
    return recover(Target, Request.Team);
  return {409, renderUnknown(core::ErrorKind::Unavailable, AskLater).Body};
}

ForwardedResponse CallerApi::recover(const JobTarget &Target, std::string_view Team) const {
  Recoveries_.add();
  auto Configuration = CurrentConfiguration_.get();
  auto Records = collectRecords(*Configuration, {Target.Text, Team, Target.Fingerprint});
  return renderOutcome(Target.Text,
                       kernel::recoverOutcome(Records, Configuration->Limits.MaximumTasksPerJob));
}

void CallerApi::addNextIdentifiers(const JobTarget &Target, kernel::TeamIndex Team,
                                   std::string &Body) {
  if (Target.Id.Job.Sequence % BlockPeriod != BlockPeriod / 2)
    return;
  auto Block = fetchBlock(Team);
  if (!Block)
    return;
  Body.pop_back();
  Body += R"(,"next_identifiers":)" + blockText(EntryVm_, *Block) + "}";
}

std::optional<kernel::IdentifierBlock> CallerApi::fetchBlock(kernel::TeamIndex Team) {
  auto Content = Requests_.call(
      [Team](kernel::RequestId Id) {
        return kernel::OpenSession{Id, Team};
      },
      core::MonotonicClock::now() + KernelReplyTimeout);
  if (!Content)
    return std::nullopt;
  if (const auto *Block = std::get_if<kernel::IdentifierBlock>(&*Content))
    return *Block;
  if (const auto *Result = std::get_if<std::shared_ptr<const kernel::Outcome>>(&*Content))
    if (const auto *Refusal = std::get_if<kernel::NotRun>(Result->get()))
      return core::fail(Refusal->Kind, Refusal->Reason);
  return core::fail(core::ErrorKind::Unavailable,
                    "no identifiers can be issued at present; try another entry VM");
}

} // namespace cornellift::entry
