#pragma once

#include "Kernel/Identifiers.h"
#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/PoolOutput.h"
#include "Kernel/Pool/TokenSource.h"
#include "Kernel/Pool/Worker.h"
#include "Libraries/LibCore/Time.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// Why an ordered run does not run, or not any more.
enum class RunOutcome {
  Done,
  Failed,
  Stopped,    ///< By this manager's order.
  Lost,       ///< With its lease or its worker.
  NotStarted, ///< The worker refused it, or never got the order.
  Outdated    ///< As NotStarted; the worker wants a higher run number.
};

/// Learns what becomes of the runs.
class RunListener {
public:
  virtual ~RunListener() = default;

  /// The run has left the worker. It was the last thing that the fleet knew of it.
  virtual void runEnded(EndpointIndex Worker, const Run &Ended, RunOutcome How,
                        core::TimePoint Now) = 0;
  /// What the run's task is to do; empty when nobody wants it any more.
  virtual std::optional<std::string> specificationOf(const Run &NewRun) = 0;
  /// The worker has room or standing that it lacked before.
  virtual void availabilityIncreased(core::TimePoint Now) = 0;
};

/// The workers that this process manages: keeps their leases, orders runs and learns their ends.
///
/// Answers orders that are carried out late, twice or not at all, workers that restart under their
/// name, and other managers that claim the same worker: a run is reported as left only when it is
/// certain that it does not run any more.
class WorkerFleet {
public:
  WorkerFleet(PoolOutput &Output, RunListener &Listener, TokenSource &Tokens, DecisionLog &Log)
      : Output_(Output), Listener_(Listener), Tokens_(Tokens), Log_(Log) {}

  /// The complete list of the workers to be managed. A worker that appears is claimed; one that
  /// has disappeared gets no new tasks and is let go of once it runs nothing.
  void setListed(std::span<const WorkerEntry> Entries, core::TimePoint Now);

  /// The worker is not claimed before that moment, because another manager may still hold it.
  void deferClaim(std::string_view Id, core::TimePoint Until);
  /// The other manager has let go of the worker.
  void claimNow(std::string_view Id, core::TimePoint Now);

  void startRun(EndpointIndex Worker, Run NewRun, const std::string &Specification,
                core::TimePoint Now);
  /// Orders the stop of a run that this manager has ordered.
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
  /// Avoids the worker until then; used by those who judge its health.
  void avoid(EndpointIndex Index, core::TimePoint Until) { edit(Index).AvoidUntil = Until; }

  std::size_t runCount() const;
  /// Workers whose leases this manager extends.
  std::size_t heldCount() const { return countIn(LeaseState::Held); }
  std::size_t countIn(LeaseState State) const;

  /// The run, or null when it has left the worker.
  const Run *findRun(EndpointIndex Worker, const TaskRef &Task, std::uint32_t Number) const;

private:
  Worker &edit(EndpointIndex Index) { return Workers_[static_cast<std::size_t>(Index)]; }
  EndpointIndex indexOf(const std::string &Id);
  /// Null for a worker that was never listed.
  Worker *find(std::string_view Id);
  void list(const WorkerEntry &Entry, core::TimePoint Now);
  void unlist(EndpointIndex Index);
  void beginClaim(EndpointIndex Index, core::TimePoint Now);
  void sendPoll(EndpointIndex Index, core::TimePoint Now);
  void pollFailed(EndpointIndex Index, CommandVerdict Verdict, core::TimePoint Now);
  void fenced(EndpointIndex Index, core::TimePoint Now);
  void workerRestarted(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now);
  void applyEnds(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now);
  void applyRunning(EndpointIndex Index, const WorkerReport &Report, core::TimePoint Now);
  void stopForeignRuns(EndpointIndex Index, const WorkerReport &Report);
  /// Lets go of runs that the worker does not list and will not start any more.
  void resolveMissingRuns(EndpointIndex Index, const WorkerReport &Report, bool IsClaim,
                          core::TimePoint Now);
  void endRun(EndpointIndex Index, const TaskRef &Task, std::uint32_t Number, RunOutcome How,
              core::TimePoint Now);
  void markAllRunsLost(EndpointIndex Index, core::TimePoint Now);
  void tickWorker(EndpointIndex Index, core::TimePoint Now);
  void repeatStarts(EndpointIndex Index, core::TimePoint Now);
  void repeatStops(EndpointIndex Index, core::TimePoint Now);
  /// Whether the look under way has probably been lost.
  bool needsSecondPoll(EndpointIndex Index, core::TimePoint Now) const;

  PoolOutput &Output_;
  RunListener &Listener_;
  TokenSource &Tokens_;
  DecisionLog &Log_;
  std::vector<Worker> Workers_;
  std::unordered_map<std::string, EndpointIndex> IndexById_;
  /// Earliest claims of workers that are not listed yet.
  std::unordered_map<std::string, core::TimePoint> DeferredClaims_;
};

} // namespace cornellift::kernel
