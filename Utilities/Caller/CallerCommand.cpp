#include "Utilities/Caller/CallerCommand.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include <unistd.h>

namespace cornellift::caller {
namespace {

using core::ExitStatus;

/// Duration of one long poll, below most load balancers' limit for a request; also the interval of
/// the progress output.
constexpr core::Duration LongPollTimeout = std::chrono::seconds(1);
constexpr core::Duration AnswerTimeout = std::chrono::seconds(10);

/// Returns whether a retry of the same request can succeed. An answer that lists the tasks is
/// final.
bool isTemporary(const nlohmann::json &Body) {
  if (Body.contains("tasks") && !Body["tasks"].empty())
    return false;
  auto Kind = Body.value("kind", std::string());
  return Kind == "overloaded" || Kind == "unavailable" || Kind == "timeout";
}

/// Returns whether the answer leaves the outcome of any task unknown.
bool hasUnknownOutcome(const nlohmann::json &Body) {
  auto Tasks = Body.value("tasks", nlohmann::json::array());
  return Tasks.empty() || std::find(Tasks.begin(), Tasks.end(), "may_have_run") != Tasks.end();
}

} // namespace

CallerCommand::CallerCommand(const core::Settings &Settings)
    : Settings_(Settings),
      Client_(Settings.list("entry"), Settings.text("key"), Settings.text("tls-ca")),
      Deadline_(core::MonotonicClock::now() +
                std::chrono::milliseconds(Settings.integer("timeout-ms"))) {}

ExitStatus CallerCommand::run() {
  auto Words = Settings_.positional();
  if (Client_.count() == 0)
    return reportFailure(ExitStatus::BadUsage,
                         "--entry is empty; give the address of at least one entry VM");
  if (Words.size() == 1 && Words[0] == "submit")
    return submit();
  if (Words.size() == 2 && Words[0] == "outcome")
    return sendJobRequest("GET", Words[1], true);
  if (Words.size() == 2 && Words[0] == "status")
    return sendJobRequest("GET", Words[1], false);
  if (Words.size() == 2 && Words[0] == "cancel")
    return sendJobRequest("DELETE", Words[1], false);
  return reportFailure(ExitStatus::BadUsage,
                       "give one of: submit, outcome ID, status ID, cancel ID");
}

ExitStatus CallerCommand::submit() {
  auto Job = readJob();
  if (!Job)
    return reportFailure(ExitStatus::BadUsage, core::lastReason().Message);
  std::size_t Entry = 0;
  if (!Settings_.text("id").empty()) {
    auto Result = submitWithId(Settings_.text("id"), Entry, *Job);
    return Result ? *Result : reportUnknown(Settings_.text("id"));
  }
  while (hasTime()) {
    auto Id = Client_.takeIdentifier(
        Entry, std::min(Deadline_, core::MonotonicClock::now() + AnswerTimeout));
    if (Id) {
      if (auto Result = submitWithId(*Id, Entry, *Job))
        return *Result;
      Client_.dropBlocks();
    } else if (core::lastReason().Kind == core::ErrorKind::Unauthorized) {
      return reportFailure(ExitStatus::RequestFailed, core::lastReason().Message);
    }
    waitBeforeRetry();
  }
  return reportFailure(ExitStatus::Unreachable, core::lastReason().Message);
}

std::optional<ExitStatus> CallerCommand::submitWithId(const std::string &Id, std::size_t Entry,
                                                      Json &Job) {
  Job["id"] = Id;
  auto Text = Job.dump();
  if (!Settings_.flag("quiet"))
    std::cerr << "job " << Id << std::endl;
  // An identifier given with --id may have been sent by an earlier invocation.
  bool MayHaveArrived = !Settings_.text("id").empty();
  while (hasTime()) {
    Delivery Failure{};
    auto Answer =
        Client_.send(Entry, "POST", "/v1/jobs" + waitQuery(), Text,
                     std::min(Deadline_, core::MonotonicClock::now() + AnswerTimeout), Failure);
    if (!Answer && Failure == Delivery::NeverSent && !MayHaveArrived)
      return std::nullopt;
    MayHaveArrived = true;
    auto Outcome = Answer ? Answer->Body.value("outcome", std::string()) : std::string();
    if (Outcome == "pending")
      return awaitOutcome(Id, Entry);
    bool OfRequest = Answer && Answer->Body.value("applies_to", std::string()) == "request";
    bool Temporary = !Answer || isTemporary(Answer->Body);
    if (Outcome == "not_run" && !OfRequest && Temporary && hasTime()) {
      waitBeforeRetry();
      return std::nullopt;
    }
    if (!Outcome.empty() && !Temporary)
      return reportAnswer(Answer->Body);
    Entry = (Entry + 1) % Client_.count();
    waitBeforeRetry();
  }
  return MayHaveArrived ? std::optional(reportUnknown(Id)) : std::nullopt;
}

ExitStatus CallerCommand::awaitOutcome(const std::string &Id, std::size_t Entry) {
  while (hasTime()) {
    Delivery Failure{};
    auto Answer =
        Client_.send(Entry, "GET", "/v1/jobs/" + Id + waitQuery(), "",
                     std::min(Deadline_, core::MonotonicClock::now() + AnswerTimeout), Failure);
    auto Outcome = Answer ? Answer->Body.value("outcome", std::string()) : std::string();
    if (Outcome == "pending") {
      showProgress(Answer->Body);
      continue;
    }
    if (!Outcome.empty() && !isTemporary(Answer->Body))
      return reportAnswer(Answer->Body);
    Entry = (Entry + 1) % Client_.count();
    waitBeforeRetry();
  }
  return reportUnknown(Id);
}

ExitStatus CallerCommand::sendJobRequest(const char *Method, const std::string &Id, bool Wait) {
  if (Wait)
    return awaitOutcome(Id, 0);
  for (std::size_t Entry = 0; Entry < Client_.count(); ++Entry) {
    Delivery Failure{};
    auto Answer =
        Client_.send(Entry, Method, "/v1/jobs/" + Id, "",
                     std::min(Deadline_, core::MonotonicClock::now() + AnswerTimeout), Failure);
    if (Answer)
      return reportAnswer(Answer->Body);
  }
  return reportFailure(ExitStatus::Unreachable, core::lastReason().Message);
}

std::optional<nlohmann::json> CallerCommand::readJob() const {
  const auto &Path = Settings_.text("file");
  if (Path.empty())
    return generateJob();
  std::ifstream File(Path);
  std::string Text{std::istreambuf_iterator<char>(File), std::istreambuf_iterator<char>()};
  auto Job = Json::parse(Text, nullptr, false);
  if (!Job.is_object())
    return core::fail(core::ErrorKind::Malformed,
                      "--file: " + Path + " does not hold a JSON object; see docs/API.md");
  return Job;
}

nlohmann::json CallerCommand::generateJob() const {
  Json Task = {{"payload", {{"run_ms", Settings_.real("run-ms")}}},
               {"run_ms", Settings_.real("run-ms")}};
  Json Tasks = Json::array();
  for (std::int64_t Count = 0; Count < Settings_.integer("tasks"); ++Count)
    Tasks.push_back(Task);
  return {
      {"service", Settings_.text("service")}, {"kind", Settings_.text("kind")}, {"tasks", Tasks}};
}

ExitStatus CallerCommand::reportAnswer(const Json &Body) const {
  auto Outcome = Body.value("outcome", std::string());
  if (Settings_.flag("json")) {
    std::cout << Body.dump() << std::endl;
  } else if (Outcome == "complete") {
    for (const auto &Result : Body.value("results", Json::array()))
      std::cout << (Result.is_string() ? Result.get<std::string>() : Result.dump()) << '\n';
    std::cout << std::flush;
  } else {
    std::cerr << "cornellift-caller: " << Outcome << ": " << Body.value("message", Body.dump())
              << std::endl;
  }
  if (Outcome == "complete" || Outcome == "pending")
    return ExitStatus::Success;
  return Outcome == "may_have_run" && hasUnknownOutcome(Body) ? ExitStatus::OutcomeUnknown
                                                              : ExitStatus::RequestFailed;
}

ExitStatus CallerCommand::reportUnknown(const std::string &Id) const {
  return reportFailure(ExitStatus::OutcomeUnknown,
                       "the outcome of job " + Id + " is unknown; query it with: outcome " + Id);
}

ExitStatus CallerCommand::reportFailure(ExitStatus Status, const std::string &Message) const {
  if (Settings_.flag("json"))
    std::cout << Json({{"outcome",
                        Status == ExitStatus::OutcomeUnknown ? "may_have_run" : "not_run"},
                       {"message", Message}})
                     .dump()
              << std::endl;
  std::cerr << "cornellift-caller: " << Message << std::endl;
  return Status;
}

void CallerCommand::showProgress(const Json &Body) const {
  if (Settings_.flag("quiet") || ::isatty(STDERR_FILENO) == 0)
    return;
  std::cerr << "\rwaiting " << Body.value("waiting", 0) << ", running " << Body.value("running", 0)
            << ", ended " << Body.value("ended", 0) << "   " << std::flush;
}

/// Uses a random delay, so that callers that lost the same entry VM do not retry at the same time.
void CallerCommand::waitBeforeRetry() {
  std::uniform_int_distribution<int> Milliseconds(50, 250);
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds(Random_)));
}

std::string CallerCommand::waitQuery() const {
  auto Until = std::min(Deadline_, core::MonotonicClock::now() + LongPollTimeout);
  return "?wait_until=" + std::to_string(core::toWallClock(Until));
}

} // namespace cornellift::caller
