#include "Utilities/Load/LoadRun.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace cornellift::load {
namespace {

using Json = nlohmann::json;

/// Returns the longest run time in milliseconds among the results, which stand-in endpoints report.
double maximumTaskRunTime(const Json &Results) {
  double Longest = 0;
  for (const auto &Result : Results) {
    auto Own = Json::parse(Result.get<std::string>(), nullptr, false);
    if (Own.is_object())
      Longest = std::max(Longest, Own.value("run_ms", 0.0));
  }
  return Longest;
}

} // namespace

LoadRun::LoadRun(LoadOptions Options) : Options_(std::move(Options)) {
  Report_.Responses.assign(Options_.Plan.size(), -1);
}

LoadReport LoadRun::run() {
  Start_ = core::MonotonicClock::now() + std::chrono::milliseconds(200);
  Deadline_ = Start_ + Options_.RunTimeLimit;
  std::vector<std::thread> Threads;
  for (std::size_t Number = 0; Number < Options_.Connections; ++Number)
    Threads.emplace_back([this, Number] { sendJobs(Number); });
  for (auto &Thread : Threads)
    Thread.join();
  Report_.Seconds = core::toMilliseconds(core::MonotonicClock::now() - Start_) / 1000;
  return std::move(Report_);
}

void LoadRun::sendJobs(std::size_t Number) {
  // Each thread uses a single entry VM, like a connection through a load balancer.
  const auto &Entry = Options_.Entries[Number % Options_.Entries.size()];
  Clients ClientsByKey;
  for (auto Job = Next_++; Job < Options_.Plan.size(); Job = Next_++) {
    auto Planned = Start_ + Options_.Plan[Job].At;
    if (Planned >= Deadline_)
      return;
    const auto &Key = Options_.Plan[Job].Key;
    auto &Client = ClientsByKey.try_emplace(Key, std::vector{Entry}, Key).first->second;
    std::this_thread::sleep_for(Planned - core::MonotonicClock::now());
    sendJob(Client, Job);
  }
}

void LoadRun::sendJob(caller::CallerClient &Client, std::size_t Job) {
  const auto &Planned = Options_.Plan[Job];
  std::size_t Entry = 0;
  auto Id = Client.takeIdentifier(Entry, Deadline_);
  caller::Delivery Failure{};
  auto Path = "/v1/jobs?wait_until=" + std::to_string(core::toWallClock(Deadline_));
  auto Answer =
      Id ? Client.send(Entry, "POST", Path, R"({"id":")" + *Id + R"(",)" + Planned.Body + "}",
                       Deadline_, Failure)
         : std::nullopt;
  auto Response = core::toMilliseconds(core::MonotonicClock::now() - Start_ - Planned.At);
  if (Answer)
    Client.keepBlock(Entry, Answer->Body.value("next_identifiers", Json()));
  std::lock_guard Guard(Mutex_);
  ++Report_.Jobs;
  Report_.Tasks += Planned.Tasks;
  if (Answer)
    count(*Answer, Job, Response);
  else
    ++(Id ? Report_.Unknown : Report_.Refused);
}

void LoadRun::count(const caller::Reply &Answer, std::size_t Job, double ResponseMilliseconds) {
  auto Outcome = Answer.Body.value("outcome", std::string());
  if (Outcome == "complete") {
    ++Report_.Complete;
    Report_.Responses[Job] = ResponseMilliseconds;
    Report_.AddedMilliseconds.push_back(ResponseMilliseconds -
                                        maximumTaskRunTime(Answer.Body["results"]));
  } else if (Outcome == "not_run") {
    ++Report_.Refused;
  } else {
    ++Report_.Unknown;
  }
}

} // namespace cornellift::load
