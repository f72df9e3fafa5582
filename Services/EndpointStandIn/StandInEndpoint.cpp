#include "Services/EndpointStandIn/StandInEndpoint.h"

#include <algorithm>
#include <random>
#include <thread>

namespace cornellift::standin {
namespace {

constexpr core::Duration RecordLifetime = std::chrono::minutes(15);

std::string generateBootId() {
  std::random_device Source;
  constexpr char Digits[] = "0123456789abcdef";
  std::string Boot;
  for (int Index = 0; Index < 16; ++Index)
    Boot += Digits[Source() % 16];
  return Boot;
}

nlohmann::json zeroUsage() {
  return {{"processors", 0.0}, {"memory_mb", 0.0}, {"accelerators", 0.0}};
}

double numberOr(const nlohmann::json &Object, const char *Name, double Default) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number() ? Found->get<double>() : Default;
}

std::uint32_t attemptOf(const nlohmann::json &Request, std::uint32_t Default) {
  auto Found = Request.is_object() ? Request.find("attempt") : Request.end();
  return Found != Request.end() && Found->is_number_unsigned() ? Found->get<std::uint32_t>()
                                                               : Default;
}

} // namespace

StandInEndpoint::StandInEndpoint(EndpointOptions Options, StandInControls &Controls,
                                 StandInLog &Log)
    : Options_(std::move(Options)), Boot_(generateBootId()), Controls_(Controls), Log_(Log),
      Usage_(zeroUsage()) {}

Answer StandInEndpoint::start(const std::string &Task, std::string_view Body) {
  auto Began = core::MonotonicClock::now();
  auto Period = Controls_.silencePeriod();
  auto Request = Json::parse(Body, nullptr, false);
  auto Behaviour = parseTaskBehaviour(Body);
  auto ExpectedBoot = Request.is_object() ? Request.value("boot", std::string()) : std::string();
  {
    std::lock_guard Guard(Mutex_);
    removeExpiredRecords(Began);
    auto Cause = Behaviour ? refusalCause(Task, attemptOf(Request, 0), ExpectedBoot) : "invalid";
    if (!Cause.empty()) {
      auto Refusal = answerBody(Task, "refused");
      Refusal["cause"] = Cause;
      return {Cause == "invalid" ? 400 : 409, Refusal};
    }
    ++Running_;
    Records_[Task] = {answerBody(Task, "running"), *Behaviour, core::TimePoint::max()};
    recordUsage(Behaviour->Used, 1);
  }
  Log_.write("start", Task, Options_.Name, Boot_);
  std::this_thread::sleep_until(std::chrono::steady_clock::now() + Behaviour->RunTime);
  auto Result = finish(Task, *Behaviour, core::MonotonicClock::now() - Began);
  Log_.write("end", Task, Options_.Name, Boot_);
  Controls_.waitWhileSilent(Period);
  return {200, Result};
}

std::optional<StandInEndpoint::TaskBehaviour>
StandInEndpoint::parseTaskBehaviour(std::string_view Body) const {
  auto Request = Json::parse(Body, nullptr, false);
  if (!Request.is_object() || !Request.contains("payload") || !Request["payload"].is_string())
    return std::nullopt;
  auto Payload = Json::parse(Request["payload"].get_ref<const std::string &>(), nullptr, false);
  if (!Payload.is_object())
    return std::nullopt;
  TaskBehaviour Result;
  Result.TaskCount = Request.value("task_count", 1U);
  Result.Team = Request.value("team", std::string());
  Result.JobFingerprint = Request.value("job_fingerprint", std::uint64_t{0});
  Result.Used = {{"processors", numberOr(Payload, "processors", 1)},
                 {"memory_mb", numberOr(Payload, "memory_mb", 0)},
                 {"accelerators", numberOr(Payload, "accelerators", 0)}};
  // Resource limits: a task that uses more processors than declared is throttled, and one that uses
  // more memory is stopped. A declaration of zero means that there is none.
  double Declared = numberOr(Request, "processors", 0);
  double Throttle = Declared > 0 ? std::max(1.0, numberOr(Payload, "processors", 1) / Declared) : 1;
  Result.RunTime = core::fromMilliseconds(numberOr(Payload, "run_ms", 0) * Throttle *
                                          Controls_.slowFactor() / Options_.Speed);
  double DeclaredMemory = numberOr(Request, "memory_mb", 0);
  bool Stopped = DeclaredMemory > 0 && numberOr(Payload, "memory_mb", 0) > DeclaredMemory;
  Result.Fails = Stopped || Controls_.failsEverything() || Payload.value("fail", false);
  if (Stopped)
    Result.Text = "stopped: memory above the declaration; declare more";
  else if (Result.Fails)
    Result.Text = "failed as its payload asks";
  else if (Payload.contains("result_bytes"))
    Result.Text = std::string(Payload.value("result_bytes", 0U), 'x');
  else
    Result.Text = Payload.value("result", std::string());
  return Result;
}

