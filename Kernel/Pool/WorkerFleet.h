#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/PoolOutput.h"
#include "Kernel/Pool/TokenSource.h"
#include "Kernel/Pool/Worker.h"
#include "Libraries/LibCore/Time.h"

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// How long a start command is valid. The worker refuses it later, so that a task without a reply
/// can be started elsewhere after this time.
constexpr std::chrono::milliseconds StartValidity{100};

/// Timeout of a start or stop command. A worker refuses a start that is later than StartValidity.
constexpr std::chrono::milliseconds CommandTimeout{110};
/// How much longer than the requested wait the reply to a poll may take.
constexpr std::chrono::milliseconds PollReplyMargin{150};

/// A reply that is read this long after the worker should have sent it was held up in this process.
constexpr core::Duration MaximumReplyTime = std::chrono::milliseconds(100);

/// Why a run that was started does not run, or no longer runs.
enum class RunOutcome {
  Done,
  Failed,
  Stopped,    ///< By a stop command of this manager.
  Lost,       ///< The lease expired, or the worker was lost.
  NotStarted, ///< The worker refused the start command, or never received it.
  Outdated    ///< As NotStarted; the worker requires a higher run number.
};

/// Gets notified about runs and workers.
class RunListener {
public:
  virtual ~RunListener() = default;

  /// The run has ended, or never started; the fleet has already removed it.
  virtual void runEnded(EndpointIndex Worker, const Run &Ended, RunOutcome How,
                        core::TimePoint Now) = 0;
  /// The specification of the run's task; empty if the job no longer exists.
  virtual std::optional<std::string> specificationOf(const Run &Started) = 0;
  /// Returns whether the run's task is still wanted and may run on such a worker.
  virtual bool mayRunOn(const WorkerEntry &Entry, const Run &Each) const = 0;
  /// Until when the worker's lease may be extended while it has this run; empty if without limit.
  virtual std::optional<core::TimePoint> leaseLimitOf(const Run &Each) const = 0;
  /// A worker has started to accept tasks.
  virtual void availabilityIncreased(core::TimePoint Now) = 0;
};

/// The workers that this process manages: extends their leases, starts and stops runs, and polls
/// for their ends.
///
/// Commands may be executed late, twice or not at all, workers may restart under the same name, and
/// other managers may claim the same worker. A run is reported as ended only when it is certain
/// that it no longer runs.
///
/// A start command without a reply may be executed seconds later by another incarnation of the
/// worker, which nothing in the command tells from the one that it was meant for. Until that is no
/// longer possible, such a run stays on its worker: it is started again there, under the same
/// number, so that a late command finds it running or is refused.
class WorkerFleet {
public:
  WorkerFleet(PoolOutput &Output, RunListener &Listener, TokenSource &Tokens, DecisionLog &Log)
      : Output_(Output), Listener_(Listener), Tokens_(Tokens), Log_(Log) {}

  /// Sets the complete list of workers to manage. New workers are claimed. Workers that are no
  /// longer listed get no new tasks and are released when their last run has ended.
  void setListed(std::span<const WorkerEntry> Entries, core::TimePoint Now);

  /// Sets the data centres in which nothing is started, not even a run that was started before. Its
  /// runs go on.
  void setEvacuated(const std::set<std::string> &DataCentres);

  /// Defers the claim of a worker, because another manager may still hold its lease until then.
  void deferClaim(std::string_view Id, core::TimePoint Until, core::TimePoint Now);
  /// Claims the worker now, because the other manager has released it.
  void claimNow(std::string_view Id, core::TimePoint Now);

  void startRun(EndpointIndex Worker, Run NewRun, const std::string &Specification,
                core::TimePoint Now);
  /// Stops a run that this manager has started.
  void stopRun(EndpointIndex Worker, const TaskRef &Task, std::uint32_t Number,
               core::TimePoint Now);

  void startReplied(EndpointIndex Worker, const StartCommand &Command, const CommandReply &Reply,
                    core::TimePoint Now);
  void stopReplied(EndpointIndex Worker, const StopCommand &Command, const CommandReply &Reply,
                   core::TimePoint Now);
  void pollReplied(EndpointIndex Worker, const PollCommand &Command, const PollReply &Reply,
                   core::TimePoint Now);

  void tick(core::TimePoint Now);

  std::size_t size() const { return Workers_.size(); }
  const Worker &at(EndpointIndex Index) const { return Workers_[static_cast<std::size_t>(Index)]; }

