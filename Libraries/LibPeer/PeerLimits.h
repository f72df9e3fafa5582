#pragma once

namespace cornellift::peer {

/// A job of 8 MB with its results fits.
constexpr int MaximumMessageBytes = 32 << 20;

} // namespace cornellift::peer
