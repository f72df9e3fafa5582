#pragma once

#include "Kernel/Pool/PoolManager.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornellift::test {

using namespace cornellift::kernel;
using namespace std::chrono_literals;

class NoLog final : public DecisionLog {
  void line(DecisionPriority, std::string_view, std::optional<JobKey>,
            std::initializer_list<DecisionField>) override {}
};

/// Records the commands and messages of a manager.
class Recorder final : public PoolOutput {
public:
  void workerAddressChanged(EndpointIndex, const WorkerEntry &) override {}
  void workerDropped(EndpointIndex) override {}
  void poll(EndpointIndex Worker, const PollCommand &Command) override {
    Polls.emplace_back(Worker, Command);
  }
  void start(EndpointIndex Worker, const StartCommand &Command) override {
    Starts.emplace_back(Worker, Command);
  }
  void stop(EndpointIndex Worker, const StopCommand &Command) override {
    Stops.emplace_back(Worker, Command);
  }
  void send(PeerIndex Peer, PoolMessage Message) override {
    Sent.emplace_back(Peer, std::move(Message));
  }

  std::vector<JobAnswer> answers() const {
    std::vector<JobAnswer> Found;
    for (const auto &[Peer, Message] : Sent)
      if (const auto *Answer = std::get_if<PoolAnswer>(&Message))
        Found.push_back(Answer->Answer);
    return Found;
  }

  std::vector<std::pair<EndpointIndex, PollCommand>> Polls;
  std::vector<std::pair<EndpointIndex, StartCommand>> Starts;
  std::vector<std::pair<EndpointIndex, StopCommand>> Stops;
  std::vector<std::pair<PeerIndex, PoolMessage>> Sent;
};

inline WorkerEntry entry(const std::string &Id) {
  WorkerEntry Entry;
  Entry.Id = Id;
  Entry.Address = "10.0.0.1:80";
  Entry.DataCentre = "ikeja";
  Entry.Service = "slips";
  Entry.Capacity = {4, 1000, 0};
  Entry.Slots = 4;
  return Entry;
}

/// A manager whose workers reply when the test calls for it.
struct ManagerFixture {
  explicit ManagerFixture(const PoolSettings &Settings = {})
      : Manager(Settings, Out, Tokens, Log) {}

  /// Answers all open polls with the given running and ended tasks; those of other workers than
  /// RunsOn, if that is given, with none.
  void answerPolls(const std::vector<RunningTask> &Running = {},
                   const std::vector<EndedTask> &Ended = {},
                   std::optional<EndpointIndex> RunsOn = std::nullopt) {
    for (const auto &[Worker, Command] : std::exchange(Out.Polls, {})) {
      bool HasRuns = !RunsOn || *RunsOn == Worker;
      PollReply Reply;
      Reply.Verdict = CommandVerdict::Accepted;
      Reply.Report.emplace();
      Reply.Report->ClockMilliseconds = workerClock(Now);
      Reply.Report->StartedMilliseconds = Incarnation;
      if (HasRuns) {
        Reply.Report->Running = Running;
        Reply.Report->Ended = Ended;
      }
      Manager.pollReplied(Worker, Command, Reply, Now);
    }
  }

  /// Time on the workers' clocks, in milliseconds.
  static std::int64_t workerClock(core::TimePoint At) {
    return 1000 + (At - core::TimePoint()) / 1ms;
  }

  void list(const std::vector<std::string> &Ids) {
    std::vector<WorkerEntry> Entries;
    Entries.reserve(Ids.size());
    for (const auto &Id : Ids)
      Entries.push_back(entry(Id));
    Manager.setWorkers(Entries, Now);
    answerPolls(); // The first poll reports the worker's incarnation.
    answerPolls();
  }

  JobKey submit(std::uint32_t Tasks, double Milliseconds, core::Duration Timeout = 3s,
                PeerIndex From = SelfPeer) {
    return submitAs(static_cast<JobKey>(++LastKey), Tasks, Milliseconds, Timeout, From);
  }

  JobKey submitAs(JobKey Key, std::uint32_t Tasks, double Milliseconds, core::Duration Timeout = 3s,
                  PeerIndex From = SelfPeer) {
    Manager.receive(From, SubmitToPool{submission(Key, Tasks, Milliseconds, Timeout)}, Now);
    return Key;
  }

  std::shared_ptr<JobSubmission> submission(JobKey Key, std::uint32_t Tasks, double Milliseconds,
                                            core::Duration Timeout = 3s) const {
    auto Submission = std::make_shared<JobSubmission>();
    Submission->Key = Key;
    Submission->Steps.resize(1);
    Submission->Steps[0].Count = Tasks;
    Submission->Steps[0].Need = {2, 10, 0};
    Submission->Steps[0].DeclaredMilliseconds = Milliseconds;
    Submission->Steps[0].RequiredLabel = RequiredLabel;
    Submission->Steps[0].DataRack = DataRack;
    Submission->Policy.Route = "r";
    Submission->Policy.Service = "slips";
    Submission->Policy.MaximumAttempts = 2;
    Submission->Policy.Stretch = 1.5;
    Submission->Policy.TargetLatencyMilliseconds = 30;
    Submission->ReceivedAt = Now;
    Submission->AnswerBy = Now + Timeout;
    return Submission;
  }

  void pass(core::Duration Span) {
    Now += Span;
    Manager.tick(Now);
  }

  core::TimePoint Now = core::TimePoint(1h);
  std::int64_t Incarnation = 7; ///< Start of the workers that answer polls.
  std::string RequiredLabel;    ///< Of submitted tasks.
  std::string DataRack;         ///< Of submitted tasks.
  std::uint64_t LastKey = 0;
  NoLog Log;
  TokenSource Tokens;
  Recorder Out;
  PoolManager Manager;
};

} // namespace cornellift::test
