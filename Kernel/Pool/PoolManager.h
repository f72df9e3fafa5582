#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/JobKindRunTimes.h"
#include "Kernel/Pool/PlacementRate.h"
#include "Kernel/Pool/PoolCounters.h"
#include "Kernel/Pool/PoolJob.h"
#include "Kernel/Pool/PoolOutput.h"
#include "Kernel/Pool/PoolPlacement.h"
#include "Kernel/Pool/RemotePool.h"
#include "Kernel/Pool/TokenSource.h"
#include "Kernel/Pool/WorkerFleet.h"
#include "Kernel/Pool/WorkerRatings.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

struct PoolSettings {
  double RemoteFactor = 1; ///< Run time of a task away from its data, relative to near it.
  /// How much sooner, in milliseconds and beside the round trip, a task must be expected to end at
  /// another manager to go there: the price of being cut off from it.
  double RemotePenaltyMilliseconds = 10;
};

/// Runs the jobs that are handed to this process on the workers that it manages, and on those of
/// other managers that have room.
///
/// No task runs twice at the same time: a task gets a new run only when the former one has ended,
/// was never begun, or has lost its lease for certain.
class PoolManager final : private RunListener {
public:
  PoolManager(const PoolSettings &Settings, PoolOutput &Output, TokenSource &Tokens,
              DecisionLog &Log);

  WorkerFleet &fleet() { return Fleet_; }
  const WorkerFleet &fleet() const { return Fleet_; }

  /// The complete list of the workers to be managed.
  void setWorkers(std::span<const WorkerEntry> Entries, core::TimePoint Now);

  void setRemoteFactor(double Factor) { Settings_.RemoteFactor = Factor; }

  /// A message of a peer, or of this process as SelfPeer.
  void receive(PeerIndex From, const PoolMessage &Message, core::TimePoint Now);

  /// Whether the peer manages workers of its own; it then gets this manager's reports.
  void setManager(PeerIndex Peer, bool IsManager, core::TimePoint Now);
  /// Time of a message to the peer and its answer.
  void setRoundTrip(PeerIndex Peer, core::Duration RoundTrip) {
    Remotes_[Peer].Pool.setRoundTrip(RoundTrip);
  }
  /// LastHeard is when the peer was last known to be alive.
  void peerLost(PeerIndex Peer, core::TimePoint LastHeard, core::TimePoint Now);

  void startReplied(EndpointIndex Worker, const StartCommand &Order, const CommandReply &Reply,
                    core::TimePoint Now);
  void stopReplied(EndpointIndex Worker, const StopCommand &Order, const CommandReply &Reply,
                   core::TimePoint Now);
  void pollReplied(EndpointIndex Worker, const PollCommand &Order, const PollReply &Reply,
                   core::TimePoint Now);

  /// Time has passed; called at least every 20 ms.
  void tick(core::TimePoint Now);

  /// No further task is started on this manager's own workers; jobs go on at other managers.
  void stopStarting() { MayStart_ = false; }

  /// Jobs that have not ended, guests included.
  std::size_t jobCount() const { return Jobs_.size(); }
  std::uint32_t waitingTasks() const;
  /// Jobs of which no task has started, by route.
  std::vector<RouteBacklog> backlog() const;
  const PoolCounters &counters() const { return Counters_; }

private:
  /// Waiting jobs in the order in which their tasks are placed.
  struct QueueKey {
    bool HasMissed = false; ///< Can no longer meet its objective; comes after those that can.
    core::TimePoint LatestStart;
    JobHandle Handle{};
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
    auto operator<=>(const QueueKey &) const = default;
  };

  struct Remote {
    bool IsManager = false;
    RemotePool Pool;
    std::vector<DelegatedTask> Outgoing; ///< Of the job being placed.
    /// What the peer was told of this manager's workers; empty after a new directory.
    std::vector<WorkerAvailability> LastReported;
  };

  struct AnsweredJob {
    JobAnswer Answer;
    core::TimePoint ForgetAt;
  };

