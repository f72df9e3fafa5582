#include "Services/EntryDaemon/PeerService.h"

#include "Libraries/LibPeer/MembershipCoding.h"
#include "Services/EntryDaemon/TaskCoding.h"
#include "Services/EntryDaemon/TransferCoding.h"

#include <chrono>
#include <utility>

// The generated base class determines the names of the handlers.
// NOLINTBEGIN(readability-identifier-naming)
namespace cornellift::entry {
namespace {

using core::MonotonicClock;

constexpr core::Duration IndirectProbeTimeout = std::chrono::milliseconds(250);
constexpr core::Duration KernelReplyTimeout = std::chrono::seconds(2);

/// Converts the deadline of the call to monotonic time.
core::TimePoint deadlineOf(const grpc::ServerContext &Context) {
  auto Remaining = Context.deadline() - std::chrono::system_clock::now();
  return MonotonicClock::now() + std::chrono::duration_cast<core::Duration>(Remaining);
}

} // namespace

kernel::Incarnation PeerService::own() const {
  return Dependencies_.Members.read([](const auto &View) { return View.own().Process; });
}

grpc::Status PeerService::Probe(grpc::ServerContext *, const peer::ProbeRequest *Request,
                                peer::ProbeReply *Reply) {
  auto Own = Dependencies_.Members.heartbeatReceived(peer::decode(Request->sender()));
  *Reply->mutable_receiver() = peer::encode(Own);
  return grpc::Status::OK;
}

grpc::Status PeerService::ProbeFor(grpc::ServerContext *, const peer::ProbeForRequest *Request,
                                   peer::ProbeForReply *Reply) {
  peer::ProbeRequest Probe;
  Dependencies_.Members.change([&](kernel::Membership &View, core::TimePoint Now, auto &) {
    *Probe.mutable_sender() = peer::encode(View.heartbeat(Now));
  });
  auto Result = Dependencies_.Client.call<peer::ProbeRequest, peer::ProbeReply>(
      Request->target_address(), &peer::Peer::Stub::async::Probe, std::move(Probe),
      MonotonicClock::now() + IndirectProbeTimeout);
  Reply->set_reached(Result.Content.has_value());
  if (Result.Content)
    *Reply->mutable_target() = Result.Content->receiver();
  return grpc::Status::OK;
}

grpc::Status PeerService::Announce(grpc::ServerContext *, const peer::AnnounceRequest *Request,
                                   peer::AnnounceReply *Reply) {
  for (const auto &Endpoint : Request->leaving_endpoints())
    Dependencies_.Members.reportLeavingEndpoint(Endpoint);
  auto Answer = Dependencies_.Members.announced(peer::decode(*Request, MonotonicClock::now()));
  *Reply = peer::encodeReply(Answer, MonotonicClock::now());
  return grpc::Status::OK;
}

grpc::Status PeerService::FetchConfiguration(grpc::ServerContext *Context,
                                             const peer::FetchConfigurationRequest *Request,
                                             peer::FetchConfigurationReply *Reply) {
  if (Configuration_ == nullptr)
    return grpc::Status::OK;
  // Compression reduces a document with 1,400 endpoints from 318 KB to 11 KB. Uncompressed, 3,500
  // changes a day would cost 13 KB/s for each process that has to fetch whole documents, above the
  // control plane's budget of 3 KB/s.
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
  Dependencies_.Members.read([&](const kernel::Membership &View) {
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
  auto Successor = Dependencies_.Members.read(
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
  auto Answer = Dependencies_.Callers.handle(
      {Request->method(), Request->path(), Request->team(), Request->body()},
      CallerApi::Origin::Peer);
  Reply->set_status(Answer.Status);
  Reply->set_body(std::move(Answer.Body));
  return grpc::Status::OK;
}

grpc::Status PeerService::BorrowSlots(grpc::ServerContext *,
                                      const peer::BorrowSlotsRequest *Request,
                                      peer::BorrowSlotsReply *Reply) {
  auto Answer = Dependencies_.Slots.lend(*Request);
  if (!Answer)
    return peer::refusalStatus();
  *Reply = std::move(*Answer);
  return grpc::Status::OK;
}

grpc::Status PeerService::ReturnSlots(grpc::ServerContext *,
                                      const peer::ReturnSlotsRequest *Request,
                                      peer::ReturnSlotsReply *) {
  Dependencies_.Slots.recalled(*Request);
  return grpc::Status::OK;
}

grpc::Status PeerService::DelegateTask(grpc::ServerContext *Context,
                                       const peer::DelegateTaskRequest *Request,
                                       peer::TaskReply *Reply) {
  Reply->set_state(peer::TaskReply::REFUSED_INVALID);
  auto Configuration = Dependencies_.Configuration.get();
  if (!Configuration || Request->receiver() != own().Value)
    return grpc::Status::OK;
  auto Start = decodeDelegation(*Request, *Configuration);
  if (!Start)
    return grpc::Status::OK;
  Dependencies_.Names.add(Start->Task.Job.Issuer, Request->issuer_vm());
  auto Answer = Dependencies_.Requests.call(
      [&](kernel::RequestId Id) {
        auto Event = *Start;
        Event.Request = Id;
        return kernel::Event(std::move(Event));
      },
      deadlineOf(*Context));
  if (!Answer) {
    // Overloaded means that the event was not posted to the kernel.
    bool NotStarted = core::lastReason().Kind == core::ErrorKind::Overloaded;
    Reply->set_state(NotStarted ? peer::TaskReply::REFUSED_NO_SLOT : peer::TaskReply::UNKNOWN);
    return grpc::Status::OK;
  }
  encodeTaskReply(*Answer, *Reply);
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
  auto Answer = Dependencies_.Requests.call(
      [&](kernel::RequestId Id) {
        return kernel::Event(kernel::AskDelegated{Id, Task, Purpose, Request->attempt()});
      },
      MonotonicClock::now() + KernelReplyTimeout);
  if (Answer)
    encodeTaskReply(*Answer, *Reply);
  return grpc::Status::OK;
}

grpc::Status PeerService::Transfer(grpc::ServerContext *, const peer::TransferRequest *Request,
                                   peer::TransferReply *Reply) {
  auto Configuration = Dependencies_.Configuration.get();
  if (!Configuration)
    return grpc::Status::OK;
  std::function<kernel::Event(kernel::RequestId)> Make;
  if (Request->has_part()) {
    auto Part = decodeTransfer(*Request, *Configuration, Dependencies_.Names);
    if (!Part)
      return grpc::Status::OK;
    Make = [Part](kernel::RequestId Id) { return kernel::TransferReceived{Id, Part}; };
  } else {
    Make = [Request](kernel::RequestId Id) {
      return kernel::TransferSealed{
          Id, {Request->sender()}, {Request->receiver()}, Request->transfer(), Request->seal()};
    };
  }
  auto Answer = Dependencies_.Requests.call(Make, MonotonicClock::now() + KernelReplyTimeout);
  // Without a reply from the kernel, the sender must not treat the call as refused.
  if (!Answer)
    return {grpc::StatusCode::UNAVAILABLE, "the kernel is busy; retry the call"};
  const auto *Verdict = std::get_if<kernel::TransferReply>(&*Answer);
  Reply->set_accepted(Verdict != nullptr && *Verdict == kernel::TransferReply::Accepted);
  if (Reply->accepted() && !Request->has_part())
    recordSuccession({Request->sender()});
  return grpc::Status::OK;
}

void PeerService::recordSuccession(kernel::Incarnation Sender) {
  Dependencies_.Transfers.addPredecessor(Sender);
  Dependencies_.Members.change([&](kernel::Membership &View, core::TimePoint Now, auto &Out) {
    View.announceSuccession({Sender, View.own().EntryVm, View.own().Process, Now}, Now, Out);
  });
}

} // namespace cornellift::entry
// NOLINTEND(readability-identifier-naming)
