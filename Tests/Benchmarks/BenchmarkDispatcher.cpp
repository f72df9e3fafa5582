/// Measures the Dispatcher's events per second and its memory. Takes no arguments.

#include "FreeListScheduler.h"
#include "Kernel/Dispatcher.h"

#include <chrono>
#include <cstdio>
#include <deque>

#include <malloc.h>

using namespace cornellift;
using namespace cornellift::kernel;

namespace {

constexpr std::uint32_t SlotsPerWorker = 8;
constexpr std::uint32_t TasksPerJob = 100;
constexpr std::uint64_t TasksPerRun = 2'000'000;
constexpr core::Duration TickInterval = std::chrono::milliseconds(10);
/// The load of one entry VM at the two-year size.
constexpr std::uint64_t TasksPerTick = 350;
constexpr std::uint64_t MeasuredJobs = 10'000;
constexpr std::uint64_t MeasuredBlocks = 10'000;

/// A Dispatcher whose endpoints are all busy.
class SaturatedDispatcher : public ActionSink {
public:
  explicit SaturatedDispatcher(std::uint32_t Workers) {
    auto Configuration = std::make_shared<KernelConfiguration>();
    Configuration->Teams.resize(1);
    Configuration->Services.push_back({"render", 1, {{"frame", {}, {}}}});
    Configuration->Endpoints.resize(Workers);
    for (auto &Endpoint : Configuration->Endpoints)
      Endpoint.Slots = SlotsPerWorker;
    Configuration->Limits.MaximumQueuedTasks = 10'000'000;
    Configuration->Limits.OutcomeLifetime = std::chrono::seconds(10);
    handle(ConfigurationApplied{std::move(Configuration)});
  }

  void perform(Action Next) override {
    if (auto *Start = std::get_if<StartTask>(&Next))
      Started.push_back({Start->Task, Start->Endpoint, Start->Attempt});
    else if (const auto *Answer = std::get_if<Respond>(&Next))
      note(*Answer);
  }

  void handle(Event Next) {
    ++Events;
    Kernel_.handle(std::move(Next), Now, *this);
  }

  void submit(std::uint32_t Tasks) {
    if (UsedIdentifiers_ == Block_.Count)
      handle(OpenSession{RequestId{++LastRequest_}});
    JobSpec Spec;
    Spec.Tasks.resize(Tasks);
    JobId Job{Block_.Issuer, Block_.First + UsedIdentifiers_++};
    handle(
        SubmitJob{RequestId{++LastRequest_}, Job, std::move(Spec), Now + std::chrono::minutes(1)});
  }

  struct Running {
    TaskId Task;
    EndpointIndex Endpoint{};
    std::uint32_t Attempt = 0;
  };

  std::deque<Running> Started;
  core::TimePoint Now{std::chrono::seconds(1000)};
  std::uint64_t Events = 0;
  std::uint64_t CompletedJobs = 0;

private:
  void note(const Respond &Answer) {
    if (const auto *Block = std::get_if<IdentifierBlock>(&Answer.Content)) {
      Block_ = *Block;
      UsedIdentifiers_ = 0;
    }
    const auto *Ended = std::get_if<std::shared_ptr<const Outcome>>(&Answer.Content);
    if (Ended && std::holds_alternative<Complete>(**Ended))
      ++CompletedJobs;
  }

  Dispatcher Kernel_{Incarnation{0xA11CE}, std::make_unique<FreeListScheduler>()};
  std::uint64_t LastRequest_ = 0;
  IdentifierBlock Block_;
  std::uint32_t UsedIdentifiers_ = 0;
};

void measureEvents(std::uint32_t Workers) {
  SaturatedDispatcher Run(Workers);
  auto Running = Workers * SlotsPerWorker;
  // As many tasks wait as run.
  for (std::uint32_t Tasks = 0; Tasks < 2 * Running; Tasks += TasksPerJob)
    Run.submit(TasksPerJob);
  auto Result = std::make_shared<const std::string>("result");
  auto EventsBefore = Run.Events;
  std::uint64_t Submitted = 0;
  auto Begin = std::chrono::steady_clock::now();
  for (std::uint64_t Task = 1; Task <= TasksPerRun; ++Task) {
    auto [Id, Endpoint, Attempt] = Run.Started.front();
    Run.Started.pop_front();
    Run.handle(TaskEnded{Id, Endpoint, TaskVerdict::Finished, Result, {}, {}, Attempt});
    for (; Submitted < Run.CompletedJobs; ++Submitted)
      Run.submit(TasksPerJob);
    if (Task % TasksPerTick != 0)
      continue;
    Run.Now += TickInterval;
    Run.handle(Tick{});
  }
  std::chrono::duration<double> Elapsed = std::chrono::steady_clock::now() - Begin;
  auto Events = static_cast<double>(Run.Events - EventsBefore);
  std::printf("%5u workers, %6u running tasks: %9.0f events/s, %6.0f ns per event\n", Workers,
              Running, Events / Elapsed.count(), Elapsed.count() * 1e9 / Events);
}

std::size_t usedBytes() {
  auto Used = mallinfo2();
  return Used.uordblks + Used.hblkhd;
}

void measureQueuedJobs(std::uint32_t Tasks) {
  SaturatedDispatcher Run(1);
  Run.submit(SlotsPerWorker);
  auto Before = usedBytes();
  for (std::uint64_t Job = 0; Job < MeasuredJobs; ++Job)
    Run.submit(Tasks);
  std::printf("queued job of %3u tasks, with its waiting request and 64 identifiers per 64 jobs: "
              "%6.0f bytes\n",
              Tasks, static_cast<double>(usedBytes() - Before) / MeasuredJobs);
}

void measureIdentifiers() {
  SaturatedDispatcher Run(1);
  auto Before = usedBytes();
  for (std::uint64_t Block = 0; Block < MeasuredBlocks; ++Block)
    Run.handle(OpenSession{RequestId{Block}});
  std::printf("identifier: %.2f bytes\n",
              static_cast<double>(usedBytes() - Before) / (MeasuredBlocks * 64));
}

void measureOutcomes() {
  SaturatedDispatcher Run(1);
  auto Result = std::make_shared<const std::string>("result");
  auto Before = usedBytes();
  for (std::uint64_t Job = 0; Job < MeasuredJobs; ++Job) {
    Run.submit(1);
    auto [Id, Endpoint, Attempt] = Run.Started.front();
    Run.Started.pop_front();
    Run.handle(TaskEnded{Id, Endpoint, TaskVerdict::Finished, Result, {}, {}, Attempt});
  }
  std::printf("kept outcome of one task, without the result: %.0f bytes\n",
              static_cast<double>(usedBytes() - Before) / MeasuredJobs);
}

} // namespace

int main() {
  for (std::uint32_t Workers : {50, 350, 700, 1400})
    measureEvents(Workers);
  measureQueuedJobs(1);
  measureQueuedJobs(100);
  measureIdentifiers();
  measureOutcomes();
  return 0;
}
