#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::configuration {

/// True for 1 to 63 characters out of a-z, 0-9 and "-", of which the first is a letter or a digit.
bool isName(std::string_view Text);

/// True for an IP address and a port such as 10.0.0.1:7000 or [::1]:7000.
bool isAddress(std::string_view Text);

/// Validates what the schema cannot express, for a document that matches it: the form of names and
/// addresses, that addresses are unique, that each service that an endpoint names exists, and that
/// an endpoint has more connections than slots. Fails with Malformed.
bool passesCrossChecks(const nlohmann::json &Document);

} // namespace cornellift::configuration
