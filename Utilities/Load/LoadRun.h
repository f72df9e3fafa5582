#pragma once

#include "Libraries/LibCore/Time.h"
#include "Utilities/Caller/CallerClient.h"
#include "Utilities/Load/LoadReport.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace cornellift::load {

struct LoadOptions {
  std::vector<std::string> Entries;
  std::string Key;
  std::string Service;
  std::string Kind;
  std::uint64_t Jobs = 0;
  std::uint32_t TasksPerJob = 1;
  double RunMilliseconds = 0;
  double JobsPerSecond = 0;
  std::uint64_t Seed = 0;
  std::uint32_t Connections = 0;
  core::Duration LongestRun{0};
};

/// Sends jobs at random moments that do not depend on the answers. A response time counts from the
/// planned moment, so that a stalled entry VM is charged for the jobs that it holds up.
class LoadRun {
public:
  explicit LoadRun(LoadOptions Options);

  LoadReport run();

private:
  void sendJobs(std::size_t Number);
  void sendJob(caller::CallerClient &Client, core::TimePoint Planned);
  std::string jobText(const std::string &Id) const;
  void count(const caller::Reply &Answer, double ResponseMilliseconds);

  const LoadOptions Options_;
  std::string TasksText_;
  std::vector<core::Duration> Plan_; ///< Arrival of each job after the start.
  core::TimePoint Start_;
  core::TimePoint Deadline_;
  std::atomic<std::uint64_t> Next_{0};
  std::mutex Mutex_;
  LoadReport Report_;
};

} // namespace cornellift::load
