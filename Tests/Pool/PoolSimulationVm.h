#pragma once

#include "Tests/Pool/PoolSimulation.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornellift::test {

constexpr core::Duration OneWayDelay = std::chrono::microseconds(500);
constexpr core::Duration TickTime = std::chrono::milliseconds(10);
constexpr core::Duration PeerTimeout = std::chrono::milliseconds(600);
constexpr core::Duration ResendDelay = std::chrono::milliseconds(1300);

/// A simulated caller and its job.
struct PoolSimulation::Caller {
  std::shared_ptr<JobSubmission> Submission;
  std::size_t DataCentre = 0;
  std::optional<std::size_t> At; ///< VM that has the job.
  std::uint64_t Attempt = 0;
  core::TimePoint SentAt;
  core::TimePoint AnsweredAt;
  std::optional<JobAnswer> Answer;
  bool AllRejected = true;
  std::vector<core::TimePoint> CompletedAt;
};

/// A simulated entry process: a manager, the election, and the submission of callers' jobs.
class PoolSimulation::Vm final : private PoolOutput {
public:
  Vm(PoolSimulation &Simulation, std::size_t Index, std::string DataCentre)
      : Simulation_(Simulation), Index_(Index), DataCentre_(std::move(DataCentre)),
        Log_(Simulation.Now_, "vm" + std::to_string(Index)), Election_(self(), Simulation.Now_),
        Manager_({Simulation.Settings_.RemoteFactor, 2}, *this, Tokens_, Log_) {
    Manager_.setDataWaitPolicy(Simulation.Settings_.DataWaits);
    std::set<std::string> All;
    for (std::size_t Each = 0; Each < Simulation.Settings_.DataCentres; ++Each)
      All.insert("dc" + std::to_string(Each));
    Election_.setDataCentres(All);
    readStore();
    Tokens_.observeRevision(Simulation.Revision_);
  }

  bool isRunning() const { return Simulation_.Now_ >= FrozenUntil_; }
  bool isStopping() const { return IsStopping_; }
  std::uint64_t incarnationNumber() const { return IncarnationNumber_; }
  bool isDone() const {
    return IsStopping_ && Manager_.jobCount() == 0 && Election_.managed().empty() &&
           Election_.releasing().empty() && Open_.empty();
  }

  void tick() {
    auto Now = Simulation_.Now_;
    for (const auto &[Other, Peer] : PeerOf_)
      Manager_.peerHeard(Peer, Simulation_.lastHeard(Index_, Other));
    readStore();
    applyElection();
    Manager_.tick(Now);
    for (auto Entry = Open_.begin(); Entry != Open_.end();) {
      bool IsOverdue = Now >= Entry->second.Submission->AnswerBy;
      if (!Entry->second.Manager && Now > Entry->second.Since + std::chrono::milliseconds(300)) {
        Simulation_.callerAnswered(Index_, Entry->first, {JobVerdict::Rejected, "no manager", 500});
        Entry = Open_.erase(Entry);
      } else if (IsOverdue) {
        if (Entry->second.Manager)
          send(*Entry->second.Manager, AbandonJob{Entry->first});
        Simulation_.callerAnswered(Index_, Entry->first, {JobVerdict::GivenUp, "overdue", 0});
        Entry = Open_.erase(Entry);
      } else {
        ++Entry;
      }
    }
    sendHeartbeat();
  }

  void accept(const std::shared_ptr<const JobSubmission> &Submission) {
    Open_[Submission->Key] = {Submission, std::nullopt, Simulation_.Now_};
    submitToManager();
  }
  void callerLeft(JobKey Key) {
    auto Known = Open_.find(Key);
    if (Known == Open_.end())
      return;
    if (Known->second.Manager)
      send(*Known->second.Manager, AbandonJob{Key});
    Open_.erase(Known);
  }

