#pragma once

#include "Kernel/Job.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::entry {

constexpr std::size_t MaximumBodyBytes = 8ULL << 20;
constexpr std::size_t MaximumPayloadBytes = 64ULL << 10;

/// A submission as sent by a caller, with unresolved names.
struct ParsedJob {
  std::string Id;
  std::string Service;
  std::string Kind;
  std::optional<core::TimePoint> Deadline;
  std::vector<kernel::TaskSpec> Tasks;
  std::shared_ptr<const kernel::JobPayload> Payload;
};

/// Parses and validates the body of POST /v1/jobs. Returns an empty optional with Malformed or
/// TooLarge and a message that names the invalid field.
std::optional<ParsedJob> parseJob(std::string_view Body, std::uint32_t MaximumTasks);

} // namespace cornellift::entry
