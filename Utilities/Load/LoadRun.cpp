#include "Utilities/Load/LoadRun.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace cornellift::load {
namespace {

using Json = nlohmann::json;

/// Longest run time that the results report; the stand-in's tasks answer with it.
double longestRun(const Json &Results) {
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
  Json Tasks = Json::array();
  for (std::uint32_t Count = 0; Count < Options_.TasksPerJob; ++Count)
    Tasks.push_back({{"payload", Json({{"run_ms", Options_.RunMilliseconds}}).dump()},
                     {"run_ms", Options_.RunMilliseconds}});
  TasksText_ = Tasks.dump();
  std::mt19937_64 Random(Options_.Seed);
  std::exponential_distribution<double> Gap(Options_.JobsPerSecond);
  double Seconds = 0;
  for (std::uint64_t Count = 0; Count < Options_.Jobs; ++Count) {
    Seconds += Gap(Random);
    Plan_.push_back(core::fromMilliseconds(Seconds * 1000));
  }
}

LoadReport LoadRun::run() {
  Start_ = core::MonotonicClock::now() + std::chrono::milliseconds(200);
  Deadline_ = Start_ + Options_.LongestRun;
  std::vector<std::thread> Threads;
  for (std::size_t Number = 0; Number < Options_.Connections; ++Number)
    Threads.emplace_back([this, Number] { sendJobs(Number); });
  for (auto &Thread : Threads)
    Thread.join();
  Report_.Seconds = core::toMilliseconds(core::MonotonicClock::now() - Start_) / 1000;
  Report_.Tasks = Report_.Jobs * Options_.TasksPerJob;
  return std::move(Report_);
}

void LoadRun::sendJobs(std::size_t Number) {
  // Each thread stays with one entry VM, as connections through a load balancer do.
  caller::CallerClient Client({Options_.Entries[Number % Options_.Entries.size()]}, Options_.Key);
  std::size_t Entry = 0;
  Client.takeIdentifier(Entry, Deadline_);
  for (auto Job = Next_++; Job < Options_.Jobs; Job = Next_++) {
    auto Planned = Start_ + Plan_[Job];
    if (Planned >= Deadline_)
      return;
    std::this_thread::sleep_for(Planned - core::MonotonicClock::now());
    sendJob(Client, Planned);
  }
}

void LoadRun::sendJob(caller::CallerClient &Client, core::TimePoint Planned) {
  std::size_t Entry = 0;
  auto Id = Client.takeIdentifier(Entry, Deadline_);
  caller::Delivery Failure{};
  auto Path = "/v1/jobs?wait_until=" + std::to_string(core::toWallClock(Deadline_));
  auto Answer =
      Id ? Client.send(Entry, "POST", Path, jobText(*Id), Deadline_, Failure) : std::nullopt;
  auto Response = core::toMilliseconds(core::MonotonicClock::now() - Planned);
  if (Answer)
    Client.keepBlock(Entry, Answer->Body.value("next_identifiers", Json()));
  std::lock_guard Guard(Mutex_);
  ++Report_.Jobs;
  if (Answer)
    count(*Answer, Response);
  else
    ++(Id ? Report_.Unknown : Report_.Refused);
}

std::string LoadRun::jobText(const std::string &Id) const {
  return R"({"id":")" + Id + R"(","service":")" + Options_.Service + R"(","kind":")" +
         Options_.Kind + R"(","tasks":)" + TasksText_ + "}";
}

void LoadRun::count(const caller::Reply &Answer, double ResponseMilliseconds) {
  auto Outcome = Answer.Body.value("outcome", std::string());
  if (Outcome == "complete") {
    ++Report_.Complete;
    Report_.AddedMilliseconds.push_back(ResponseMilliseconds - longestRun(Answer.Body["results"]));
  } else if (Outcome == "not_run") {
    ++Report_.Refused;
  } else {
    ++Report_.Unknown;
  }
}

} // namespace cornellift::load