  /// Handles a caller's request to cancel a job: all linked VMs are told.
  void cancel(JobKey Key) {
    cancelHere(Key);
    for (const auto &[Other, Peer] : PeerOf_)
      deliver(Other, [Key](Vm &Receiver, PeerIndex) { Receiver.cancelHere(Key); });
  }

  void peerUp(std::size_t Other) { PeerOf_[Other] = static_cast<PeerIndex>(NextPeer_++); }
  /// Tells another VM, to which a link has come up, of the jobs that were cancelled.
  void tellCancelled(std::size_t Other) {
    deliver(Other,
            [Message = Manager_.recentlyCancelled(Simulation_.Now_)](Vm &Receiver, PeerIndex) {
              for (const auto &Each : Message.Jobs)
                Receiver.cancelBelatedly(Each);
            });
  }
  bool isLinkedTo(std::size_t Other) const { return PeerOf_.contains(Other); }
  void peerDown(std::size_t Other, bool HasEnded) {
    auto Known = PeerOf_.find(Other);
    if (Known == PeerOf_.end())
      return;
    auto Peer = Known->second;
    PeerOf_.erase(Known);
    Claims_.forgetReleases(Peer);
    Election_.peerLost(Peer, HasEnded, Simulation_.Now_);
    Manager_.peerLost(Peer, Simulation_.lastHeard(Index_, Other), Simulation_.Now_);
    for (auto Entry = Open_.begin(); Entry != Open_.end();) {
      if (Entry->second.Manager != Peer) {
        ++Entry;
        continue;
      }
      Simulation_.callerAnswered(Index_, Entry->first, {JobVerdict::GivenUp, "manager lost", 0});
      Entry = Open_.erase(Entry);
    }
    applyElection();
  }

  void stopGracefully() {
    IsStopping_ = true;
    Election_.setStopping();
    applyElection();
  }
  void freezeUntil(core::TimePoint Until) { FrozenUntil_ = std::max(FrozenUntil_, Until); }
  core::TimePoint frozenUntil() const { return FrozenUntil_; }

  bool holds(const std::string &WorkerId) const {
    for (std::size_t Each = 0; Each < Manager_.fleet().size(); ++Each) {
      const auto &Known = Manager_.fleet().at(static_cast<EndpointIndex>(Each));
      if (Known.Entry.Id == WorkerId && Known.Lease == LeaseState::Held)
        return true;
    }
    return false;
  }

private:
  struct OpenJob {
    std::shared_ptr<const JobSubmission> Submission;
    std::optional<PeerIndex> Manager;
    core::TimePoint Since;
  };

  void cancelHere(JobKey Key) {
    if (Open_.erase(Key) > 0)
      Simulation_.callerAnswered(Index_, Key, {JobVerdict::Cancelled, {}, 0});
    Manager_.cancel(Key, Simulation_.Now_);
  }

  void cancelBelatedly(const CancelledJob &Cancelled) {
    if (Open_.erase(Cancelled.Job) > 0)
      Simulation_.callerAnswered(Index_, Cancelled.Job, {JobVerdict::Cancelled, {}, 0});
    Manager_.cancelBelatedly(Cancelled, Simulation_.Now_);
  }

  CandidateState self() const {
    CandidateState State;
    State.Vm = "vm" + std::to_string(Index_);
    State.DataCentre = DataCentre_;
    return State;
  }

  void sendHeartbeat() {
    if (Simulation_.Now_ < NextHeartbeatAt_)
      return;
    NextHeartbeatAt_ = Simulation_.Now_ + std::chrono::milliseconds(100);
    auto State = self();
    State.IsReady = Evacuations_.isKnown();
    State.IsStopping = IsStopping_;
    State.Managed = Election_.managed();
    State.Releasing = Election_.releasing();
    State.Seen = Election_.seen();
    bool TakesPart = !State.Managed.empty() || !State.Releasing.empty() || Manager_.jobCount() > 0;
    auto Token = Tokens_.highest();
    for (const auto &[Other, Peer] : PeerOf_)
      deliver(Other, [State, TakesPart, Token, Evacuated = Evacuations_.state()](Vm &Receiver,
                                                                                 PeerIndex From) {
        Receiver.learnEvacuations(Evacuated);
        Receiver.heartbeatReceived(From, State, TakesPart, Token);
      });
  }

