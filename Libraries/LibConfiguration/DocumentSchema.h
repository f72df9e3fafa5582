#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::configuration {

/// The JSON schema of the configuration document, as text. Every bound is stated there.
std::string_view documentSchemaText();

/// Checks a value against the schema. Fails with Malformed and a message that names the first field
/// at fault; unknown fields are refused.
bool matchesDocumentSchema(const nlohmann::json &Value);

} // namespace cornellift::configuration
