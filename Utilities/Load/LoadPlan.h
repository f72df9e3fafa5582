#pragma once

#include "Libraries/LibCore/Time.h"
#include "Utilities/Replay/Trace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::load {

/// One scheduled job submission.
struct PlannedJob {
  core::Duration At{0}; ///< Offset from the start of the run.
  std::string Key;      ///< Key of the job's team.
  std::string Body;     ///< JSON fields of the submission without the identifier and the braces.
  std::uint32_t Tasks = 0;
};

/// Identical jobs with Poisson arrivals.
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

/// Plans the jobs of a trace at their arrival times. The payload carries the true run times, for
/// which the stand-in endpoints sleep after dividing them by their own speed; the trace's changes
/// are not applied. Returns an empty optional with Malformed when a team has no key.
std::optional<std::vector<PlannedJob>>
planTrace(const replay::Trace &Content, const std::map<std::string, std::string> &KeysOfTeams);

} // namespace cornellift::load
