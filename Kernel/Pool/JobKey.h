#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::kernel {

/// Job identifier, chosen by the caller.
enum class JobKey : std::uint64_t {};

/// Formats the key as 16 lower-case hexadecimal digits.
std::string formatJobKey(JobKey Key);

/// Parses 16 hexadecimal digits. Returns an empty optional with Malformed for anything else.
std::optional<JobKey> parseJobKey(std::string_view Text);

/// Identifies one task of a job: task Index of step Step.
struct TaskRef {
  JobKey Job{};
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const TaskRef &) const = default;
};

} // namespace cornellift::kernel
