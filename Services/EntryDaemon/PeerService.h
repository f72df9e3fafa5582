#pragma once

#include "Libraries/LibPeer/PeerClient.h"
#include "Libraries/LibPeer/PeerServer.h"
#include "Services/EntryDaemon/CallerApi.h"
#include "Services/EntryDaemon/ConfigurationSource.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/IssuerNames.h"
#include "Services/EntryDaemon/MembershipMonitor.h"
#include "Services/EntryDaemon/RequestTable.h"
#include "Services/EntryDaemon/SlotLenderDriver.h"
#include "Services/EntryDaemon/StateTransfer.h"

namespace cornellift::entry {

/// gRPC service for calls of other entry processes. The handlers run on the server's threads.
class PeerService final : public peer::Peer::Service {
public:
  /// The components of the daemon that the handlers use.
  struct Dependencies {
    MembershipMonitor &Members;
    SlotLenderDriver &Slots;
    StateTransfer &Transfers;
    peer::PeerClient &Client;
    CallerApi &Callers;
    RequestTable &Requests;
    IssuerNames &Names;
    const CurrentConfiguration &Configuration;
  };

  explicit PeerService(Dependencies Daemon) : Dependencies_(Daemon) {}

  /// Set before the server starts.
  void setConfiguration(ConfigurationSource *Source) { Configuration_ = Source; }

  grpc::Status Probe(grpc::ServerContext *Context, const peer::ProbeRequest *Request,
                     peer::ProbeReply *Reply) override;
  grpc::Status ProbeFor(grpc::ServerContext *Context, const peer::ProbeForRequest *Request,
                        peer::ProbeForReply *Reply) override;
  grpc::Status Announce(grpc::ServerContext *Context, const peer::AnnounceRequest *Request,
                        peer::AnnounceReply *Reply) override;
  grpc::Status FetchConfiguration(grpc::ServerContext *Context,
                                  const peer::FetchConfigurationRequest *Request,
                                  peer::FetchConfigurationReply *Reply) override;
  grpc::Status Status(grpc::ServerContext *Context, const peer::StatusRequest *Request,
                      peer::StatusReply *Reply) override;
  grpc::Status Forward(grpc::ServerContext *Context, const peer::ForwardRequest *Request,
                       peer::ForwardReply *Reply) override;
  grpc::Status BorrowSlots(grpc::ServerContext *Context, const peer::BorrowSlotsRequest *Request,
                           peer::BorrowSlotsReply *Reply) override;
  grpc::Status ReturnSlots(grpc::ServerContext *Context, const peer::ReturnSlotsRequest *Request,
                           peer::ReturnSlotsReply *Reply) override;
  grpc::Status DelegateTask(grpc::ServerContext *Context, const peer::DelegateTaskRequest *Request,
                            peer::TaskReply *Reply) override;
  grpc::Status AskTask(grpc::ServerContext *Context, const peer::AskTaskRequest *Request,
                       peer::TaskReply *Reply) override;
  grpc::Status Transfer(grpc::ServerContext *Context, const peer::TransferRequest *Request,
                        peer::TransferReply *Reply) override;

private:
  kernel::Incarnation own() const;
  void recordSuccession(kernel::Incarnation Sender);

  Dependencies Dependencies_;
  ConfigurationSource *Configuration_ = nullptr;
};

} // namespace cornellift::entry