  /// Reads the operators' keys, at the interval of their watch.
  void readStore() {
    constexpr core::Duration WatchInterval = std::chrono::milliseconds(600);
    if (Simulation_.Now_ < NextReadAt_ || Simulation_.Now_ < Simulation_.StoreCutUntil_[Index_])
      return;
    NextReadAt_ = Simulation_.Now_ + WatchInterval;
    learnEvacuations({Simulation_.Revision_, Simulation_.Evacuated_});
  }

  void learnEvacuations(const EvacuationState &Told) {
    if (!Evacuations_.learn(Told, Simulation_.Now_).empty())
      Manager_.setEvacuated(Evacuations_.state().DataCentres, Simulation_.Now_);
    Election_.setReady(Evacuations_.isKnown());
  }

  void heartbeatReceived(PeerIndex From, const CandidateState &State, bool TakesPart,
                         std::uint64_t Token) {
    Election_.peerChanged(From, State, Simulation_.Now_);
    Tokens_.observe(Token);
    Manager_.setManager(From, TakesPart, Simulation_.Now_);
    applyElection();
    if (State.Releasing.empty())
      Claims_.forgetReleases(From);
  }

  /// Runs an action on another VM after a delay, if their session still exists by then.
  void deliver(std::size_t Other, std::function<void(Vm &, PeerIndex)> Callback) {
    auto Self = Index_;
    auto *Simulation = &Simulation_;
    auto SenderSession = PeerOf_.at(Other);
    auto *Known = Simulation->Vms_[Other].get();
    auto ReceiverSession = Known && Known->isLinkedTo(Self) ? Known->PeerOf_.at(Self) : SelfPeer;
    Simulation->after(OneWayDelay, [Simulation, Self, Other, SenderSession, ReceiverSession,
                                    Callback = std::move(Callback)] {
      auto *Sender = Simulation->Vms_[Self].get();
      if (ReceiverSession == SelfPeer || !Sender || !Sender->isLinkedTo(Other) ||
          Sender->PeerOf_.at(Other) != SenderSession)
        return;
      auto Arrive = [Simulation, Self, Other, ReceiverSession, Callback](auto &Again) -> void {
        auto *Target = Simulation->Vms_[Other].get();
        if (!Target || !Target->isLinkedTo(Self) || Target->PeerOf_.at(Self) != ReceiverSession ||
            Simulation->isTimedOut(Self, Other))
          return;
        if (!Target->isRunning() || !Simulation->isConnected(Self, Other))
          return Simulation->after(std::chrono::milliseconds(5), [Again] { Again(Again); });
        Callback(*Target, Target->PeerOf_.at(Self));
      };
      Arrive(Arrive);
    });
  }

  void applyElection() {
    auto Now = Simulation_.Now_;
    Election_.setOthersExist(Simulation_.Vms_.size() > 1);
    auto Changes = Election_.evaluate(Now);
    for (const auto &Begun : Changes.Begun) {
      Claims_.begin(Begun);
      ListedFrom_[Begun.DataCentre] = Now + Simulation_.Settings_.FreshListingTime;
    }
    for (const auto &Stopped : Changes.Stopped) {
      Successors_[Stopped.DataCentre] = Stopped.Successor;
      Claims_.end(Stopped.DataCentre);
    }
    listWorkers();
    for (const auto &Claim : Changes.Claims) {
      Claims_.claimRemaining(Claim.DataCentre, Claim.ClaimAt);
      for (const auto &Worker : Simulation_.Workers_)
        if (Worker->entry().DataCentre == Claim.DataCentre)
          Manager_.fleet().deferClaim(Worker->entry().Id, Claim.ClaimAt, Simulation_.Now_);
    }
    tellSuccessors();
    submitToManager();
    reportReleased();
  }

