#pragma once

#include "Kernel/Jobs/Recovery.h"
#include "Kernel/KernelConfiguration.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cornellift::entry {

/// The job whose records are requested. Records of another team, or of another specification with
/// the same identifier, are ignored.
struct RecoveryRequest {
  std::string_view Job;          ///< Text form of the identifier.
  std::string_view Team;         ///< Name of the requesting team.
  std::uint64_t Fingerprint = 0; ///< Fingerprint of the submission; zero when there is none.
};

/// Queries every configured endpoint for its records of the job, several concurrently.
std::vector<kernel::EndpointRecords>
collectRecords(const kernel::KernelConfiguration &Configuration, const RecoveryRequest &Request);

} // namespace cornellift::entry
