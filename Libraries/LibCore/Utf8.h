#pragma once

#include <string_view>

namespace cornellift::core {

/// Returns whether the bytes are valid UTF-8, which has no surrogates and no overlong encodings.
bool isUtf8(std::string_view Bytes);

} // namespace cornellift::core