  /// Workers of the data centre that this manager has held, or would have claimed, and no longer
  /// manages; without those on which runs go on.
  std::vector<std::string> releasedIn(std::string_view DataCentre) const;

  /// Number of runs on all workers.
  std::size_t runCount() const;
  /// Number of workers whose leases this manager holds.
  std::size_t heldCount() const { return countIn(LeaseState::Held); }
  /// Number of incarnations of known workers that took the place of former ones.
  std::uint64_t restartCount() const { return Restarts_; }
  /// Number of commands that stopped a run which this manager did not know.
  std::uint64_t foreignRunsStopped() const { return ForeignRunsStopped_; }
  /// Number of runs that were started again on their worker, because a command had no reply.
  std::uint64_t startedAgain() const { return StartedAgain_; }
  /// Number of workers in that lease state.
  std::size_t countIn(LeaseState State) const;

  /// Returns the run, or null if it has ended.
  const Run *findRun(EndpointIndex Worker, const TaskRef &Task, std::uint32_t Number) const;

private:
  Worker &mutableAt(EndpointIndex Index) { return Workers_[static_cast<std::size_t>(Index)]; }
  EndpointIndex indexOf(const std::string &Id);
  /// Returns null for a worker that was never listed.
  Worker *find(std::string_view Id);
  void list(const WorkerEntry &Entry, core::TimePoint Now);
  void unlist(EndpointIndex Index);
  void beginClaim(EndpointIndex Index, core::TimePoint Now);
  void sendPoll(EndpointIndex Index, core::TimePoint Now);
  /// Until when a poll that is sent now extends the worker's lease; empty if it must not.
  std::optional<core::TimePoint> leaseExtension(const Worker &Known, core::TimePoint Now) const;
  void pollFailed(EndpointIndex Index, CommandVerdict Verdict, core::TimePoint Now);
  void markFenced(EndpointIndex Index, core::TimePoint Now);
  void workerRestarted(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now);
  void applyEnds(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now);
  void applyRunning(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now);
  void stopForeignRuns(EndpointIndex Index, const WorkerReport &Report);
  /// Sends the start command of a run with a new time limit.
  void sendStart(EndpointIndex Index, Run &Started, std::string Specification, core::TimePoint Now);
  /// Returns whether the task of a run that is not at work must not start on another worker yet.
  static bool staysOnWorker(const Worker &Known, const Run &Each, core::TimePoint Now);
  /// Starts a run again that stays on its worker, if the worker can take it now.
  void startAgain(EndpointIndex Index, const TaskRef &Task, std::uint32_t Number,
                  core::TimePoint Now);
  /// Ends runs that the worker does not report and will not start any more; starts those again
  /// that stay on it.
  void resolveMissingRuns(EndpointIndex Index, const WorkerReport &Report, bool IsClaim,
                          core::TimePoint Now);
  void endRun(EndpointIndex Index, const TaskRef &Task, std::uint32_t Number, RunOutcome How,
              core::TimePoint Now);
  /// Ends the runs of an unreachable worker whose leases have expired.
  void endLapsedRuns(EndpointIndex Index, core::TimePoint Now);
  void tickWorker(EndpointIndex Index, core::TimePoint Now);
  void repeatStarts(EndpointIndex Index, core::TimePoint Now);
  void repeatStops(EndpointIndex Index, core::TimePoint Now);
  /// When the poll in flight should have been answered at the latest, as a run was expected to end
  /// then.
  static core::TimePoint replyDue(const Worker &Known, core::TimePoint ExpectedEnd);
  /// Returns whether the poll in flight has probably been lost.
  bool needsSecondPoll(EndpointIndex Index, core::TimePoint Now) const;

  PoolOutput &Output_;
  RunListener &Listener_;
  TokenSource &Tokens_;
  DecisionLog &Log_;
  std::vector<Worker> Workers_;
  std::unordered_map<std::string, EndpointIndex> IndexById_;
  struct DeferredClaim {
    core::TimePoint ClaimAt;
    core::TimePoint Since;
  };
  /// Of workers that are not listed yet.
  std::unordered_map<std::string, DeferredClaim> DeferredClaims_;
  std::set<std::string> EvacuatedDataCentres_;
  std::uint64_t Restarts_ = 0;
  std::uint64_t ForeignRunsStopped_ = 0;
  std::uint64_t StartedAgain_ = 0;
};

} // namespace cornellift::kernel
