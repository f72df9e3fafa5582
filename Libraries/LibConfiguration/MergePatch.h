#pragma once

#include <nlohmann/json.hpp>

namespace cornellift::configuration {

/// Returns the JSON merge patch (RFC 7396) that turns From into To, provided that To contains no
/// null. The library applies merge patches but does not compute them.
nlohmann::json mergeDifference(const nlohmann::json &From, const nlohmann::json &To);

/// Returns Target with the merge patch applied.
nlohmann::json applyMergePatch(nlohmann::json Target, const nlohmann::json &Patch);

} // namespace cornellift::configuration
