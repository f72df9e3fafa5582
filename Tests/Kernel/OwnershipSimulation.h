#pragma once

#include "Kernel/Dispatcher.h"
#include "Kernel/Jobs/Recovery.h"
#include "RoundRobinScheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace cornellift::kernel {

enum class StepKind : std::uint8_t {
  Deliver,
  Duplicate,
  Lose,
  CutConnection,
  EndTask,
  Advance,
  LongWait,
  OpenSession,
  Submit,
  Resubmit,
  SubmitOther,
  Ask,
  Cancel,
  Abandon,
  Kill,
  Restart,
  Pause,
  Resume,
  NoticeDeath,
  RestartEndpoint,
  ToggleLeaving,
  Stop,
  RetrySeal,
  GiveUpSeal,
  Overdue,
  Count
};

/// One step of a trace. The numbers select among the objects that exist when the step is applied,
/// so that a trace stays valid when steps are removed from it.
struct Step {
  StepKind Kind{};
  std::uint32_t First = 0;
  std::uint32_t Second = 0;
};

std::string toString(const Step &Taken);

/// A violated invariant of job ownership.
struct InvariantViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Simulates entry processes, endpoints and the messages between them. Checks the invariants of job
/// ownership in every step and throws an InvariantViolation.
class OwnershipSimulation {
public:
  static constexpr std::uint32_t Vms = 3;
  static constexpr std::uint32_t Endpoints = 3;

  OwnershipSimulation();
  ~OwnershipSimulation();

  void apply(const Step &Next);

  /// Ends all faults and checks that every job ends and every request gets a response.
  void settle();

  /// Number of times that each outcome occurred, so that a run can show that it covered them.
  std::map<std::string, std::uint64_t> Seen;

private:
  class Process;
  friend class Process;

  /// A request to a task's endpoint. Boot is the endpoint's boot at the time of the connection or
  /// of the start.
  struct EndpointCall {
    enum class Kind { Start, Ask, Fence } Operation{};
    TaskId Task;
    std::uint32_t Endpoint = 0;
    std::uint32_t Attempt = 0;
    Incarnation From;
    std::uint32_t Boot = 0;
    std::uint32_t TaskCount = 0;
    std::string Payload;
  };
  /// An event in transit to a process.
  struct Delivery {
    Incarnation To;
    Event Content;
  };
  /// A call from one process to another, or the reply to a transfer call.
  struct PeerCall {
    Incarnation From;
    Incarnation To;
    std::uint32_t Endpoint = 0; ///< The caller's index of the receiver, for delegated tasks.
    std::uint32_t Attempt = 0;
    std::variant<StartDelegated, AskDelegated, TransferReceived, TransferSealed> Content;
    core::TimePoint SentAt{};
  };
  struct PeerReply {
    PeerCall Call;
    TransferReply Reply{};
  };
  using Message = std::variant<EndpointCall, Delivery, PeerCall, PeerReply>;

  struct EndpointRecord {
    enum class State { Running, Finished, Failed, Fenced } CurrentState{};
    Incarnation From;
    std::uint32_t Attempt = 0;
    std::uint32_t TaskCount = 0;
    std::string Result;

    RecordedState recorded() const {
      switch (CurrentState) {
      case State::Running:
        return RecordedState::Running;
      case State::Finished:
        return RecordedState::Finished;
      case State::Failed:
        return RecordedState::Failed;
      case State::Fenced:
        break;
      }
      return RecordedState::FencedBeforeStart;
    }
  };
  struct Endpoint {
    std::uint32_t Boot = 1;
    enum class Standing { Live, Leaving } State{};
    std::map<TaskId, EndpointRecord> Records;
  };
  struct Request {
    enum class Kind { Session, Submit, Ask, Cancel, Peer } Operation{};
    enum class State { Open, Answered, Abandoned } CurrentState{};
    JobId Job{};
    std::uint32_t Tag = 0;
    std::uint32_t Hops = 0;
    std::shared_ptr<PeerCall> Call{};
  };
  struct Submission {
    JobId Job;
    std::uint32_t Tag = 0;
  };

  static JobSpec specFor(std::uint32_t Tag, core::TimePoint Now);
  static std::vector<std::string> resultsFor(std::uint32_t Tag);

  void startProcess(std::uint32_t Vm);
  Process *find(Incarnation Name);
  Process *serving(std::uint32_t Vm);
  void send(Message Next) { Messages_.push_back(std::move(Next)); }

  /// True for messages that cannot arrive twice: a connection delivers a start at most once, but
  /// possibly late.
  static bool arrivesAtMostOnce(const Message &Next);
  void deliver(Message Next);
  void deliverTo(EndpointCall &Call);
  void deliverStart(Endpoint &Target, EndpointCall &Call);
  void deliverTo(Delivery &Event);
  void deliverTo(PeerCall &Call);
  void deliverTo(PeerReply &Reply);
  void dropMessage(Message Lost);
  void answerCaller(const PeerCall &Call, const DelegatedReply &Reply);

  void endTask(std::uint32_t First, std::uint32_t Second);
  void advance(core::Duration Span);
  void submit(std::uint32_t Vm, JobId Job, std::uint32_t Tag);
  void ask(std::uint32_t Vm, JobId Job, Request::Kind Operation);
  void abandon(std::uint32_t First);
  void noticeDeaths();
  void restartEndpoint(std::uint32_t First, std::uint32_t Second);
  void forward(const Request &Original);
  void recover(const Request &Original);
  void resolveSeals(const Step &Next);

  RequestId newRequest(Incarnation At, Request Original);
  void onResponse(const Process &From, const Respond &Answer);
  void checkOutcome(const Request &Original, const Outcome &Reported);
  void checkComplete(const Request &Original, const Complete &Reported);
  void checkNotRun(JobId Job);
  void checkTasks(JobId Job, const MayHaveRun &Reported);
  void recordStart(TaskId Task);

  core::TimePoint Now_{std::chrono::hours(1)};
  std::shared_ptr<const KernelConfiguration> Configuration_;
  std::map<Incarnation, std::unique_ptr<Process>> Processes_;
  std::vector<Incarnation> Current_;
  std::map<Incarnation, Incarnation> Successors_;
  std::vector<Endpoint> Endpoints_;
  std::vector<Message> Messages_;
  std::uint64_t LastIncarnation_ = 0;
  std::uint64_t LastRequest_ = 0;
  std::map<std::pair<Incarnation, RequestId>, Request> Requests_;

  std::vector<JobId> Unused_;
  std::vector<Submission> Submitted_;
  std::map<TaskId, std::uint32_t> Starts_;
  std::set<JobId> StartedJobs_;
  std::set<JobId> ReportedNotRun_;
  std::set<TaskId> TasksReportedNotRun_;
  std::map<JobId, std::vector<std::string>> ReportedResults_;
};

} // namespace cornellift::kernel