  // PoolManagerJobs.cpp: the life of a job.
  void submit(PeerIndex From, const std::shared_ptr<const JobSubmission> &Order,
              core::TimePoint Now);
  bool attachToKnown(PeerIndex From, const std::shared_ptr<const JobSubmission> &Order,
                     core::TimePoint Now);
  PoolJob &createJob(PeerIndex From, const std::shared_ptr<const JobSubmission> &Order,
                     bool IsDelegation, core::TimePoint Now);
  void setDeadlines(PoolJob &Job);
  std::optional<JobAnswer> rejectionFor(const PoolJob &Job, core::TimePoint Now) const;
  void unblockSteps(PoolJob &Job);
  void finishTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void failTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void requeueTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void endJob(PoolJob &Job, JobAnswer Answer, core::TimePoint Now);
  void stopTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void removeIfInactive(JobHandle Handle, core::TimePoint Now);
  void abandon(PeerIndex From, JobKey Key, core::TimePoint Now);
  void expireJobs(core::TimePoint Now);
  /// Rejects jobs of which nothing has started and that the work ahead of them leaves no time.
  void rejectUnattainable(core::TimePoint Now);
  void forgetAnswers(core::TimePoint Now);
  void enqueue(const PoolJob &Job, core::TimePoint Now);
  void dequeue(JobHandle Handle);
  double waitMilliseconds(const PoolJob &Job) const;
  /// Run time of the longest waiting task on the fastest worker, in milliseconds.
  double shortestRunTime(const PoolJob &Job) const;
  PoolJob *find(JobHandle Handle);

  // PoolManagerPlacement.cpp: where tasks go.
  void dispatch(core::TimePoint Now);
  /// Returns whether any task was placed.
  bool placeJob(PoolJob &Job, core::TimePoint Now);
  bool placeTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  PoolPlacementRequest placementRequestFor(const PoolJob &Job, std::uint32_t Step,
                                           core::TimePoint Now) const;
  std::optional<EndpointIndex> chooseWorker(const PoolJob &Job, std::uint32_t Step,
                                            PlacementChooser &Chooser,
                                            const PoolPlacementRequest &Request,
                                            core::TimePoint Now) const;
  std::optional<std::pair<PeerIndex, std::size_t>> chooseRemote(PlacementChooser &Chooser,
                                                                const PoolPlacementRequest &Request,
                                                                core::TimePoint Now) const;
  /// What a task elsewhere costs beside its run time.
  double remoteMilliseconds(const RemotePool &Pool) const {
    return Settings_.RemotePenaltyMilliseconds + core::toMilliseconds(Pool.roundTrip());
  }
  WorkerAvailability availabilityOf(EndpointIndex Worker, core::TimePoint Now) const;
  bool exceedsWorkerBound(const PoolJob &Job, std::uint32_t Step, EndpointIndex Worker) const;
  void startOn(PoolJob &Job, std::uint32_t Task, EndpointIndex Worker, core::TimePoint Now);
  void flushDelegations(const PoolJob &Job, core::TimePoint Now);
  void surveySpeeds(core::TimePoint Now);
  /// Free processors of the worker with most of them, here or elsewhere.
  double mostFreeProcessors(core::TimePoint Now) const;
  static bool mayFit(const PoolJob &Job, double FreeProcessors);
  bool hasCapacityFor(const PoolJob &Job, core::TimePoint Now) const;
  template <typename Visitor>
  void visitCandidates(const PoolJob &Job, std::uint32_t Step, const PoolPlacementRequest &Request,
                       core::TimePoint Now, Visitor Visit) const;

