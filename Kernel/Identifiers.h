#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::kernel {

// clang-tidy mistakes the defaulted comparisons below for code with a variable and a literal zero.

/// Identifies one run of an entry process. Random, so that a restart at the same address differs.
struct Incarnation {
  std::uint64_t Value = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const Incarnation &) const = default;
};

/// A job identifier. Only the issuing incarnation, or the one successor that it transferred its
/// state to, may start the job's tasks.
struct JobId {
  Incarnation Issuer;
  std::uint64_t Sequence = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const JobId &) const = default;
};

struct TaskId {
  JobId Job;
  std::uint32_t Index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const TaskId &) const = default;
};

/// Dense indexes of configured objects, valid within one process.
enum class EndpointIndex : std::uint32_t {};
enum class TeamIndex : std::uint32_t {};
enum class ServiceIndex : std::uint32_t {};
enum class KindIndex : std::uint32_t {};

/// A caller's or peer's request that waits for a Respond action.
enum class RequestId : std::uint64_t {};

/// A job identifier with the name of the entry VM that issued it.
struct NamedJobId {
  std::string EntryVm;
  JobId Job;
};

/// Text form `<vm>.<incarnation as 16 hex digits>.<sequence>`.
std::string formatJobId(std::string_view EntryVm, JobId Job);

/// Text form of the job identifier with `.<index>` added.
std::string formatTaskId(std::string_view EntryVm, TaskId Task);

/// Parses the text form. Returns an empty optional with Malformed for anything else.
std::optional<NamedJobId> parseJobId(std::string_view Text);

} // namespace cornellift::kernel

template <> struct std::hash<cornellift::kernel::JobId> {
  std::size_t operator()(const cornellift::kernel::JobId &Job) const noexcept {
    // The issuer is already random; the multiplier spreads consecutive sequences over the buckets.
    return Job.Issuer.Value ^ (Job.Sequence * 0x9E3779B97F4A7C15ULL);
  }
};

template <> struct std::hash<cornellift::kernel::TaskId> {
  std::size_t operator()(const cornellift::kernel::TaskId &Task) const noexcept {
    return std::hash<cornellift::kernel::JobId>()(Task.Job) ^ (Task.Index * 0xC2B2AE3D27D4EB4FULL);
  }
};
