#pragma once

#include "Tests/Pool/PoolWorld.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornellift::test {

constexpr core::Duration Hop = std::chrono::microseconds(500);
constexpr core::Duration TickTime = std::chrono::milliseconds(10);
constexpr core::Duration SilenceTime = std::chrono::milliseconds(600);
constexpr core::Duration ResendTime = std::chrono::milliseconds(1300);
constexpr core::Duration OrderTime = std::chrono::milliseconds(110);
constexpr core::Duration LookSlack = std::chrono::milliseconds(150);
constexpr core::Duration CallerPatience = std::chrono::seconds(4);

/// A simulated caller and its job.
struct PoolWorld::Caller {
  std::shared_ptr<JobOrder> Order;
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
class PoolWorld::Vm final : private PoolOutput {
public:
  Vm(PoolWorld &World, std::size_t Index, std::string DataCentre)
      : World_(World), Index_(Index), DataCentre_(std::move(DataCentre)),
        Log_(World.Now_, "vm" + std::to_string(Index)), Election_(self(), World.Now_),
        Manager_({1.5, 2}, *this, Tokens_, Log_) {
    std::set<std::string> All;
    for (std::size_t Each = 0; Each < World.Settings_.DataCentres; ++Each)
      All.insert("dc" + std::to_string(Each));
    Election_.setDataCentres(All);
    Election_.setReady(true);
    Tokens_.observeRevision(World.Revision_);
  }

  bool isRunning() const { return World_.Now_ >= FrozenUntil_; }
  bool isStopping() const { return IsStopping_; }
  std::uint64_t life() const { return Life_; }
  bool isDone() const {
    return IsStopping_ && Manager_.jobCount() == 0 && Election_.managed().empty() &&
           Election_.releasing().empty() && Open_.empty();
  }

  void tick() {
    auto Now = World_.Now_;
    applyElection();
    Manager_.tick(Now);
    for (auto Entry = Open_.begin(); Entry != Open_.end();) {
      bool IsOverdue = Now >= Entry->second.Order->AnswerBy;
      if (!Entry->second.Manager && Now > Entry->second.Since + std::chrono::milliseconds(300)) {
        World_.callerAnswered(Index_, Entry->first, {JobVerdict::Rejected, "no manager", 500});
        Entry = Open_.erase(Entry);
      } else if (IsOverdue) {
        if (Entry->second.Manager)
          send(*Entry->second.Manager, AbandonJob{Entry->first});
        World_.callerAnswered(Index_, Entry->first, {JobVerdict::GivenUp, "overdue", 0});
        Entry = Open_.erase(Entry);
      } else {
        ++Entry;
      }
    }
    beat();
  }

  void take(const std::shared_ptr<const JobOrder> &Order) {
    Open_[Order->Key] = {Order, std::nullopt, World_.Now_};
    handOver();
  }
  void callerLeft(JobKey Key) {
    auto Known = Open_.find(Key);
    if (Known == Open_.end())
      return;
    if (Known->second.Manager)
      send(*Known->second.Manager, AbandonJob{Key});
    Open_.erase(Known);
  }

