#pragma once

#include "Kernel/Pool/AdmissionPlan.h"
#include "Kernel/Pool/ColdStart.h"
#include "Kernel/Pool/DataWait.h"
#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/JobKindRunTimes.h"
#include "Kernel/Pool/KindShares.h"
#include "Kernel/Pool/OverloadWatch.h"
#include "Kernel/Pool/PlacementExplanation.h"
#include "Kernel/Pool/PlacementRate.h"
#include "Kernel/Pool/PoolCounters.h"
#include "Kernel/Pool/PoolJob.h"
#include "Kernel/Pool/PoolOutput.h"
#include "Kernel/Pool/PoolPlacement.h"
#include "Kernel/Pool/PoolQueue.h"
#include "Kernel/Pool/RackDemand.h"
#include "Kernel/Pool/RecentJobs.h"
#include "Kernel/Pool/RemotePool.h"
#include "Kernel/Pool/ReturnTimes.h"
#include "Kernel/Pool/RoomForecast.h"
#include "Kernel/Pool/TokenSource.h"
#include "Kernel/Pool/WorkerFleet.h"
#include "Kernel/Pool/WorkerRatings.h"

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

struct PoolSettings {
  double RemoteFactor = 1; ///< Ratio of a task's run time away from its data to that near it.
  /// A task is delegated only if it is expected to end this much sooner at the other manager, in
  /// milliseconds and in addition to the round trip. Accounts for the risk of losing the link.
  double RemotePenaltyMilliseconds = 10;
  /// Limit on what open jobs take, in bytes and whichever process has accepted them; further ones
  /// are rejected.
  std::size_t JobBytes = std::numeric_limits<std::size_t>::max();
};

/// Runs the jobs that are submitted to this process on the workers that it manages, and on workers
/// of other managers that have free capacity.
///
/// A task never has two runs at the same time: it is started again only when its former run has
/// ended, never began, or has lost its lease for certain.
class PoolManager final : private RunListener {
public:
  PoolManager(const PoolSettings &Settings, PoolOutput &Output, TokenSource &Tokens,
              DecisionLog &Log);

  WorkerFleet &fleet() { return Fleet_; }
  const WorkerFleet &fleet() const { return Fleet_; }

  /// Sets the complete list of workers to manage.
  void setWorkers(std::span<const WorkerEntry> Entries, core::TimePoint Now);

  /// Sets the data centres in which nothing is started. Waiting jobs for which no other worker is
  /// known are rejected.
  void setEvacuated(const std::set<std::string> &DataCentres, core::TimePoint Now);

  void setRemoteFactor(double Factor) { Settings_.RemoteFactor = Factor; }
  /// Sets whether tasks may wait for room near their data.
  void setDataWaits(bool AreOn) { DataWaitPolicy_ = AreOn ? &ExpectedGain_ : nullptr; }
  /// Sets how they wait; null for never. The policy must outlive the manager.
  void setDataWaitPolicy(const DataWaitPolicy *Policy) { DataWaitPolicy_ = Policy; }

  /// Handles a message from a peer, or from this process as SelfPeer.
  void receive(PeerIndex From, const PoolMessage &Message, core::TimePoint Now);

  /// Cancels the job at a caller's request, for all who await it. A copy of it that arrives later
  /// gets the same answer and does not run. Returns whether the job was open here.
  bool cancel(JobKey Key, core::TimePoint Now);
  /// The same for a job that was cancelled while this process was not linked, or had not started.
  void cancelBelatedly(const CancelledJob &Cancelled, core::TimePoint Now);
  /// The cancellings that a process needs which was not linked when they were received.
  CancelledJobs recentlyCancelled(core::TimePoint Now) const;

  /// Sets whether the peer manages workers; such peers get this manager's directory and reports.
  void setManager(PeerIndex Peer, bool IsManager, core::TimePoint Now);
  /// Sets the round trip time to the peer.
  void setRoundTrip(PeerIndex Peer, core::Duration RoundTrip) {
    Remotes_[Peer].Pool.setRoundTrip(RoundTrip);
  }
  /// Records when the peer was last known to be alive: when it sent what was received, not when
  /// that was read.
  void peerHeard(PeerIndex Peer, core::TimePoint LastHeard) { HeardAt_[Peer] = LastHeard; }
  /// Handles the loss of a peer. LastHeard is when the peer was last known to be alive.
  void peerLost(PeerIndex Peer, core::TimePoint LastHeard, core::TimePoint Now);

