#include "Services/EntryDaemon/JobRecovery.h"

#include "Libraries/LibEndpoint/EndpointProtocol.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace cornellift::entry {
namespace {

constexpr std::size_t ConcurrentQueries = 32;
constexpr core::Duration RecordsTimeout = std::chrono::seconds(1);

kernel::RecordedTask convert(const endpoint::JobRecord &Record, std::uint32_t TaskCount) {
  kernel::RecordedTask Result{Record.Index, TaskCount, kernel::RecordedState::Running, nullptr};
  const auto *End = std::get_if<endpoint::Ended>(&Record.State);
  if (End == nullptr)
    return Result;
  bool Finished = End->Verdict == kernel::TaskVerdict::Finished;
  Result.State = Finished ? kernel::RecordedState::Finished : kernel::RecordedState::Failed;
  if (Finished)
    Result.Result = End->Result;
  return Result;
}

kernel::EndpointRecords fetchRecords(kernel::EndpointIndex Endpoint, const std::string &Address,
                                     const RecoveryRequest &Request) {
  kernel::EndpointRecords Result{Endpoint, kernel::EndpointRecords::Reply::NoAnswer, {}};
  auto Connection = endpoint::connectEndpoint("http", Address);
  auto Records =
      Connection
          ? (*Connection)->jobRecords(Request.Job, core::MonotonicClock::now() + RecordsTimeout)
          : std::nullopt;
  if (!Records)
    return Result;
  Result.Given = kernel::EndpointRecords::Reply::Answered;
  bool OtherTeam = !Records->Team.empty() && Records->Team != Request.Team;
  bool OtherJob = Request.Fingerprint != 0 && Records->Fingerprint != Request.Fingerprint;
  if (OtherTeam || OtherJob)
    return Result;
  for (const auto &Record : Records->Tasks)
    Result.Tasks.push_back(convert(Record, Records->TaskCount));
  return Result;
}

} // namespace

std::vector<kernel::EndpointRecords>
collectRecords(const kernel::KernelConfiguration &Configuration, const RecoveryRequest &Request) {
  const auto &Endpoints = Configuration.Endpoints;
  std::vector<kernel::EndpointRecords> Records(Endpoints.size());
  std::atomic<std::size_t> Next{0};
  auto FetchNext = [&] {
    for (auto Number = Next++; Number < Endpoints.size(); Number = Next++)
      if (!Endpoints[Number].Removed && !Endpoints[Number].Remote)
        Records[Number] = fetchRecords(kernel::EndpointIndex(static_cast<std::uint32_t>(Number)),
                                       Endpoints[Number].Address, Request);
  };
  std::vector<std::thread> Threads;
  for (std::size_t Count = 0; Count < std::min(ConcurrentQueries, Endpoints.size()); ++Count)
    Threads.emplace_back(FetchNext);
  for (auto &Thread : Threads)
    Thread.join();
  return Records;
}

} // namespace cornellift::entry
