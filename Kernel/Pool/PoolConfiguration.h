#pragma once

#include "Kernel/Pool/JobSubmission.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornellift::kernel {

/// Settings of the jobs that are posted to one host and path prefix.
struct Route {
  std::string Host;
  std::string Prefix;
  core::Duration Timeout{0}; ///< Maximum time until the answer.
  RoutePolicy Policy;
  bool NeedsAdvice = false; ///< An external policy service chooses the workers; not supported.
};

/// Limits on callers' HTTP requests.
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
  std::unordered_map<std::string, std::uint32_t> ConnectionsByService; ///< Limit per worker.
  CallerLimits Limits;
  std::string Document; ///< Source text, sent to peers that cannot read the store.

  /// Returns the host's route with the longest matching path prefix, or null if there is none.
  const Route *find(std::string_view Host, std::string_view Path) const;

  /// Names of the services that it lists or that its routes name.
  std::set<std::string> services() const;
};

} // namespace cornellift::kernel
