#pragma once

#include "OwnershipSimulation.h"

#include <utility>

namespace cornellift::kernel {

/// One incarnation of an entry process: a Dispatcher, and the daemon's part in carrying out its
/// actions.
class OwnershipSimulation::Process : public ActionSink {
public:
  Process(OwnershipSimulation &Simulation, Incarnation Own, core::Duration ClockError)
      : Name(Own), Simulation_(Simulation), ClockError_(ClockError) {
    auto Policy = std::make_unique<RoundRobinScheduler>();
    Policy->LocalEndpoints = EndpointIndex{Endpoints};
    Kernel_ = std::make_unique<Dispatcher>(Own, std::move(Policy));
    handle(ConfigurationApplied{Simulation_.Configuration_});
  }

  void handle(Event Next) { Kernel_->handle(std::move(Next), now(), *this); }
  void perform(Action Next) override {
    std::visit([this](auto &Content) { on(Content); }, Next);
  }

  core::TimePoint now() const { return Simulation_.Now_ + ClockError_; }
  DispatcherCounters counters() const { return Kernel_->counters(); }

  void stop(Incarnation Successor) {
    handle(StopRequested{});
    handle(AbortTransfer{}); // Aborts an earlier attempt, if there is one.
    PartsLeft_ = 0;
    Accepted_.clear();
    Receiver = Successor;
    handle(BeginTransfer{Successor});
  }

  void onReply(const PeerCall &Call, TransferReply Reply) {
    const auto *Part = std::get_if<TransferReceived>(&Call.Content);
    if (!Part) {
      if (Reply == TransferReply::Accepted)
        Simulation_.Successors_[Name] = Call.To;
      handle(Reply == TransferReply::Accepted ? Event(TransferConfirmed{})
                                              : Event(TransferUnanswered{}));
      return;
    }
    // Outcomes sent after the seal are resent until they are accepted.
    if (Sealing && Reply == TransferReply::Rejected && Simulation_.find(Call.To))
      Simulation_.send(Call);
    if (Part->Part->Transfer != Attempt_ || Sealing)
      return;
    if (Reply == TransferReply::Rejected) {
      handle(AbortTransfer{});
      return;
    }
    Accepted_.insert(Part->Part->Number);
    if (Accepted_.size() == PartsLeft_)
      handle(TransferSealSent{});
  }

  Incarnation Name;
  Incarnation Receiver;
  enum class Condition { Running, Paused } State{};
  std::optional<SealTransfer> Sealing;
  std::uint32_t Boots[Endpoints] = {1, 1, 1}; ///< Boot numbers as last seen by this process.

private:
  void on(Respond &Answer) { Simulation_.onResponse(*this, Answer); }

  void on(StartTask &Start) {
    if (Simulation_.ReportedNotRun_.contains(Start.Task.Job))
      throw InvariantViolation("a start was sent for a job that was reported as not run");
    auto Number = static_cast<std::uint32_t>(Start.Endpoint);
    auto Payload = Start.Payload->Tasks.at(Start.PayloadIndex);
    if (Number < Endpoints) {
      StartBoots_[Start.Attempt] = Boots[Number];
      Simulation_.send(EndpointCall{EndpointCall::Kind::Start, Start.Task, Number, Start.Attempt,
                                    Name, Simulation_.Endpoints_[Number].Boot, Start.TaskCount,
                                    Payload});
      return;
    }
    StartPeers_[Start.Attempt] = Simulation_.Current_[Number - Endpoints];
    JobPayload Single{{Payload}};
    callPeer(Number, Start.Attempt,
             StartDelegated{{},
                            Start.Task,
                            Start.Service,
                            Start.Kind,
                            Start.Team,
                            Start.Spec,
                            std::make_shared<const JobPayload>(std::move(Single)),
                            Start.TaskCount,
                            Start.Fingerprint,
                            Start.Attempt});
  }

  void on(AskTask &Query) {
    queryTask(Query.Task, Query.Endpoint, Query.Attempt, EndpointCall::Kind::Ask);
  }
  void on(FenceTask &Fence) {
    queryTask(Fence.Task, Fence.Endpoint, Fence.Attempt, EndpointCall::Kind::Fence);
  }

  void on(SendTransferPart &Next) {
    if (Next.Part->Transfer != Attempt_)
      PartsLeft_ = 0;
    Attempt_ = Next.Part->Transfer;
    ++PartsLeft_;
    Simulation_.send(PeerCall{Name, Next.Part->Receiver, 0, 0, TransferReceived{{}, Next.Part}});
  }

  void on(SealTransfer &Next) {
    Sealing = Next;
    Simulation_.send(
        PeerCall{Name, Next.Receiver, 0, 0,
                 TransferSealed{{}, Name, Next.Receiver, Next.Transfer, Next.PartCount}});
  }

  void on(ProbeEndpoint &) {}
  void on(FlagLate &) {}
  void on(Drained &) {}

  void queryTask(TaskId Task, EndpointIndex Endpoint, std::uint32_t Attempt,
                 EndpointCall::Kind Operation) {
    auto Number = static_cast<std::uint32_t>(Endpoint);
    if (Number < Endpoints) {
      Simulation_.send(
          EndpointCall{Operation, Task, Number, Attempt, Name, StartBoots_.at(Attempt), 0, {}});
      return;
    }
    auto Purpose = Operation == EndpointCall::Kind::Ask ? AskDelegated::Operation::Ask
                                                        : AskDelegated::Operation::Fence;
    callPeer(Number, Attempt, AskDelegated{{}, Task, Purpose, Attempt});
  }

  template <typename T> void callPeer(std::uint32_t Number, std::uint32_t Attempt, T Content) {
    Simulation_.send(PeerCall{Name, StartPeers_.at(Attempt), Number, Attempt, std::move(Content),
                              Simulation_.Now_});
  }

  OwnershipSimulation &Simulation_;
  core::Duration ClockError_;
  std::unique_ptr<Dispatcher> Kernel_;
  std::map<std::uint32_t, std::uint32_t> StartBoots_;
  std::map<std::uint32_t, Incarnation> StartPeers_;
  std::uint32_t Attempt_ = 0;
  std::size_t PartsLeft_ = 0;
  std::set<std::uint32_t> Accepted_;
};

} // namespace cornellift::kernel
