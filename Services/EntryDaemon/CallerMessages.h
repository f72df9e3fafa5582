#pragma once

#include "Kernel/Action.h"
#include "Kernel/Outcome.h"
#include "Libraries/LibCore/Reason.h"
#include "Services/EntryDaemon/PeerNetwork.h"

#include <string>
#include <string_view>

namespace cornellift::entry {

/// HTTP status that goes with an error.
std::uint32_t httpStatus(core::ErrorKind Kind);

/// Refusal of a request before anything was run for it. It applies to the request: an earlier
/// submission under the same identifier may have run.
ForwardedResponse renderRefusal(const core::Reason &Cause);

/// Answer when it is not known what became of the request.
ForwardedResponse renderUnknown(core::ErrorKind Kind, std::string_view Message);

/// Outcome of a job; equal outcomes give equal bytes.
ForwardedResponse renderOutcome(std::string_view Id, const kernel::Outcome &Result);

ForwardedResponse renderStatus(std::string_view Id, const kernel::JobStatus &Status);

/// The block as a JSON object.
std::string blockText(std::string_view EntryVm, const kernel::IdentifierBlock &Block);

} // namespace cornellift::entry