  void startReplied(EndpointIndex Worker, const StartCommand &Command, const CommandReply &Reply,
                    core::TimePoint Now);
  void stopReplied(EndpointIndex Worker, const StopCommand &Command, const CommandReply &Reply,
                   core::TimePoint Now);
  void pollReplied(EndpointIndex Worker, const PollCommand &Command, const PollReply &Reply,
                   core::TimePoint Now);

  /// Does periodic work; to be called at least every 20 ms.
  void tick(core::TimePoint Now);

  /// Explains where the job would go if it arrived now. Nothing is queued, started, counted or
  /// learned by that. Speeds and wanted racks are those of the last dispatch.
  PlacementExplanation explainPlacement(const std::shared_ptr<const JobSubmission> &Submission,
                                        core::TimePoint Now) const;

  /// Number of jobs that have not ended, including delegations from other managers.
  std::size_t jobCount() const { return Jobs_.size(); }
  std::uint32_t waitingTasks() const;
  /// Number of jobs of which no task has started, by route.
  std::vector<RouteBacklog> backlog() const;
  const PoolCounters &counters() const { return Counters_; }
  /// Learned ratio of run times on cold workers to those on warm ones.
  double coldSlowdown() const { return Cold_.slowdown(); }
  /// Returns whether more work has arrived for some time than there is room for.
  bool isOverloaded() const { return Overload_.isOverloaded(); }

private:
  /// A run that was done on a worker of this manager.
  struct RecentRun {
    JobHandle Job{};
    core::TimePoint EndedAt;
    NeighbourRun Length;
  };

  /// A run that is being stopped to start it again on another worker.
  struct MovingRun {
    EndpointIndex From{};
    TaskRef Task;
    std::uint32_t Number = 0;
    Resources Need;
    std::string To; ///< Where there was room for it.
  };

  struct Remote {
    bool IsManager = false;
    RemotePool Pool;
    std::vector<DelegatedTask> Outgoing; ///< Tasks of the job being placed that go to this peer.
    /// Last reported availability of this manager's workers; empty after a new directory.
    std::vector<WorkerAvailability> LastReported;
  };

  /// A worker of this manager, or one of another manager.
  struct ChosenPlace {
    std::optional<EndpointIndex> Own; ///< Not used if AtPeer is set.
    /// The manager, and the worker's position in its report.
    std::optional<std::pair<PeerIndex, std::size_t>> AtPeer;
    double EndMilliseconds = 0; ///< Expected time until the task ends.
  };

