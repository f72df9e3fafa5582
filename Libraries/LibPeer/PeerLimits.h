#pragma once

namespace cornellift::peer {

/// Large enough for a job of 8 MB with its results.
constexpr int MaximumMessageBytes = 32 << 20;

} // namespace cornellift::peer