  void tellSuccessors() {
    for (const auto &DataCentre : Election_.releasing()) {
      auto Manager = Election_.managerAmongPeers(DataCentre);
      if (!Manager || Election_.isManagerOf(Successors_[DataCentre], DataCentre))
        continue;
      Successors_[DataCentre] = *Manager;
      if (auto Ids = Manager_.fleet().releasedIn(DataCentre); !Ids.empty())
        send(*Manager, ReleaseWorkers{std::move(Ids)});
    }
  }

  void listWorkers() {
    std::vector<WorkerEntry> Entries;
    for (const auto &Entry : Simulation_.Published_)
      if (Election_.managed().contains(Entry.DataCentre) && !Simulation_.Left_.contains(Entry.Id) &&
          Simulation_.Now_ >= ListedFrom_[Entry.DataCentre]) {
        Entries.push_back(Entry);
        auto ClaimAt = Claims_.claimAt(Entry.DataCentre, Entry.Id);
        if (ClaimAt && *ClaimAt > Simulation_.Now_)
          Manager_.fleet().deferClaim(Entry.Id, *ClaimAt, Simulation_.Now_);
      }
    Manager_.setWorkers(Entries, Simulation_.Now_);
  }

  void reportReleased() {
    auto Releasing = Election_.releasing();
    for (const auto &DataCentre : Releasing) {
      bool IsHeld = false;
      for (std::size_t Each = 0; Each < Manager_.fleet().size(); ++Each) {
        const auto &Known = Manager_.fleet().at(static_cast<EndpointIndex>(Each));
        IsHeld =
            IsHeld || (Known.Entry.DataCentre == DataCentre && Known.Lease != LeaseState::Absent);
      }
      if (!IsHeld)
        Election_.released(DataCentre);
    }
  }

  void submitToManager() {
    auto Assigned = Election_.assignedManager();
    if (!Assigned)
      return;
    for (auto &[Key, Job] : Open_)
      if (!Job.Manager) {
        Job.Manager = Assigned;
        send(*Assigned, SubmitToPool{Job.Submission});
      }
  }

  void receive(PeerIndex From, const PoolMessage &Message) {
    auto Now = Simulation_.Now_;
    if (const auto *Answer = std::get_if<PoolAnswer>(&Message)) {
      if (Open_.erase(Answer->Job) > 0)
        Simulation_.callerAnswered(Index_, Answer->Job, Answer->Answer);
      return;
    }
    if (const auto *Release = std::get_if<ReleaseWorkers>(&Message)) {
      for (const auto &Id : Release->Ids) {
        Claims_.released(From, Id);
        auto ClaimAt = Claims_.claimAt(Simulation_.dataCentreOf(Id), Id);
        if (ClaimAt && *ClaimAt > Now)
          Manager_.fleet().deferClaim(Id, *ClaimAt, Simulation_.Now_);
        else
          Manager_.fleet().claimNow(Id, Now);
      }
      return;
    }
    Manager_.receive(From, Message, Now);
  }

  // PoolOutput
  void workerAddressChanged(EndpointIndex Worker, const WorkerEntry &Entry) override {
    auto Position = static_cast<std::size_t>(Worker);
    if (Position >= Targets_.size())
      Targets_.resize(Position + 1);
    for (std::size_t Each = 0; Each < Simulation_.Workers_.size(); ++Each)
      if (Simulation_.Workers_[Each]->entry().Id == Entry.Id)
        Targets_[Position] = Each;
  }
  void workerDropped(EndpointIndex Worker) override {
    const auto &Entry = Manager_.fleet().at(Worker).Entry;
    auto Successor = Successors_.find(Entry.DataCentre);
    if (Successor != Successors_.end())
      send(Successor->second, ReleaseWorkers{{Entry.Id}});
  }