  // PoolManagerJobs.cpp and PoolManagerQueue.cpp: the life cycle of jobs, and the queue.
  void submit(PeerIndex From, const std::shared_ptr<const JobSubmission> &Submission,
              core::TimePoint Now);
  /// Sends the answer that the job got earlier, if that is remembered.
  bool repeatAnswer(PeerIndex From, JobKey Key, core::TimePoint Now);
  bool attachToExisting(PeerIndex From, const std::shared_ptr<const JobSubmission> &Submission,
                        core::TimePoint Now);
  PoolJob &createJob(PeerIndex From, const std::shared_ptr<const JobSubmission> &Submission,
                     bool IsDelegation, core::TimePoint Now);
  /// The job's kind, which is added if it is new.
  static KindIndex kindOf(const JobSubmission &Submission, JobKindRunTimes &Kinds);
  /// Adds the steps and tasks of the job's submission, with their expected run times.
  static void addSteps(PoolJob &Job, const JobKindRunTimes &Kinds);
  /// Records that the job's tasks want the racks of their data.
  void wantRacks(const PoolJob &Job, RackDemand &Demand, core::TimePoint Now) const;
  void setDeadlines(PoolJob &Job) const;
  /// Rejects a job that only workers of evacuated data centres could run.
  static JobAnswer evacuatedAnswer();
  /// The rejection of a new job which nothing could serve while it is of use; empty if it may wait.
  std::optional<JobAnswer> rejectionFor(const PoolJob &Job, core::TimePoint Now);
  /// Returns whether the work ahead leaves no time for a job that arrives now.
  bool isCrowdedOut(const PoolJob &Job, const RoomForecast &Room, core::TimePoint Now) const;
  static void unblockSteps(PoolJob &Job);
  void finishTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void failTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void requeueTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void endJob(PoolJob &Job, JobAnswer Answer, core::TimePoint Now);
  void countEnded(JobVerdict Verdict);
  void stopTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  void removeIfInactive(JobHandle Handle, core::TimePoint Now);
  void abandon(PeerIndex From, JobKey Key, core::TimePoint Now);
  /// Ends the job for all who await it; returns whether it was open.
  bool endCancelled(JobKey Key, core::TimePoint Now);
  void expireJobs(core::TimePoint Now);
  /// Plans which waiting jobs are to be in time, puts the others behind them, and rejects those to
  /// which the plan leaves no time at all.
  void reviewWaitingJobs(core::TimePoint Now);
  /// Returns whether a step of the job needs workers of which all are in evacuated data centres.
  bool needsEvacuatedWorkers(const PoolJob &Job, core::TimePoint Now) const;
  /// Rejects the waiting jobs of which that is true and nothing has run.
  void rejectEvacuated(core::TimePoint Now);
  static bool couldRunOn(const WorkerEntry &Entry, const PoolJob &Job, std::uint32_t Step);
  /// Updates PoolJob::LacksWorkers now and then.
  void seekWorkers(PoolJob &Job, core::TimePoint Now) const;
  bool lacksWorkers(const PoolJob &Job) const;
  void enqueue(const PoolJob &Job, core::TimePoint Now);
  PoolQueue::Key placeInQueue(const PoolJob &Job, core::TimePoint Now) const;
  /// Latest start of the waiting tasks that meets the objective, on the fastest worker for jobs
  /// that have started or are below their floor.
  core::TimePoint inTimeUntil(const PoolJob &Job) const;
  WaitingJob waitingJob(const PoolJob &Job) const;
  /// Puts jobs that no worker could run behind all others, so that they keep none from being
  /// placed.
  void moveJobsWithoutWorkers(core::TimePoint Now);
  /// The jobs of the queue that wait for room anywhere.
  std::vector<WaitingJob> waitingJobs() const;
  /// Rejects a waiting job to which the plan leaves no time, unless a worker could take it now.
  void refuse(PoolJob &Job, const RoomForecast &Room, core::TimePoint Now);
  void observeOverload(const AdmissionPlan &Plan, const RoomForecast &Room, core::TimePoint Now);
  /// Counts the job among those of its kind that were, or were not, placed in time; once.
  void settle(PoolJob &Job, bool IsInTime, core::TimePoint Now);
  /// Time until the work ahead of the job has been placed, in milliseconds.
  double waitMilliseconds(const PoolJob &Job, const RoomForecast &Room, core::TimePoint Now) const;
  /// What the job's waiting tasks take of a typical worker, times the run time in milliseconds.
  double waitingWork(const PoolJob &Job) const;
  /// The same for all of its tasks.
  double totalWork(const PoolJob &Job) const;
  /// Work that the workers held now do per millisecond.
  double heldCapacity(core::TimePoint Now) const;
  RoomForecast forecastRoom(core::TimePoint Now) const;
  /// Time until all work that waits has been placed, in milliseconds; zero if no room is known.
  double backlogMilliseconds(const RoomForecast &Room) const;
  /// When a refused caller may come back, in milliseconds from now.
  double retryMilliseconds(const PoolJob &Job, const RoomForecast &Room, core::TimePoint Now);
  /// Expected run time of the job's longest waiting task on the fastest worker, in milliseconds.
  double shortestRunTime(const PoolJob &Job) const;
  PoolJob *find(JobHandle Handle);