  void peerUp(std::size_t Other) { PeerOf_[Other] = static_cast<PeerIndex>(NextPeer_++); }
  bool knows(std::size_t Other) const { return PeerOf_.contains(Other); }
  void peerDown(std::size_t Other, bool HasEnded) {
    auto Known = PeerOf_.find(Other);
    if (Known == PeerOf_.end())
      return;
    auto Peer = Known->second;
    PeerOf_.erase(Known);
    Election_.peerLost(Peer, HasEnded, World_.Now_);
    Manager_.peerLost(Peer, World_.lastHeard(Index_, Other), World_.Now_);
    for (auto Entry = Open_.begin(); Entry != Open_.end();) {
      if (Entry->second.Manager != Peer) {
        ++Entry;
        continue;
      }
      World_.callerAnswered(Index_, Entry->first, {JobVerdict::GivenUp, "manager lost", 0});
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
    std::shared_ptr<const JobOrder> Order;
    std::optional<PeerIndex> Manager;
    core::TimePoint Since;
  };

  CandidateState self() const {
    CandidateState State;
    State.Vm = "vm" + std::to_string(Index_);
    State.DataCentre = DataCentre_;
    return State;
  }

  void beat() {
    if (World_.Now_ < BeatAt_)
      return;
    BeatAt_ = World_.Now_ + std::chrono::milliseconds(100);
    auto State = self();
    State.IsReady = true;
    State.IsStopping = IsStopping_;
    State.Managed = Election_.managed();
    State.Released = Election_.releasing();
    State.Seen = Election_.seen();
    bool TakesPart = !State.Managed.empty() || !State.Released.empty() || Manager_.jobCount() > 0;
    auto Token = Tokens_.highest();
    for (const auto &[Other, Peer] : PeerOf_)
      deliver(Other, [State, TakesPart, Token](Vm &Receiver, PeerIndex From) {
        Receiver.heard(From, State, TakesPart, Token);
      });
  }

  void heard(PeerIndex From, const CandidateState &State, bool TakesPart, std::uint64_t Token) {
    Election_.peerChanged(From, State, World_.Now_);
    Tokens_.observe(Token);
    Manager_.setManager(From, TakesPart, World_.Now_);
    applyElection();
  }

  /// Runs an action on another VM after a delay, if their session still exists by then.
  void deliver(std::size_t Other, std::function<void(Vm &, PeerIndex)> Act) {
    auto Self = Index_;
    auto *World = &World_;
    auto Mine = PeerOf_.at(Other);
    auto *Known = World->Vms_[Other].get();
    auto Theirs = Known && Known->knows(Self) ? Known->PeerOf_.at(Self) : SelfPeer;
    World->after(Hop, [World, Self, Other, Mine, Theirs, Act = std::move(Act)] {
      auto *Sender = World->Vms_[Self].get();
      if (Theirs == SelfPeer || !Sender || !Sender->knows(Other) ||
          Sender->PeerOf_.at(Other) != Mine)
        return;
      auto Arrive = [World, Self, Other, Theirs, Act](auto &Again) -> void {
        auto *Target = World->Vms_[Other].get();
        if (!Target || !Target->knows(Self) || Target->PeerOf_.at(Self) != Theirs ||
            World->isSilent(Self, Other))
          return;
        if (!Target->isRunning() || !World->canTalk(Self, Other))
          return World->after(std::chrono::milliseconds(5), [Again] { Again(Again); });
        Act(*Target, Target->PeerOf_.at(Self));
      };
      Arrive(Arrive);
    });
  }

  void applyElection() {
    auto Now = World_.Now_;
    Election_.setOthersExist(World_.Vms_.size() > 1);
    auto Changes = Election_.evaluate(Now);
    for (const auto &Begun : Changes.Begun)
      ClaimAt_[Begun.DataCentre] = Begun.ClaimAt;
    for (const auto &Stopped : Changes.Stopped)
      Successors_[Stopped.DataCentre] = Stopped.Successor;
    listWorkers();
    for (const auto &Rest : Changes.Claims) {
      ClaimAt_[Rest.DataCentre] = Rest.ClaimAt;
      for (const auto &Worker : World_.Workers_)
        if (Worker->entry().DataCentre == Rest.DataCentre)
          Manager_.fleet().holdClaim(Worker->entry().Id, Rest.ClaimAt);
    }
    handOver();
    reportReleased();
  }

  void listWorkers() {
    std::vector<WorkerEntry> Entries;
    for (const auto &Worker : World_.Workers_)
      if (Election_.managed().contains(Worker->entry().DataCentre)) {
        Entries.push_back(Worker->entry());
        auto ClaimAt = ClaimAt_[Worker->entry().DataCentre];
        if (ClaimAt > World_.Now_)
          Manager_.fleet().holdClaim(Worker->entry().Id, ClaimAt);
      }
    Manager_.setWorkers(Entries, World_.Now_);
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

  void handOver() {
    auto Home = Election_.homeManager();
    if (!Home)
      return;
    for (auto &[Key, Job] : Open_)
      if (!Job.Manager) {
        Job.Manager = Home;
        send(*Home, SubmitToPool{Job.Order});
      }
  }

  void receive(PeerIndex From, const PoolMessage &Message) {
    auto Now = World_.Now_;
    if (const auto *Answer = std::get_if<PoolAnswer>(&Message)) {
      if (Open_.erase(Answer->Job) > 0)
        World_.callerAnswered(Index_, Answer->Job, Answer->Answer);
      return;
    }
    if (const auto *Released = std::get_if<ReleaseWorkers>(&Message)) {
      for (const auto &Id : Released->Ids)
        Manager_.fleet().claimNow(Id, Now);
      return;
    }
    Manager_.receive(From, Message, Now);
  }

  // PoolOutput
  void workerAddressed(EndpointIndex Worker, const WorkerEntry &Entry) override {
    auto Position = static_cast<std::size_t>(Worker);
    if (Position >= Targets_.size())
      Targets_.resize(Position + 1);
    for (std::size_t Each = 0; Each < World_.Workers_.size(); ++Each)
      if (World_.Workers_[Each]->entry().Id == Entry.Id)
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
  void call(EndpointIndex Worker, core::Duration Patience,
            std::function<Reply(standin::WorkerModel &, core::TimePoint)> Carry,
            std::function<void(Vm &, const Reply &)> OnReply, bool MayBeLate) {
    auto Target = Targets_[static_cast<std::size_t>(Worker)];
    auto Life = Life_;
    auto Self = Index_;
    auto *World = &World_;
    bool IsLate = MayBeLate && World->chance() < World->Settings_.LateOrderShare;
    bool IsAnswerLost = World->chance() < World->Settings_.LostAnswerShare;
    auto Answered = std::make_shared<bool>(false);
    auto Respond = [World, Self, Life, Answered, OnReply](const Reply &Content) {
      auto *Caller = World->Vms_[Self].get();
      if (!Caller || Caller->Life_ != Life || *Answered)
        return;
      *Answered = true;
      if (Caller->isRunning())
        return OnReply(*Caller, Content);
      World->at(Caller->frozenUntil(), [World, Self, Life, OnReply, Content] {
        auto *Awake = World->Vms_[Self].get();
        if (Awake && Awake->Life_ == Life)
          OnReply(*Awake, Content);
      });
    };
    World->after(Patience, [Respond] {
      Reply None;
      None.Verdict = OrderVerdict::NoReply;
      Respond(None);
    });
    auto Delay = IsLate ? std::chrono::milliseconds(2000 + World->Random_() % 10000) : Hop;
    auto Intended = World->Workers_[Target]->born();
    World->after(Delay, [World, Self, Target, Carry, Respond, IsLate, IsAnswerLost, Intended] {
      if (World->CutWorkers_[{Self, Target}] > World->Now_ && !IsLate)
        return;
      // A command is addressed to one incarnation of the worker; later ones refuse it.
      if (IsLate && World->Workers_[Target]->born() != Intended)
        return;
      auto Content = Carry(*World->Workers_[Target], World->Now_);
      if (!IsLate && !IsAnswerLost)
        World->after(Hop, [Respond, Content] { Respond(Content); });
    });
  }

  void look(EndpointIndex Worker, const LookOrder &Order) override {
    auto Target = Targets_[static_cast<std::size_t>(Worker)];
    auto Wait = std::chrono::milliseconds(Order.WaitMilliseconds);
    auto *World = &World_;
    auto Self = Index_;
    auto Life = Life_;
    auto Answered = std::make_shared<bool>(false);
    bool IsLost = World->chance() < World->Settings_.LostAnswerShare;
    bool IsLate = World->chance() < World->Settings_.LateOrderShare;
    auto Respond = [World, Self, Life, Worker, Order, Answered](const LookReply &Content) {
      auto *Caller = World->Vms_[Self].get();
      if (!Caller || Caller->Life_ != Life || *Answered)
        return;
      *Answered = true;
      auto Act = [World, Self, Life, Worker, Order, Content] {
        auto *Awake = World->Vms_[Self].get();
        if (Awake && Awake->Life_ == Life)
          Awake->Manager_.lookReplied(Worker, Order, Content, World->Now_);
      };
      if (Caller->isRunning())
        return Act();
      World->at(Caller->frozenUntil(), Act);
    };
    World->after(Wait + LookSlack, [Respond] { Respond({OrderVerdict::NoReply, std::nullopt}); });
    if (IsLate) {
      World->after(std::chrono::milliseconds(2000 + World->Random_() % 10000),
                   [World, Target, Order] { World->Workers_[Target]->look(Order, World->Now_); });
      return;
    }
    auto Deadline = World->Now_ + Hop + Wait;
    auto Poll = [World, Self, Target, Order, Deadline, Respond, IsLost](auto &Again) -> void {
      if (World->CutWorkers_[{Self, Target}] > World->Now_)
        return;
      auto &Model = *World->Workers_[Target];
      // The lease is extended on arrival, while the reply waits for an end.
      auto Content = Model.look(Order, World->Now_);
      bool IsDue = World->Now_ >= Deadline || Model.hasEndAfter(Order.LastSeen) ||
                   Content.Verdict != OrderVerdict::Accepted;
      if (!IsDue)
        return World->after(std::chrono::milliseconds(3), [Again] { Again(Again); });
      if (!IsLost)
        World->after(Hop, [Respond, Content] { Respond(Content); });
    };
    World->after(Hop, [Poll] { Poll(Poll); });
  }

  void start(EndpointIndex Worker, const StartOrder &Order) override {
    call<OrderReply>(
        Worker, OrderTime,
        [Order](standin::WorkerModel &Model, core::TimePoint Now) {
          return Model.start(Order, Now);
        },
        [Worker, Order](Vm &Self, const OrderReply &Reply) {
          Self.Manager_.startReplied(Worker, Order, Reply, Self.World_.Now_);
        },
        true);
  }

  void stop(EndpointIndex Worker, const StopOrder &Order) override {
    call<OrderReply>(
        Worker, OrderTime,
        [Order](standin::WorkerModel &Model, core::TimePoint Now) {
          return Model.stop(Order, Now);
        },
        [Worker, Order](Vm &Self, const OrderReply &Reply) {
          Self.Manager_.stopReplied(Worker, Order, Reply, Self.World_.Now_);
        },
        true);
  }

  void send(PeerIndex Peer, PoolMessage Message) override {
    if (Peer == SelfPeer) {
      auto Self = Index_;
      auto Life = Life_;
      auto *World = &World_;
      World->at(World->Now_, [World, Self, Life, Message = std::move(Message)] {
        auto *Receiver = World->Vms_[Self].get();
        if (Receiver && Receiver->Life_ == Life)
          Receiver->receive(SelfPeer, Message);
      });
      return;
    }
    for (const auto &[Other, Index] : PeerOf_)
      if (Index == Peer)
        return deliver(
            Other, [Message](Vm &Receiver, PeerIndex From) { Receiver.receive(From, Message); });
  }

  PoolWorld &World_;
  std::size_t Index_;
  std::string DataCentre_;
  std::uint64_t Life_ = World_.Random_();
  TraceLog Log_;
  TokenSource Tokens_;
  PoolElection Election_;
  PoolManager Manager_;
  std::map<std::size_t, PeerIndex> PeerOf_;
  std::uint32_t NextPeer_ = 1;
  std::map<JobKey, OpenJob> Open_;
  std::map<std::string, core::TimePoint> ClaimAt_;
  std::map<std::string, PeerIndex> Successors_;
  std::vector<std::size_t> Targets_;
  core::TimePoint BeatAt_;
  core::TimePoint FrozenUntil_;
  bool IsStopping_ = false;
};

} // namespace cornellift::test
