#pragma once

#include "Kernel/Delegation/DelegatedTable.h"
#include "Kernel/Dispatcher.h"
#include "Kernel/Jobs/IdentifierIssuer.h"
#include "Kernel/Jobs/JobTable.h"
#include "Kernel/Jobs/OutcomeStore.h"
#include "Kernel/Jobs/RequestTable.h"
#include "Kernel/Jobs/RunningTasks.h"
#include "Kernel/Transfer/TransferStaging.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// Implements the Dispatcher's rules. The member functions are defined in JobRules.cpp
/// (submissions, requests, ends of jobs), TaskRules.cpp (starts and reports about started tasks),
/// DelegatedRules.cpp and TransferRules.cpp.
class Dispatcher::State {
public:
  State(Incarnation Own, std::unique_ptr<Scheduler> TaskScheduler);

  void handle(Event &Next, core::TimePoint Now, ActionSink &Sink);

  const Scheduler &scheduler() const { return *Scheduler_; }
  DispatcherCounters counters() const;

private:
  /// Phase of the transfer of which this process is the sender.
  enum class TransferPhase {
    None,
    Staging,   ///< Parts are being sent; the jobs in them do not start.
    SealSent,  ///< The successor may own the parts.
    Confirmed, ///< The successor owns the parts.
    Unanswered ///< The owner of the parts is unknown; the jobs in them do not start here.
  };
  /// Result of an event: Needed if it may have made new starts possible, so that the scheduler
  /// has to be run.
  enum class Rescheduling { Needed, NotNeeded };

  // JobRules.cpp
  Rescheduling on(OpenSession &Next);
  Rescheduling on(SubmitJob &Next);
  Rescheduling on(AskOutcome &Next);
  Rescheduling on(CancelJob &Next);
  Rescheduling on(RequestAbandoned &Next);
  // TaskRules.cpp
  Rescheduling on(StartRefused &Next);
  Rescheduling on(TaskEnded &Next);
  Rescheduling on(TaskUncertain &Next);
  Rescheduling on(TaskReported &Next);
  Rescheduling on(EndpointObserved &Next);
  Rescheduling on(SlotsChanged &Next);
  Rescheduling on(TeamTargetsChanged &Next);
  // DelegatedRules.cpp
  Rescheduling on(StartDelegated &Next);
  Rescheduling on(AskDelegated &Next);
  // Dispatcher.cpp
  Rescheduling on(ConfigurationApplied &Next);
  Rescheduling on(StopRequested &Next);
  Rescheduling on(StopOverdue &Next);
  Rescheduling on(Tick &Next);
  // TransferRules.cpp
  Rescheduling on(BeginTransfer &Next);
  Rescheduling on(AbortTransfer &Next);
  Rescheduling on(TransferSealSent &Next);
  Rescheduling on(TransferConfirmed &Next);
  Rescheduling on(TransferUnanswered &Next);
  Rescheduling on(TransferReceived &Next);
  Rescheduling on(TransferSealed &Next);
  Rescheduling on(PredecessorEnded &Next);

  void emit(Action Next) { Sink_->perform(std::move(Next)); }
  void respond(RequestId Request, Response Content) { emit(Respond{Request, std::move(Content)}); }
  void respondOutcome(RequestId Request, Outcome Content);
  void respondNotRun(RequestId Request, core::ErrorKind Kind, std::string Reason);
  void respondMayHaveRun(RequestId Request, core::ErrorKind Kind, std::string Reason);
  void respondStatus(RequestId Request, const JobRecord &Job);
  const LimitsConfiguration &limits() const;

  // Identifiers and submissions.
  IdentifierIssuer *issuerOf(JobId Job);
  void markNeverRun(JobId Job);
  void submitNew(SubmitJob &Next, IdentifierIssuer &Issuer, std::uint64_t Fingerprint);
  std::optional<NotRun> refusal(const SubmitJob &Next) const;
  std::optional<NotRun> overload() const;
  void respondUnknownJob(RequestId Request, JobId Job);
  /// Responds with the kept outcome. Returns false when there is none.
  bool respondKeptOutcome(RequestId Request, JobId Job);
  void attach(RequestId Request, JobRecord &Job, std::optional<core::TimePoint> WaitUntil);

