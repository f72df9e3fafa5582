#pragma once

#include "Kernel/Action.h"
#include "Kernel/Event.h"
#include "Libraries/LibPeer/Generated/Peer.pb.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"

#include <optional>

namespace cornellift::entry {

peer::TaskDeclaration encode(const kernel::TaskSpec &Spec);
kernel::TaskSpec decode(const peer::TaskDeclaration &Declaration);

/// Empty with NotFound when the service, kind or team is not configured here.
std::optional<kernel::StartDelegated>
decodeDelegation(const peer::DelegateTaskRequest &Request,
                 const kernel::KernelConfiguration &Configuration);

/// Writes the kernel's answer to StartDelegated or AskDelegated.
void encodeAnswer(const kernel::Response &Answer, peer::TaskReply &Reply);

/// The reply as the kernel takes it from an endpoint. Reply is what a start or a question got.
kernel::Event decodeAnswer(const peer::TaskReply &Reply, kernel::TaskId Task,
                           kernel::EndpointIndex Endpoint, std::uint32_t Attempt);

} // namespace cornellift::entry
