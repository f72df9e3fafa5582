#pragma once

#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"
#include "Libraries/LibMesh/Generated/Mesh.pb.h"

#include <optional>

namespace cornellift::mesh {

/// Encodes a message between pool managers as a frame. Points in time are sent as ages relative to
/// Now, because the receiver has another clock.
Frame encode(const kernel::PoolMessage &Message, core::TimePoint Now);

/// Decodes a message between pool managers; converts ages back to points in time relative to Now.
/// Returns an empty optional with Malformed if the frame carries anything else, or a job beyond the
/// limits that apply to callers.
std::optional<kernel::PoolMessage> decode(const Frame &Message, core::TimePoint Now);

} // namespace cornellift::mesh