  // Jobs.
  void accept(JobId Id, JobSpec Spec, std::uint64_t Fingerprint);
  void endEarly(JobRecord &Job, core::ErrorKind Kind, std::string Reason);
  void finishIfDone(JobRecord &Job);
  void finish(JobRecord &Job, Outcome Content);
  void finishWith(JobRecord &Job, TransferredOutcome Ended);
  Outcome outcomeOf(JobRecord &Job) const;
  void flagIfExpectedLate(JobRecord &Job);
  void endIfDeadlinePassed(JobRecord &Job);

  // Tasks.
  void startTasks();
  /// Returns false when the scheduler's choice violates a rule; then nothing is started.
  bool start(const Placement &Choice);
  RunningTask *runningTask(TaskId Task, EndpointIndex Endpoint, std::uint32_t Attempt);
  void notStarted(TaskId Task, EndpointIndex Endpoint, StartRefusal Cause);
  void countRefusal(JobRecord &Job, std::uint32_t Index, StartRefusal Cause);
  void fence(TaskId Task, RunningTask &Started);
  void markLost(TaskId Task, EndpointIndex Endpoint);
  void queryStatus(TaskId Task, RunningTask &Started);
  void checkDueTasks();
  void checkDueRequests();
  void checkDeadlines();

  // Delegated tasks.
  static bool mayStartNow(const DelegatedTask &Known, const StartDelegated &Next);
  Rescheduling refuseDelegated(const StartDelegated &Next, StartRefusal Cause);
  enum class DelegatedCall { Start, Ask };
  void respondDelegated(RequestId Request, TaskId Task, const DelegatedTask &Record,
                        DelegatedCall Call);
  void endDelegated(TaskId Task, DelegatedTask::State End, std::shared_ptr<const TaskEnded> Ended,
                    StartRefusal Cause);

  // Transfer.
  bool hasTransferBegun() const { return TransferPhase_ != TransferPhase::None; }
  void holdForTransfer(SubmitJob &Next);
  void resume(JobRecord &Job);
  void addRemote(const TransferredRunning &Running, Incarnation Sender);
  void sendParts();
  void sendOutcome(const TransferredOutcome &Ended);
  void sendFinished();
  void takeOver(const StagedTransfer &Staged);
  void addOutcomesOf(const TransferPart &Part);
  void checkDrained();

  Incarnation Own_;
  std::unique_ptr<Scheduler> Scheduler_;
  std::shared_ptr<const KernelConfiguration> Configuration_;
  core::TimePoint Now_;
  ActionSink *Sink_ = nullptr;

  /// Issuers of the own incarnation and of those whose state this process took over.
  std::map<Incarnation, IdentifierIssuer> Issuers_;
  JobTable Jobs_;
  OutcomeStore Outcomes_;
  RequestTable Requests_;
  RunningTasks Running_;
  DelegatedTable Delegated_;
  std::uint32_t LastAttempt_ = 0;
  DispatcherCounters Counters_;

  /// Overdue: the time for a planned stop is nearly over and nothing more is started.
  enum class Lifecycle { Serving, Stopping, Overdue } Lifecycle_{};
  enum class Drain { Reported, Pending } Drain_{Drain::Pending};
  TransferPhase TransferPhase_ = TransferPhase::None;
  Incarnation Receiver_;
  std::uint32_t TransferAttempt_ = 0; ///< Number of the current attempt; a later one replaces it.
  std::uint32_t PartCount_ = 0;
  std::vector<TransferredOutcome> FinishedDuringTransfer_;
  std::vector<SubmitJob> HeldSubmissions_;
  TransferStaging Staging_;
};

} // namespace cornellift::kernel
