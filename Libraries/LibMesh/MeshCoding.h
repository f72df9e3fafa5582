#pragma once

#include "Kernel/Pool/PoolMessages.h"
#include "Libraries/LibCore/Time.h"
#include "Libraries/LibMesh/Generated/Mesh.pb.h"

#include <optional>

namespace cornellift::mesh {

/// The frame that carries a message of the pool managers. Now turns moments into ages.
Frame encode(const kernel::PoolMessage &Message, core::TimePoint Now);

/// Returns an empty optional for a frame that carries something else.
std::optional<kernel::PoolMessage> decode(const Frame &Message, core::TimePoint Now);

} // namespace cornellift::mesh
