#pragma once

#include "Kernel/Action.h"
#include "Kernel/Outcome.h"
#include "Libraries/LibCore/Reason.h"
#include "Services/EntryDaemon/PeerNetwork.h"

#include <string>
#include <string_view>

namespace cornellift::entry {

/// Returns the HTTP status code for an error.
std::uint32_t httpStatus(core::ErrorKind Kind);

/// Response to a request that was refused before any task ran for it. It applies only to the
/// request: an earlier submission with the same identifier may have run.
ForwardedResponse renderRefusal(const core::Reason &Cause);

/// Response when the outcome of the request is unknown.
ForwardedResponse renderUnknown(core::ErrorKind Kind, std::string_view Message);

/// Response with the outcome of a job; equal outcomes give equal bytes.
ForwardedResponse renderOutcome(std::string_view Id, const kernel::Outcome &Result);

/// Response for a job that has not ended.
ForwardedResponse renderStatus(std::string_view Id, const kernel::JobStatus &Status);

/// Returns the block as a JSON object.
std::string blockText(std::string_view EntryVm, const kernel::IdentifierBlock &Block);

} // namespace cornellift::entry