std::string StandInEndpoint::refusalCause(const std::string &Task, std::uint32_t Attempt,
                                          const std::string &ExpectedBoot) const {
  if (!ExpectedBoot.empty() && ExpectedBoot != Boot_)
    return "other_boot";
  if (Records_.contains(Task))
    return "already_started";
  auto Fenced = Fenced_.find(Task);
  if (Fenced != Fenced_.end() && Attempt <= Fenced->second.Attempt)
    return "fenced";
  if (Leaving_)
    return "leaving";
  if (Running_ >= Options_.Slots)
    return "no_slot";
  return {};
}

Answer StandInEndpoint::queryTask(const std::string &Task) const {
  std::lock_guard Guard(Mutex_);
  auto Found = Records_.find(Task);
  if (Found != Records_.end())
    return {200, Found->second.Body};
  return {200, answerBody(Task, Fenced_.contains(Task) ? "not_started" : "unknown")};
}

Answer StandInEndpoint::fence(const std::string &Task, std::string_view Body) {
  auto Request = Json::parse(Body, nullptr, false);
  auto Attempt = attemptOf(Request, std::numeric_limits<std::uint32_t>::max());
  std::lock_guard Guard(Mutex_);
  auto Found = Records_.find(Task);
  if (Found != Records_.end())
    return {200, Found->second.Body};
  auto &Known = Fenced_[Task];
  Known = {std::max(Known.Attempt, Attempt), core::MonotonicClock::now() + RecordLifetime};
  return {200, answerBody(Task, "not_started")};
}

Answer StandInEndpoint::jobRecords(const std::string &Job) const {
  std::lock_guard Guard(Mutex_);
  auto Prefix = Job + ".";
  Json Tasks = Json::array();
  Json Reply = {{"job", Job}, {"boot", Boot_}, {"task_count", 0}};
  for (auto Next = Records_.lower_bound(Prefix);
       Next != Records_.end() && Next->first.starts_with(Prefix); ++Next) {
    auto Entry = Next->second.Body;
    Entry["index"] = std::stoul(Next->first.substr(Prefix.size()));
    Tasks.push_back(std::move(Entry));
    Reply["task_count"] = Next->second.Behaviour.TaskCount;
    Reply["team"] = Next->second.Behaviour.Team;
    Reply["job_fingerprint"] = Next->second.Behaviour.JobFingerprint;
  }
  Reply["tasks"] = std::move(Tasks);
  return {200, Reply};
}

Answer StandInEndpoint::status() const {
  std::lock_guard Guard(Mutex_);
  auto Until = core::MonotonicClock::now() - Options_.UsageLag;
  Json Used = zeroUsage();
  for (const auto &[At, Usage] : UsageHistory_)
    if (At <= Until)
      Used = Usage;
  return {200,
          {{"boot", Boot_},
           {"capabilities", {"task_fence", "job_records", "boot"}},
           {"slots", Options_.Slots},
           {"running", Running_},
           {"leaving", Leaving_},
           {"used", Used}}};
}

void StandInEndpoint::leave() {
  std::lock_guard Guard(Mutex_);
  Leaving_ = true;
}

void StandInEndpoint::waitUntilIdle() {
  std::unique_lock Lock(Mutex_);
  Idle_.wait(Lock, [this] { return Running_ == 0; });
}

nlohmann::json StandInEndpoint::answerBody(const std::string &Task, std::string_view State) const {
  return {{"task", Task}, {"boot", Boot_}, {"state", State}};
}

nlohmann::json StandInEndpoint::finish(const std::string &Task, const TaskBehaviour &Done,
                                       core::Duration RunTime) {
  auto Body = answerBody(Task, Done.Fails ? "failed" : "finished");
  Body["run_ms"] = core::toMilliseconds(RunTime);
  Body["used"] = Done.Used;
  Body[Done.Fails ? "message" : "result"] =
      Done.Text.empty() ? Json({{"run_ms", core::toMilliseconds(RunTime)}}).dump() : Done.Text;
  std::lock_guard Guard(Mutex_);
  auto ExpiresAt = core::MonotonicClock::now() + RecordLifetime;
  auto &Kept = Records_[Task];
  Kept.Body = Body;
  Kept.ExpiresAt = ExpiresAt;
  Expirations_.emplace_back(ExpiresAt, Task);
  recordUsage(Done.Used, -1);
  if (--Running_ == 0)
    Idle_.notify_all();
  if (!Controls_.crossesAnswers())
    return Body;
  std::swap(LastAnswer_, Body);
  return Body.is_null() ? answerBody("unknown.0000000000000000.0.0", "finished") : Body;
}

void StandInEndpoint::recordUsage(const Json &Used, double Sign) {
  for (auto &[Name, Value] : Usage_.items())
    Value = Value.get<double>() + Sign * Used.value(Name, 0.0);
  auto Now = core::MonotonicClock::now();
  UsageHistory_.emplace_back(Now, Usage_);
  while (UsageHistory_.size() > 1 && UsageHistory_[1].first <= Now - Options_.UsageLag)
    UsageHistory_.pop_front();
}

void StandInEndpoint::removeExpiredRecords(core::TimePoint Now) {
  while (!Expirations_.empty() && Expirations_.front().first <= Now) {
    Records_.erase(Expirations_.front().second);
    Expirations_.pop_front();
  }
  std::erase_if(Fenced_, [Now](const auto &Entry) { return Entry.second.ExpiresAt <= Now; });
}

} // namespace cornellift::standin
