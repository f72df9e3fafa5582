#include "Services/EntryDaemon/PeerService.h"

#include "Libraries/LibPeer/MembershipCoding.h"
#include "Services/EntryDaemon/TaskCoding.h"
#include "Services/EntryDaemon/TransferCoding.h"

#include <chrono>
#include <utility>

// The handlers' names are those of the generated base class.
// NOLINTBEGIN(readability-identifier-naming)
namespace cornellift::entry {
namespace {

using core::MonotonicClock;

constexpr core::Duration IndirectProbeTime = std::chrono::milliseconds(250);
constexpr core::Duration KernelTime = std::chrono::seconds(2);

/// The caller's own deadline, as far as the kernel is to wait for it.
core::TimePoint deadlineOf(const grpc::ServerContext &Context) {
  auto Left = Context.deadline() - std::chrono::system_clock::now();
  return MonotonicClock::now() + std::chrono::duration_cast<core::Duration>(Left);
}

} // namespace

kernel::Incarnation PeerService::own() const {
  return Daemon_.Members.read([](const auto &View) { return View.own().Process; });
}

grpc::Status PeerService::Probe(grpc::ServerContext *, const peer::ProbeRequest *Request,
                                peer::ProbeReply *Reply) {
  auto Own = Daemon_.Members.heartbeatReceived(peer::decode(Request->sender()));
  *Reply->mutable_receiver() = peer::encode(Own);
  return grpc::Status::OK;
}

grpc::Status PeerService::ProbeFor(grpc::ServerContext *, const peer::ProbeForRequest *Request,
                                   peer::ProbeForReply *Reply) {
  peer::ProbeRequest Probe;
  Daemon_.Members.change([&](kernel::Membership &View, core::TimePoint Now, auto &) {
    *Probe.mutable_sender() = peer::encode(View.heartbeat(Now));
  });
  auto Result = Daemon_.Client.call<peer::ProbeRequest, peer::ProbeReply>(
      Request->target_address(), &peer::Peer::Stub::async::Probe, std::move(Probe),
      MonotonicClock::now() + IndirectProbeTime);
  Reply->set_reached(Result.Content.has_value());
  if (Result.Content)
    *Reply->mutable_target() = Result.Content->receiver();
  return grpc::Status::OK;
}

grpc::Status PeerService::Announce(grpc::ServerContext *, const peer::AnnounceRequest *Request,
                                   peer::AnnounceReply *Reply) {
  for (const auto &Endpoint : Request->leaving_endpoints())
    Daemon_.Members.noteLeaving(Endpoint);
  auto Answer = Daemon_.Members.announced(peer::decode(*Request, MonotonicClock::now()));
  *Reply = peer::encodeReply(Answer, MonotonicClock::now());
  return grpc::Status::OK;
}

grpc::Status PeerService::FetchConfiguration(grpc::ServerContext *Context,
                                             const peer::FetchConfigurationRequest *Request,
                                             peer::FetchConfigurationReply *Reply) {
  if (Configuration_ == nullptr)
    return grpc::Status::OK;
  // A document with 1,400 endpoints shrinks from 318 KB to 11 KB; 3,500 changes a day would
  // otherwise take 13 KB/s of each process that lacks more than the known changes, which may use
  // 3 KB/s for its control plane.
  Context->set_compression_algorithm(GRPC_COMPRESS_GZIP);
  if (Request->takes_changes())
    if (auto Delta = Configuration_->changesSince(Request->have_version())) {
      Reply->set_version(Delta->Version);
      Reply->set_digest(Delta->Digest);
      for (auto &Change : Delta->Changes)
        Reply->add_changes(std::move(Change));
      return grpc::Status::OK;
    }
  Reply->set_version(Configuration_->version());
  if (Reply->version() > Request->have_version())
    Reply->set_head(Configuration_->headText());
  return grpc::Status::OK;
}

grpc::Status PeerService::Status(grpc::ServerContext *, const peer::StatusRequest *,
                                 peer::StatusReply *Reply) {
  Daemon_.Members.read([&](const kernel::Membership &View) {
    for (const auto &[Name, Record] : View.table().members()) {
      if (Record.DataCentre != View.own().DataCentre)
        continue;
      auto *Entry = Reply->add_members();
      Entry->set_entry_vm(Name);
      Entry->set_incarnation(Record.Process.Value);
      if (auto Load = View.loadOf(Record.Process))
        Entry->set_configuration_version(Load->ConfigurationVersion);
    }
    return 0;
  });
  return grpc::Status::OK;
}

grpc::Status PeerService::Forward(grpc::ServerContext *, const peer::ForwardRequest *Request,
                                  peer::ForwardReply *Reply) {
  kernel::Incarnation Issuer{Request->incarnation()};
  auto Successor = Daemon_.Members.read(
      [&](const kernel::Membership &View) { return View.table().successor(Issuer); });
  auto Own = own();
  bool IsOwner = Successor ? Successor->To == Own : Issuer == Own;
  if (!IsOwner) {
    Reply->set_not_owned(true);
    Reply->set_receiver_incarnation(Own.Value);
    if (Successor)
      *Reply->mutable_succession() = peer::encode(*Successor, MonotonicClock::now());
    return grpc::Status::OK;
  }
  auto Answer =
      Daemon_.Callers.handle({Request->method(), Request->path(), Request->team(), Request->body()},
                             CallerApi::Origin::Peer);
  Reply->set_status(Answer.Status);
  Reply->set_body(std::move(Answer.Body));
  return grpc::Status::OK;
}

grpc::Status PeerService::BorrowSlots(grpc::ServerContext *,
                                      const peer::BorrowSlotsRequest *Request,
                                      peer::BorrowSlotsReply *Reply) {
  auto Answer = Daemon_.Slots.lend(*Request);
  if (!Answer)
    return peer::refusalStatus();
  *Reply = std::move(*Answer);
  return grpc::Status::OK;
}

grpc::Status PeerService::ReturnSlots(grpc::ServerContext *,
                                      const peer::ReturnSlotsRequest *Request,
                                      peer::ReturnSlotsReply *) {
  Daemon_.Slots.recalled(*Request);
  return grpc::Status::OK;
}

grpc::Status PeerService::DelegateTask(grpc::ServerContext *Context,
                                       const peer::DelegateTaskRequest *Request,
                                       peer::TaskReply *Reply) {
  Reply->set_state(peer::TaskReply::REFUSED_INVALID);
  auto Configuration = Daemon_.Board.current();
  if (!Configuration || Request->receiver() != own().Value)
    return grpc::Status::OK;
  auto Start = decodeDelegation(*Request, *Configuration);
  if (!Start)
    return grpc::Status::OK;
  Daemon_.Names.add(Start->Task.Job.Issuer, Request->issuer_vm());
  auto Answer = Daemon_.Requests.call(
      [&](kernel::RequestId Id) {
        auto Event = *Start;
        Event.Request = Id;
        return kernel::Event(std::move(Event));
      },
      deadlineOf(*Context));
  if (!Answer) {
    // Overloaded means that the kernel never had the event.
    bool NotStarted = core::lastReason().Kind == core::ErrorKind::Overloaded;
    Reply->set_state(NotStarted ? peer::TaskReply::REFUSED_NO_SLOT : peer::TaskReply::UNKNOWN);
    return grpc::Status::OK;
  }
  encodeAnswer(*Answer, *Reply);
  return grpc::Status::OK;
}

grpc::Status PeerService::AskTask(grpc::ServerContext *, const peer::AskTaskRequest *Request,
                                  peer::TaskReply *Reply) {
  Reply->set_state(peer::TaskReply::UNKNOWN);
  if (Request->receiver() != own().Value)
    return grpc::Status::OK;
  kernel::TaskId Task{{{Request->incarnation()}, Request->sequence()}, Request->index()};
  auto Purpose = Request->fence() ? kernel::AskDelegated::Operation::Fence
                                  : kernel::AskDelegated::Operation::Ask;
  auto Answer = Daemon_.Requests.call(
      [&](kernel::RequestId Id) {
        return kernel::Event(kernel::AskDelegated{Id, Task, Purpose, Request->attempt()});
      },
      MonotonicClock::now() + KernelTime);
  if (Answer)
    encodeAnswer(*Answer, *Reply);
  return grpc::Status::OK;
}

grpc::Status PeerService::Transfer(grpc::ServerContext *, const peer::TransferRequest *Request,
                                   peer::TransferReply *Reply) {
  auto Configuration = Daemon_.Board.current();
  if (!Configuration)
    return grpc::Status::OK;
  std::function<kernel::Event(kernel::RequestId)> Make;
  if (Request->has_part()) {
    auto Part = decodeTransfer(*Request, *Configuration, Daemon_.Names);
    if (!Part)
      return grpc::Status::OK;
    Make = [Part](kernel::RequestId Id) { return kernel::TransferReceived{Id, Part}; };
  } else {
    Make = [Request](kernel::RequestId Id) {
      return kernel::TransferSealed{
          Id, {Request->sender()}, {Request->receiver()}, Request->transfer(), Request->seal()};
    };
  }
  auto Answer = Daemon_.Requests.call(Make, MonotonicClock::now() + KernelTime);
  // Without an answer the sender must not take the call for refused.
  if (!Answer)
    return {grpc::StatusCode::UNAVAILABLE, "the kernel is busy; send the call again"};
  const auto *Verdict = std::get_if<kernel::TransferReply>(&*Answer);
  Reply->set_accepted(Verdict != nullptr && *Verdict == kernel::TransferReply::Accepted);
  if (Reply->accepted() && !Request->has_part())
    noteSuccession({Request->sender()});
  return grpc::Status::OK;
}

void PeerService::noteSuccession(kernel::Incarnation Sender) {
  Daemon_.Transfers.addPredecessor(Sender);
  Daemon_.Members.change([&](kernel::Membership &View, core::TimePoint Now, auto &Out) {
    View.announceSuccession({Sender, View.own().EntryVm, View.own().Process, Now}, Now, Out);
  });
}

} // namespace cornellift::entry
// NOLINTEND(readability-identifier-naming)