  // PoolManagerPlacement.cpp: placement of tasks.
  void dispatch(core::TimePoint Now);
  /// Returns whether any task was placed.
  bool placeJob(PoolJob &Job, core::TimePoint Now);
  bool placeTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  PoolPlacementRequest placementRequestFor(const PoolJob &Job, std::uint32_t Step,
                                           core::TimePoint Now) const;
  std::optional<ChosenPlace> choosePlace(const PoolJob &Job, std::uint32_t Step,
                                         const PoolPlacementRequest &Request,
                                         core::TimePoint Now) const;
  std::optional<EndpointIndex> chooseWorker(const PoolJob &Job, std::uint32_t Step,
                                            PlacementChooser &Chooser,
                                            const PoolPlacementRequest &Request,
                                            core::TimePoint Now) const;
  std::optional<std::pair<PeerIndex, std::size_t>> chooseRemote(PlacementChooser &Chooser,
                                                                const PoolPlacementRequest &Request,
                                                                core::TimePoint Now) const;
  /// Expected delay of a task at another manager beyond its run time.
  double remoteMilliseconds(const RemotePool &Pool) const {
    return Settings_.RemotePenaltyMilliseconds + core::toMilliseconds(Pool.roundTrip());
  }
  WorkerAvailability availabilityOf(EndpointIndex Worker, core::TimePoint Now) const;
  /// Returns whether the worker may take no further task of the step: it has as many as the step
  /// allows, or one was moved from it.
  bool isExcluded(const PoolJob &Job, std::uint32_t Step, EndpointIndex Worker) const;
  void startOn(PoolJob &Job, std::uint32_t Task, EndpointIndex Worker, core::TimePoint Now);
  void flushDelegations(const PoolJob &Job, core::TimePoint Now);
  /// Ratio of run times on the worker now to those once it is warm.
  double slowdownOf(const WorkerEntry &Entry, core::TimePoint Now) const;
  /// Updates the highest and mean speeds and TypicalWorker_ by the workers that accept tasks.
  void updateFleetFigures(core::TimePoint Now);
  /// Largest number of free processors on any worker, here or at other managers; -1 if none accepts
  /// tasks.
  double mostFreeProcessors(core::TimePoint Now) const;
  static bool mayFit(const PoolJob &Job, double FreeProcessors);
  bool hasCapacityFor(const PoolJob &Job, core::TimePoint Now) const;
  template <typename Visitor>
  void visitCandidates(const PoolJob &Job, std::uint32_t Step, const PoolPlacementRequest &Request,
                       core::TimePoint Now, Visitor Visit) const;

  // PoolManagerDataWait.cpp: tasks that wait for room near their data.
  /// Returns whether the step's next task is to wait for room near its data, although it could
  /// start at the chosen place.
  bool waitsForData(PoolJob &Job, std::uint32_t Step, const PoolPlacementRequest &Request,
                    const ChosenPlace &Chosen, core::TimePoint Now);
  bool mayWaitForData(const PoolJob &Job, std::uint32_t Step) const;
  /// A place away from the data for a task that would miss its objective there, because this
  /// manager can tell that there is no room near the data soon; none that other tasks want.
  std::optional<ChosenPlace> lateAwayFromData(const PoolJob &Job, std::uint32_t Step,
                                              const PoolPlacementRequest &Request,
                                              core::TimePoint Now);
  std::optional<ChosenPlace> chooseLateAwayFromData(const PoolJob &Job, std::uint32_t Step,
                                                    PoolPlacementRequest Request,
                                                    core::TimePoint Now) const;
  /// Returns whether workers of the rack serve at other managers.
  bool isElsewhere(std::string_view Rack) const;
  const WorkerEntry &entryOf(const ChosenPlace &Chosen) const;
  /// Plans how many of the step's waiting tasks wait. EndMilliseconds is the expected end of one
  /// that starts elsewhere now.
  void planDataWait(PoolJob &Job, std::uint32_t Step, const PoolPlacementRequest &Request,
                    double EndMilliseconds, core::TimePoint Now);
  /// The timetable of the step's rack, as of this dispatch.
  RackTimetable &timetableFor(const PoolJob &Job, std::uint32_t Step, core::TimePoint Now);
  RackTimetable buildTimetable(const PoolJob &Job, std::uint32_t Step, core::TimePoint Now) const;
  DataWaitRequest dataWaitRequestFor(const PoolJob &Job, std::uint32_t Step,
                                     const PoolPlacementRequest &Request, double EndMilliseconds,
                                     double RackLoad) const;
  ExpectedRelease expectedRelease(const Run &Each, EndpointIndex Worker, core::TimePoint Now) const;
  /// Records that some of the waiting tasks wait no longer, without a start near their data.
  /// Outcome is the counter of that reason.
  void releaseFromWait(PoolJob &Job, std::uint32_t Step, std::uint32_t Tasks,
                       std::uint64_t PoolCounters::*Outcome, std::string_view Why,
                       core::TimePoint Now);
  /// Records that one of the waiting tasks starts near its data.
  void startsNearData(const PoolJob &Job, StepProgress &Progress, double EndMilliseconds,
                      core::TimePoint Now);
  void logWaitEnd(const PoolJob &Job, const StepProgress &Progress, std::string_view Why,
                  core::TimePoint Now);
  void endExpiredWaits(PoolJob &Job, core::TimePoint Now);
  /// Returns whether a job that only waits for room near its data has to be considered again.
  bool isPlanDue(const PoolJob &Job, core::TimePoint Now) const;
  /// Keeps the room for which the job waits from those after it in this dispatch.
  void keepRoom(const PoolJob &Job, core::TimePoint Now);
  /// The same for the step's tasks that wait for the rack.
  static void keepRoomIn(RackTimetable &Rack, const Resources &Need, const StepProgress &Progress,
                         core::TimePoint Now);
  /// Returns whether tasks wait because there is no room for them anywhere.
  bool hasWorkWithoutRoom() const;
  /// Updates FleetLoad_ and FleetProcessors_.
  void observeFleetLoad(core::TimePoint Now);
  /// DataWaitRequest::PlaceCost of a task with that need.
  double placeCost(const Resources &Need) const;
  /// Updates IsRackWanted_.
  void markWantedRacks(core::TimePoint Now);
  /// Returns whether other tasks want the worker's rack, but not this step.
  bool isRackWanted(EndpointIndex Worker, const JobStep &Step) const;