  /// Calls a worker. The reply arrives unless the connection is cut or the answer is lost.
  template <typename Reply>
  void call(EndpointIndex Worker, core::Duration Timeout,
            std::function<Reply(standin::WorkerModel &, core::TimePoint)> Execute,
            std::function<void(Vm &, const Reply &)> OnReply, bool MayBeLate) {
    auto Target = Targets_[static_cast<std::size_t>(Worker)];
    auto IncarnationNumber = IncarnationNumber_;
    auto Self = Index_;
    auto *Simulation = &Simulation_;
    bool IsLate = MayBeLate && Simulation->randomShare() < Simulation->Settings_.LateCommandShare;
    bool IsAnswerLost = Simulation->randomShare() < Simulation->Settings_.LostAnswerShare;
    auto Answered = std::make_shared<bool>(false);
    auto Respond = [Simulation, Self, IncarnationNumber, Answered, OnReply](const Reply &Content) {
      auto *Caller = Simulation->Vms_[Self].get();
      if (!Caller || Caller->IncarnationNumber_ != IncarnationNumber || *Answered)
        return;
      *Answered = true;
      if (Caller->isRunning())
        return OnReply(*Caller, Content);
      Simulation->at(Caller->frozenUntil(),
                     [Simulation, Self, IncarnationNumber, OnReply, Content] {
                       auto *Resumed = Simulation->Vms_[Self].get();
                       if (Resumed && Resumed->IncarnationNumber_ == IncarnationNumber)
                         OnReply(*Resumed, Content);
                     });
    };
    Simulation->after(Timeout, [Respond] {
      Reply None;
      None.Verdict = CommandVerdict::NoReply;
      Respond(None);
    });
    auto Delay =
        IsLate ? std::chrono::milliseconds(2000 + Simulation->Random_() % 10000) : OneWayDelay;
    // Whichever incarnation the worker has by then carries the command out.
    Simulation->after(Delay, [Simulation, Self, Target, Execute, Respond, IsLate, IsAnswerLost] {
      if (Simulation->CutWorkers_[{Self, Target}] > Simulation->Now_ && !IsLate)
        return;
      auto Content = Execute(*Simulation->Workers_[Target], Simulation->Now_);
      if (!IsLate && !IsAnswerLost)
        Simulation->after(OneWayDelay, [Respond, Content] { Respond(Content); });
    });
  }

  void poll(EndpointIndex Worker, const PollCommand &Command) override {
    auto Target = Targets_[static_cast<std::size_t>(Worker)];
    auto Wait = std::chrono::milliseconds(Command.WaitMilliseconds);
    auto *Simulation = &Simulation_;
    auto Self = Index_;
    auto IncarnationNumber = IncarnationNumber_;
    auto Answered = std::make_shared<bool>(false);
    bool IsLost = Simulation->randomShare() < Simulation->Settings_.LostAnswerShare;
    bool IsLate = Simulation->randomShare() < Simulation->Settings_.LatePollShare;
    auto Respond = [Simulation, Self, IncarnationNumber, Worker, Command,
                    Answered](const PollReply &Content) {
      auto *Caller = Simulation->Vms_[Self].get();
      if (!Caller || Caller->IncarnationNumber_ != IncarnationNumber || *Answered)
        return;
      *Answered = true;
      auto Callback = [Simulation, Self, IncarnationNumber, Worker, Command, Content] {
        auto *Resumed = Simulation->Vms_[Self].get();
        if (Resumed && Resumed->IncarnationNumber_ == IncarnationNumber)
          Resumed->Manager_.pollReplied(Worker, Command, Content, Simulation->Now_);
      };
      if (Caller->isRunning())
        return Callback();
      Simulation->at(Caller->frozenUntil(), Callback);
    };
    Simulation->after(Wait + PollReplyMargin, [Respond] {
      Respond({CommandVerdict::NoReply, std::nullopt});
    });
    if (IsLate) {
      Simulation->after(std::chrono::milliseconds(2000 + Simulation->Random_() % 10000),
                        [Simulation, Target, Command] {
                          Simulation->Workers_[Target]->poll(Command, Simulation->Now_);
                        });
      return;
    }
    auto Deadline = Simulation->Now_ + OneWayDelay + Wait;
    auto Poll = [Simulation, Self, Target, Command, Deadline, Respond,
                 IsLost](auto &Again) -> void {
      if (Simulation->CutWorkers_[{Self, Target}] > Simulation->Now_ ||
          Simulation->SilentPolls_[Target] > Simulation->Now_)
        return;
      auto &Model = *Simulation->Workers_[Target];
      // The lease is extended on arrival, while the reply waits for an end.
      auto Content = Model.poll(Command, Simulation->Now_);
      bool IsDue = Simulation->Now_ >= Deadline || Model.hasEndAfter(Command.LastSeen) ||
                   Content.Verdict != CommandVerdict::Accepted;
      if (!IsDue)
        return Simulation->after(std::chrono::milliseconds(3), [Again] { Again(Again); });
      if (!IsLost)
        Simulation->after(OneWayDelay, [Respond, Content] { Respond(Content); });
    };
    Simulation->after(OneWayDelay, [Poll] { Poll(Poll); });
  }

