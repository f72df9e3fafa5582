#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::configuration {

/// Changes that turn the head of one version into the head of a later one, to avoid sending the
/// whole document.
struct HeadDelta {
  std::uint64_t BaseVersion = 0;
  std::uint64_t Version = 0;
  std::vector<std::string> Changes; ///< Audit records from BaseVersion + 1 to Version, as JSON.
  std::uint64_t Digest = 0;         ///< digestOf() the head of Version.
};

/// XXH3 hash of a head's text, which contains the document and the audit record.
std::uint64_t digestOf(std::string_view HeadText);

/// Returns the text of the head of Delta.Version. Fails with Malformed when a text cannot be
/// parsed, and with Conflict when the base has another version, a change is missing, or the result
/// does not match the digest.
std::optional<std::string> applyDelta(std::string_view BaseText, const HeadDelta &Delta);

} // namespace cornellift::configuration
