#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::configuration {

/// Maximum nesting depth of arrays and objects.
constexpr std::size_t MaximumJsonDepth = 32;

/// Parses JSON from an untrusted source. Fails with TooLarge above MaximumBytes, and with Malformed
/// for anything that is not JSON in UTF-8, for nesting beyond MaximumJsonDepth, and for a name that
/// occurs twice in one object (nlohmann-json would silently keep the last one).
std::optional<nlohmann::json> parseStrictJson(std::string_view Text, std::size_t MaximumBytes);

} // namespace cornellift::configuration
