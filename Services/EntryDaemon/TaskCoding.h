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

/// Encodes the kernel's response to StartDelegated or AskDelegated.
void encodeTaskReply(const kernel::Response &Answer, peer::TaskReply &Reply);

/// Converts the reply to a start or a status query to the event that the kernel expects from an
/// endpoint.
kernel::Event decodeTaskReply(const peer::TaskReply &Reply, kernel::TaskId Task,
                              kernel::EndpointIndex Endpoint, std::uint32_t Attempt);

} // namespace cornellift::entry