  // PoolManagerStragglers.cpp: runs that are expected to end too late, and jobs that are long.
  void moveStragglers(core::TimePoint Now);
  void observeProgress(PoolJob &Job, core::TimePoint Now);
  /// Run time of the task, extrapolated from the progress of one of its runs.
  ObservedRun observe(const PoolJob &Job, const Run &Running, EndpointIndex Worker) const;
  /// Run time of a run on its worker, if its task takes the given time on a typical one near its
  /// data.
  double millisecondsOn(EndpointIndex Worker, const PoolJob &Job, const Run &Running,
                        double TypicalMilliseconds) const;
  /// Ratio of the run time of the step's tasks there to that near their data.
  double awayFactor(const PoolJob &Job, std::uint32_t Step, EndpointIndex Worker) const;
  /// Expected time from the start of a run to its end on its worker.
  struct ExpectedLength {
    double Milliseconds = 0;
    double ErrorMilliseconds = 0; ///< Standard error.
  };
  /// From the run's progress. Before that says anything, from what the other runs of its step have
  /// shown (see RunPrognosis), else as expected at its start.
  ExpectedLength expectedLength(const PoolJob &Job, const Run &Running, EndpointIndex Worker) const;
  /// The step's runs whose length is known, or can be extrapolated.
  std::vector<ObservedRun> observedRuns(const PoolJob &Job, std::uint32_t Step) const;
  /// Runs of other jobs on the worker, with the last ones that have ended.
  std::vector<NeighbourRun> neighboursOn(EndpointIndex Worker, const PoolJob &Except,
                                         core::TimePoint Now) const;
  NeighbourRun neighbourOf(const PoolJob &Job, std::uint32_t Step, double Milliseconds) const;
  /// Keeps the length of a run that was done, as evidence about its job and its worker.
  void rememberRun(EndpointIndex Worker, PoolJob &Job, std::uint32_t Step,
                   double TypicalMilliseconds, core::TimePoint Now);
  RunPrognosis prognosisOf(const PoolJob &Job, std::uint32_t Step, const ObservedRun &Own,
                           std::span<const ObservedRun> Siblings, core::TimePoint Now) const;
  /// Moves the deadlines of a job that has shown to be longer than expected.
  void extendJob(PoolJob &Job, std::uint32_t Step, std::size_t Runs, core::TimePoint Now);
  void checkForStraggler(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  /// Stops the run, so that its task starts again elsewhere, if that serves the caller better.
  void moveRun(PoolJob &Job, std::uint32_t Task, const Run &Running, const RunPrognosis &Prognosis,
               double RemainingMilliseconds, core::TimePoint Now);
  /// Records that a late run stays where it is, because its job is long.
  void stayOnWorker(PoolJob &Job, std::uint32_t Task, const Run &Running,
                    const RunPrognosis &Prognosis, double RemainingMilliseconds);
  void giveUpTask(PoolJob &Job, std::uint32_t Task, core::TimePoint Now);
  /// Until when an answer can be of use.
  static core::TimePoint usefulLimit(const PoolJob &Job);
  std::optional<double> fastestRestart(const PoolJob &Job, std::uint32_t Step, EndpointIndex Except,
                                       double TypicalMilliseconds, core::TimePoint Now) const;

  // PoolManagerNotices.cpp: runs on workers that are about to leave.
  void moveNoticedRuns(core::TimePoint Now);
  void moveNoticedRun(EndpointIndex Worker, const Run &Running, core::TimePoint Now);
  /// A worker with room for another run of the step, besides the runs that are being moved.
  struct RestartPlace {
    std::string Worker;
    double Milliseconds = 0; ///< Until the new run is expected to end.
  };
  std::optional<RestartPlace> restartPlace(const PoolJob &Job, const PoolPlacementRequest &Request,
                                           const Run &Running, EndpointIndex Except,
                                           core::TimePoint Now) const;
  /// Subtracts the room that runs which are being moved are to take.
  void subtractMoving(PlacementCandidate &Candidate) const;

  // PoolManagerWhere.cpp: where a job would go.
  AdmissionOutlook admissionOf(const PoolJob &Job, core::TimePoint Now) const;
  StepExplanation explainStep(const PoolJob &Job, std::uint32_t Step, const RackDemand &Demand,
                              core::TimePoint Now) const;
  /// Lists the workers that could take the step's first waiting task, and counts the others.
  void surveyWorkers(const PoolJob &Job, std::uint32_t Step, const PoolPlacementRequest &Request,
                     const WorkerEntry *Chosen, StepExplanation &Result) const;
  DataWaitOutlook explainWait(const PoolJob &Job, std::uint32_t Step,
                              const std::optional<ChosenPlace> &Chosen, const RackDemand &Demand,
                              RackTimetable &Rack, core::TimePoint Now) const;
  /// Takes the room that waiting jobs are to get in the timetable of the step's rack.
  void keepRoomOfWaitingJobs(const PoolJob &Job, std::uint32_t Step, RackTimetable &Rack,
                             core::TimePoint Now) const;

  // PoolManagerPeers.cpp: work delegated to and by other managers.
  void acceptDelegated(PeerIndex From, const DelegateTasks &Message, core::TimePoint Now);
  /// Refuses all tasks of a delegation for which there is no memory; the other manager keeps them.
  void refuseDelegated(PeerIndex From, const DelegateTasks &Message);
  void delegatedEnded(PeerIndex From, const DelegatedTaskEnded &Message, core::TimePoint Now);
  void stopDelegated(PeerIndex From, const StopDelegated &Message, core::TimePoint Now);
  void reportDelegatedEnd(PoolJob &Job, std::uint32_t Task, std::uint32_t Run, DelegatedEnd How,
                          std::string_view Worker);
  void requeueLostDelegations(core::TimePoint Now);
  void sendReports(core::TimePoint Now);
  /// Returns whether other managers may delegate tasks to this one as far as memory goes.
  bool hasMemoryForDelegations() const;
  void setJobBytes(std::size_t Bytes);
  /// Availability of the listed workers for other managers, in the order of the directory.
  std::vector<WorkerAvailability> listedAvailability(core::TimePoint Now) const;
  void sendDirectory(PeerIndex Peer);

  void runEnded(EndpointIndex Worker, const Run &Ended, RunOutcome How,
                core::TimePoint Now) override;
  std::optional<std::string> specificationOf(const Run &Started) override;
  bool mayRunOn(const WorkerEntry &Entry, const Run &Each) const override;
  std::optional<core::TimePoint> leaseLimitOf(const Run &Each) const override;
  void availabilityIncreased(core::TimePoint Now) override;
  void recordOutcome(EndpointIndex Worker, PoolJob &Job, const Run &Ended, RunOutcome How,
                     core::TimePoint Now);
  /// Updates the speed of the worker and the run times of the kind by a run that was done.
  void learnFromRun(EndpointIndex Worker, PoolJob &Job, const Run &Ended, core::TimePoint Now);
  void afterEvent(core::TimePoint Now);

  PoolSettings Settings_;
  PoolOutput &Output_;
  DecisionLog &Log_;
  WorkerFleet Fleet_;
  WorkerRatings Ratings_;
  ColdStart Cold_;
  JobKindRunTimes Kinds_;
  PoolCounters Counters_;
  std::unordered_map<JobHandle, PoolJob> Jobs_;
  std::size_t JobBytes_ = 0; ///< Sum of JobSubmission::memory() over Jobs_; see setJobBytes().
  std::unordered_map<JobKey, JobHandle> OwnJobs_;
  std::map<std::pair<PeerIndex, JobKey>, JobHandle> Delegations_;
  std::unordered_map<EndpointIndex, std::vector<RecentRun>> RecentRuns_; ///< By worker.
  RecentJobs<JobAnswer> Answered_;
  RecentJobs<JobAnswer> Cancelled_;
  PoolQueue Queue_;
  std::map<PeerIndex, Remote> Remotes_;
  std::unordered_map<PeerIndex, core::TimePoint> HeardAt_; ///< When each peer was last alive.
  std::vector<WorkerEntry> Listed_;          ///< As in the directory that other managers get.
  std::vector<EndpointIndex> ListedIndexes_; ///< Indexes of Listed_, in the same order.
  std::uint64_t DirectoryVersion_ = 0;
  std::uint64_t NextHandle_ = 1;
  /// Highest speed of the workers that accept tasks, as of the last dispatch.
  double FastestSpeed_ = 1;
  /// The same for the speeds that cold workers have now.
  double FastestSpeedNow_ = 1;
  /// Mean run time over all workers, relative to that on a typical worker. The objective of a job
  /// is defined for the average worker, not for those that are used most.
  double MeanSlowness_ = 1;
  TypicalWorker TypicalWorker_;
  PlacementRate PlacementRate_;
  std::set<std::string> EvacuatedDataCentres_;
  ExpectedGainPolicy ExpectedGain_;
  const DataWaitPolicy *DataWaitPolicy_ = &ExpectedGain_;
  RackDemand RackDemand_;
  std::vector<bool> IsRackWanted_; ///< By worker, as of the last dispatch.
  /// By rack, service and required label; of the current dispatch.
  std::map<std::tuple<std::string, std::string, std::string>, RackTimetable> Timetables_;
  std::uint64_t DispatchNumber_ = 0;
  /// When this manager got its first workers, or last began to get those of another one.
  core::TimePoint WorkersFoundAt_;
  std::vector<EndpointIndex> EndedOn_; ///< Workers with ended runs since the last dispatch.
  double FleetLoad_ = 0;               ///< Recent mean share of the processors in use.
  core::TimePoint FleetLoadAt_;        ///< Last update of FleetLoad_.
  double FleetProcessors_ = 0;         ///< Of the workers that accept tasks.
  LastingRate Inflow_;                 ///< Of the work of new jobs.
  KindShares Shares_;
  ReturnTimes ReturnTimes_;
  OverloadWatch Overload_;
  double WaitingWork_ = 0;   ///< As of the last review, and of jobs that came since.
  core::TimePoint ReportAt_; ///< Earliest time of the next report.
  bool NeedsDispatch_ = false;
  bool ReportIsDue_ = false;
  core::TimePoint NextEvacuationCheck_;
  core::TimePoint NextExpiry_;
  core::TimePoint NextStragglerCheck_;
  std::vector<MovingRun> Moving_; ///< From workers that are about to leave.
};

/// Calls Visit with each worker that could run a task of the step now. The second argument is the
/// worker's index if it is one of this manager's own.
template <typename Visitor>
void PoolManager::visitCandidates(const PoolJob &Job, std::uint32_t Step,
                                  const PoolPlacementRequest &Request, core::TimePoint Now,
                                  Visitor Visit) const {
  for (std::size_t Position = 0; Position < Fleet_.size(); ++Position) {
    auto Index = static_cast<EndpointIndex>(Position);
    PlacementCandidate Candidate{&Fleet_.at(Index).Entry, availabilityOf(Index, Now), 0};
    if (isEligible(Request, Candidate) && !isExcluded(Job, Step, Index))
      Visit(Candidate, std::optional(Index));
  }
  if (Job.IsDelegation)
    return;
  for (const auto &[Peer, Known] : Remotes_) {
    if (!Known.IsManager || !Known.Pool.acceptsTasks(Now))
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