  // PoolManagerStragglers.cpp: runs that are foreseen to end too late.
  void moveStragglers(core::TimePoint Now);
  void observeProgress(PoolJob &Job, core::TimePoint Now);
  void checkForStraggler(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void giveUpTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  std::optional<double> fastestRestart(const PoolJob &Job, std::uint32_t Step, EndpointIndex Except,
                                       double TypicalMilliseconds, core::TimePoint Now) const;

  // PoolManagerPeers.cpp: work for and by other managers.
  void acceptDelegated(PeerIndex From, const DelegateTasks &Message, core::TimePoint Now);
  void delegatedEnded(PeerIndex From, const DelegatedTaskEnded &Message, core::TimePoint Now);
  void stopDelegated(PeerIndex From, const StopDelegated &Message, core::TimePoint Now);
  void reportDelegatedEnd(PoolJob &Job, std::uint32_t Task, std::uint32_t Run, DelegatedEnd How,
                          std::string_view Worker);
  void requeueLostDelegations(core::TimePoint Now);
  void sendReports(core::TimePoint Now);
  /// Room of the listed workers, in the order of the directory.
  std::vector<WorkerAvailability> listedAvailability(core::TimePoint Now) const;
  void sendDirectory(PeerIndex Peer);

  void runEnded(EndpointIndex Worker, const Run &Ended, RunOutcome How,
                core::TimePoint Now) override;
  std::optional<std::string> specificationOf(const Run &NewRun) override;
  void availabilityIncreased(core::TimePoint Now) override;
  void learnFrom(EndpointIndex Worker, const PoolJob &Job, const Run &Ended, RunOutcome How,
                 core::TimePoint Now);
  void afterEvent(core::TimePoint Now);

  PoolSettings Settings_;
  PoolOutput &Output_;
  DecisionLog &Log_;
  WorkerFleet Fleet_;
  WorkerRatings Ratings_;
  JobKindRunTimes Kinds_;
  PoolCounters Counters_;
  std::unordered_map<JobHandle, PoolJob> Jobs_;
  std::unordered_map<JobKey, JobHandle> OwnJobs_;
  std::map<std::pair<PeerIndex, JobKey>, JobHandle> Delegations_;
  std::unordered_map<JobKey, AnsweredJob> Answered_;
  std::deque<JobKey> AnsweredOrder_;
  std::set<QueueKey> Queue_;
  std::unordered_map<JobHandle, QueueKey> QueueKeys_;
  std::map<PeerIndex, Remote> Remotes_;
  std::vector<WorkerEntry> Listed_;          ///< As in the directory sent to other managers.
  std::vector<EndpointIndex> ListedIndexes_; ///< Of Listed_, in its order.
  std::uint64_t DirectoryVersion_ = 0;
  std::uint64_t NextHandle_ = 1;
  double FastestSpeed_ = 1; ///< Of the open workers, as of the last round of placing.
  /// Mean run time over all workers, relative to that on a typical one. The objective of a job is
  /// stated for the workers as they are, not for those that are used most.
  double MeanSlowness_ = 1;
  double WaitingMilliseconds_ = 0; ///< Typical run time of all waiting tasks.
  PlacementRate PlacementRate_;
  core::TimePoint ReportAt_; ///< Earliest next report.
  bool NeedsDispatch_ = false;
  bool ReportIsDue_ = false;
  bool MayStart_ = true;
  core::TimePoint NextExpiry_;
  core::TimePoint NextStragglerCheck_;
};

/// Calls Visit with each place that has room for a task of the step now; the second argument is the
/// worker when it is one of this manager's own.
template <typename Visitor>
void PoolManager::visitCandidates(const PoolJob &Job, std::uint32_t Step,
                                  const PoolPlacementRequest &Request, core::TimePoint Now,
                                  Visitor Visit) const {
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    PlacementCandidate Candidate{&Fleet_.at(Index).Entry, availabilityOf(Index, Now), 0};
    if (isEligible(Request, Candidate) && !exceedsWorkerBound(Job, Step, Index))
      Visit(Candidate, std::optional(Index));
  }
  if (Job.IsDelegation)
    return;
  for (const auto &[Peer, Known] : Remotes_) {
    if (!Known.IsManager || !Known.Pool.takesTasks(Now))
      continue;
    for (const auto &Worker : Known.Pool.workers()) {
      PlacementCandidate Candidate{&Worker.Entry, Worker.Availability,
                                   remoteMilliseconds(Known.Pool)};
      if (isEligible(Request, Candidate))
        Visit(Candidate, std::optional<EndpointIndex>());
    }
  }
}

} // namespace cornellift::kernel
