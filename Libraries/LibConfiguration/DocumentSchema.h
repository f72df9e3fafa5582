#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::configuration {

/// The JSON schema of the configuration document, as text. It defines all value ranges.
std::string_view documentSchemaText();

/// Validates a value against the schema; unknown fields are rejected. Fails with Malformed and a
/// message that names the first invalid field.
bool matchesDocumentSchema(const nlohmann::json &Value);

} // namespace cornellift::configuration