  void start(EndpointIndex Worker, const StartCommand &Command) override {
    call<CommandReply>(
        Worker, CommandTimeout,
        [Command](standin::WorkerModel &Model, core::TimePoint Now) {
          return Model.start(Command, Now);
        },
        [Worker, Command](Vm &Self, const CommandReply &Reply) {
          Self.Manager_.startReplied(Worker, Command, Reply, Self.Simulation_.Now_);
        },
        true);
  }

  void stop(EndpointIndex Worker, const StopCommand &Command) override {
    call<CommandReply>(
        Worker, CommandTimeout,
        [Command](standin::WorkerModel &Model, core::TimePoint Now) {
          return Model.stop(Command, Now);
        },
        [Worker, Command](Vm &Self, const CommandReply &Reply) {
          Self.Manager_.stopReplied(Worker, Command, Reply, Self.Simulation_.Now_);
        },
        true);
  }

  void send(PeerIndex Peer, PoolMessage Message) override {
    if (Peer == SelfPeer) {
      auto Self = Index_;
      auto IncarnationNumber = IncarnationNumber_;
      auto *Simulation = &Simulation_;
      Simulation->at(Simulation->Now_,
                     [Simulation, Self, IncarnationNumber, Message = std::move(Message)] {
                       auto *Receiver = Simulation->Vms_[Self].get();
                       if (Receiver && Receiver->IncarnationNumber_ == IncarnationNumber)
                         Receiver->receive(SelfPeer, Message);
                     });
      return;
    }
    for (const auto &[Other, Index] : PeerOf_)
      if (Index == Peer)
        return deliver(
            Other, [Message](Vm &Receiver, PeerIndex From) { Receiver.receive(From, Message); });
  }

  PoolSimulation &Simulation_;
  std::size_t Index_;
  std::string DataCentre_;
  std::uint64_t IncarnationNumber_ = Simulation_.Random_();
  TraceLog Log_;
  TokenSource Tokens_;
  PoolElection Election_;
  Evacuations Evacuations_;
  core::TimePoint NextReadAt_; ///< Of the store.
  PoolManager Manager_;
  std::map<std::size_t, PeerIndex> PeerOf_;
  std::uint32_t NextPeer_ = 1;
  std::map<JobKey, OpenJob> Open_;
  ClaimSchedule Claims_;
  std::map<std::string, core::TimePoint> ListedFrom_; ///< By managed data centre.
  std::map<std::string, PeerIndex> Successors_;
  std::vector<std::size_t> Targets_;
  core::TimePoint NextHeartbeatAt_;
  core::TimePoint FrozenUntil_;
  bool IsStopping_ = false;
};

} // namespace cornellift::test
