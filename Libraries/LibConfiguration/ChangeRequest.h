#pragma once

#include "Libraries/LibCore/Reason.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

namespace cornellift::configuration {

constexpr std::size_t MaximumPatchBytes = 64 << 10;
constexpr std::size_t MaximumWhyBytes = 1000;
constexpr std::size_t MaximumPatchIdLength = 64;

/// An operator's patch against one version. Against version 0, when there is no configuration yet,
/// the patch is the whole document.
struct ChangeRequest {
  std::uint64_t BaseVersion = 0;
  std::string PatchId;
  std::string Who;
  std::string Why;
  nlohmann::json Patch;

  /// Parses `{base_version, patch_id, why, patch}` and checks its limits; unknown fields are
  /// rejected. Fails with Malformed or TooLarge.
  static std::optional<ChangeRequest> parse(std::string_view Text, std::string_view Who);
};

/// The patch was applied and made this version.
struct Applied {
  std::uint64_t Version = 0;
};

/// The patch was not applied and will not be.
struct Rejected {
  std::uint64_t VersionInForce = 0; ///< Zero when there is none, or when it was not read.
  core::Reason Why;
};

/// No reply from the store arrived. Sending the same patch with the same patch id again resolves
/// this and applies the patch at most once.
struct MayHaveBeenApplied {
  core::Reason Why;
};

using ChangeOutcome = std::variant<Applied, Rejected, MayHaveBeenApplied>;

} // namespace cornellift::configuration
