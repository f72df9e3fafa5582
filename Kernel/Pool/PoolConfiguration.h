#pragma once

#include "Kernel/Pool/JobSubmission.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// Jobs that are posted to one host and path prefix.
struct Route {
  std::string Host;
  std::string Prefix;
  core::Duration Timeout{0}; ///< Longest time to an answer.
  RoutePolicy Policy;
  bool NeedsAdvice = false; ///< An outside policy service names the workers; not supported.
};

/// Bounds on callers' requests.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 262144;
  core::Duration HeaderTime = std::chrono::seconds(3);
  core::Duration IdleTime = std::chrono::seconds(15);
};

/// One version of the operators' configuration.
struct PoolConfiguration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<std::string, std::uint32_t> ConnectionsByService; ///< Bounds for one worker.
  CallerLimits Limits;
  std::string Document; ///< As the operator wrote it, for peers that cannot read the store.

  /// The route of the host with the longest prefix that the path begins with; null when none fits.
  const Route *find(std::string_view Host, std::string_view Path) const;
};

} // namespace cornellift::kernel
