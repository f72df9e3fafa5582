#pragma once

#include "Libraries/LibCore/Time.h"
#include "Utilities/Replay/Trace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::load {

/// One job that the load tool will send.
struct PlannedJob {
  core::Duration At{0}; ///< After the start of the run.
  std::string Key;      ///< Of the job's team.
  std::string Body;     ///< The submission's fields but for the identifier, without braces.
  std::uint32_t Tasks = 0;
};

/// Equal jobs at random moments.
struct UniformJobs {
  std::string Key;
  std::string Service;
  std::string Kind;
  std::uint64_t Jobs = 0;
  std::uint32_t TasksPerJob = 1;
  double RunMilliseconds = 0;
  double JobsPerSecond = 0;
  std::uint64_t Seed = 0;
};

std::vector<PlannedJob> planUniform(const UniformJobs &Options);

/// The jobs of a trace at their moments. The endpoints' stand-ins sleep for the true run times and
/// divide them by their own speed; the trace's changes are not applied. Returns an empty optional
/// with Malformed when a team has no key.
std::optional<std::vector<PlannedJob>>
planTrace(const replay::Trace &Content, const std::map<std::string, std::string> &KeysOfTeams);

} // namespace cornellift::load
