#pragma once

#include "Libraries/LibConfiguration/Document.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::configuration {

/// Audit record of one version.
struct Change {
  std::uint64_t Version = 0;
  std::string PatchId; ///< Chosen by the sender; the same for every attempt to send the patch.
  std::string Who;     ///< Name of the operator.
  std::int64_t WhenMilliseconds = 0; ///< Since 1970-01-01 UTC.
  std::string Why;
  nlohmann::json Patch;   ///< Merge patch against the previous version; null for version 1.
  nlohmann::json Inverse; ///< Merge patch that reverts the change; null for version 1.
};

nlohmann::json toJson(const Change &Record);

/// Fails with Malformed.
std::optional<Change> changeFromJson(const nlohmann::json &Value);

/// The stored record of the version in force.
struct Head {
  std::uint64_t Version = 0;
  Document Content;
  Change Latest; ///< The change that made this version.

  /// Fails with Malformed or TooLarge when the text is not a head with a valid document.
  static std::optional<Head> parse(std::string_view Text);

  std::string text() const;
};

} // namespace cornellift::configuration
