#include "Services/EntryDaemon/JobRecovery.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace cornellift::entry {
namespace {

constexpr std::size_t ParallelQuestions = 32;
constexpr core::Duration QuestionTime = std::chrono::seconds(1);

/// Above the largest configurable job; a record with a higher count is not believed.
constexpr std::uint32_t MostTasks = 10000;

std::optional<endpoint::JobRecords> askEndpoint(const std::string &Address, std::string_view Job) {
  auto Connection = endpoint::connectEndpoint("http", Address);
  if (!Connection)
    return std::nullopt;
  return (*Connection)->jobRecords(Job, core::MonotonicClock::now() + QuestionTime);
}

} // namespace

kernel::Outcome judgeRecords(const std::vector<endpoint::JobRecords> &Records) {
  std::uint32_t TaskCount = 0;
  for (const auto &Found : Records)
    TaskCount = std::max(TaskCount, std::min(Found.TaskCount, MostTasks));
  kernel::MayHaveRun Partial{core::ErrorKind::Unavailable,
                             "the entry VM that ran the job is lost and the records of the "
                             "endpoints do not show that every task finished; ask again later",
                             {}};
  Partial.Tasks.resize(TaskCount, kernel::TaskOutcome::MayHaveRun);
  kernel::Complete Whole;
  Whole.Results.resize(TaskCount);
  for (const auto &Found : Records)
    for (const auto &Task : Found.Tasks) {
      const auto *End = std::get_if<endpoint::Ended>(&Task.State);
      if (Task.Index >= TaskCount || End == nullptr)
        continue;
      bool Finished = End->Verdict == kernel::TaskVerdict::Finished;
      Partial.Tasks[Task.Index] =
          Finished ? kernel::TaskOutcome::Finished : kernel::TaskOutcome::Failed;
      if (Finished)
        Whole.Results[Task.Index] = End->Result;
    }
  bool IsWhole = TaskCount > 0 && std::all_of(Partial.Tasks.begin(), Partial.Tasks.end(),
                                              [](kernel::TaskOutcome State) {
                                                return State == kernel::TaskOutcome::Finished;
                                              });
  if (IsWhole)
    return Whole;
  return Partial;
}

std::vector<endpoint::JobRecords> collectRecords(const kernel::KernelConfiguration &Configuration,
                                                 std::string_view Job) {
  std::vector<std::string> Addresses;
  for (const auto &Endpoint : Configuration.Endpoints)
    if (!Endpoint.Removed)
      Addresses.push_back(Endpoint.Address);
  std::vector<endpoint::JobRecords> Records;
  std::mutex Mutex;
  std::atomic<std::size_t> Next{0};
  auto AskNext = [&] {
    for (auto Number = Next++; Number < Addresses.size(); Number = Next++)
      if (auto Found = askEndpoint(Addresses[Number], Job)) {
        std::lock_guard Guard(Mutex);
        Records.push_back(std::move(*Found));
      }
  };
  std::vector<std::thread> Threads;
  for (std::size_t Count = 0; Count < std::min(ParallelQuestions, Addresses.size()); ++Count)
    Threads.emplace_back(AskNext);
  for (auto &Thread : Threads)
    Thread.join();
  return Records;
}

} // namespace cornellift::entry
